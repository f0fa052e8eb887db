"""
Replicates the accepted release notes and submits new ones.

Release notes change the configuration. Accepted notes form a log in the table
service, numbered from 1; the latest sequence number is the head. Each instance
applies the notes in order. It replays them from the table, after a stored
snapshot if it is far behind, or pulls them from a peer.
"""

from cuminhatch.services.notes._state import NoteDecisions
from cuminhatch.services.notes.service import Notes

__all__ = ["NoteDecisions", "Notes"]
