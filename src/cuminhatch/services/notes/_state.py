"""The state that the functions of the notes service share."""

from collections import deque
from collections.abc import Callable, Iterable
from itertools import count, islice
from random import Random
from typing import Any, NamedTuple

from cuminhatch.codecs.note_json import digest_bytes
from cuminhatch.decisions.configuration import (
    EMPTY_CONFIGURATION,
    Configuration,
    apply_note,
)
from cuminhatch.decisions.notes import (
    AcceptedNote,
    Action,
    Conflict,
    Note,
    NoteRefused,
    Submission,
    after_append,
    after_note_id_read,
    check_note,
    find_conflict,
    is_next_note,
)
from cuminhatch.decisions.snapshots import is_snapshot_due, is_snapshot_wanted
from cuminhatch.kernel import Kernel
from cuminhatch.messages import Address, EventRecorded, NoteSubmitted
from cuminhatch.services.notes._timers import CallbackDue

NAME = "notes"
# A head read or replay without a reply for this time may be started again.
PLATFORM_REPLY_TIMEOUT_MS = 10_000.0
MAX_SCAN_ROWS = 200
# Notes in memory for peers and conflict checks. They cover three and a half
# hours at 28,000 notes a day, so that instances cut off for an hour can catch
# up.
MAX_RECENT_NOTES = 4096


class NoteDecisions(NamedTuple):
    """Decision functions of the service; tests substitute some."""

    check_note: Callable[[Configuration, Note], NoteRefused | None] = check_note
    find_conflict: Callable[[Note, Iterable[AcceptedNote]], Conflict | None] = (
        find_conflict
    )
    apply_note: Callable[[Configuration, AcceptedNote], Configuration] = apply_note
    is_next_note: Callable[[int, AcceptedNote], bool] = is_next_note
    after_note_id_read: Callable[..., tuple[Submission, Action]] = after_note_id_read
    after_append: Callable[..., tuple[Submission, Action]] = after_append
    is_snapshot_due: Callable[[int], bool] = is_snapshot_due
    is_snapshot_wanted: Callable[[int, int], bool] = is_snapshot_wanted
    digest_bytes: Callable[[bytes], str] = digest_bytes


class PendingSubmission:
    """A note submitted by an operator, until its result is reported."""

    def __init__(self, request: NoteSubmitted, submission: Submission) -> None:
        """
        Start undecided.

        :param request: the operator's request.
        :param submission: state of the submission.
        """
        self.request = request
        self.submission = submission
        # An append was sent and has no reply yet. If a reply does not report
        # the result, ``submission`` records that the note may have been
        # stored.
        self.is_append_in_flight = False
        self.is_decided = False


class NotesState:
    """State of the service: the configuration and what is in progress."""

    def __init__(
        self, kernel: Kernel, instance_id: str, rng: Random, decisions: NoteDecisions
    ) -> None:
        """
        Start with an empty configuration.

        :param kernel: kernel of the process.
        :param instance_id: id of this instance, used in submission ids.
        :param rng: random source for the snapshot delay and for the part of
            submission ids that differs between restarts.
        :param decisions: decision functions.
        """
        self.kernel = kernel
        self.clock = kernel.clock
        self.send = kernel.send
        self.rng = rng
        self.decisions = decisions
        self.submission_prefix = f"{instance_id}-{rng.getrandbits(64):016x}"
        self.submission_ids = count(1)
        self.configuration = EMPTY_CONFIGURATION
        self.recent_notes: deque[AcceptedNote] = deque(maxlen=MAX_RECENT_NOTES)
        self.tokens = count(1)
        self.reply_callbacks: dict[int, Callable[[Any], None]] = {}
        self.delayed_callbacks: dict[int, Callable[[], None]] = {}
        # Head polling and readiness. ``has_current_head`` is reset by a
        # freeze, since a head received before it may be outdated.
        self.last_poll_ms = 0.0
        self.head_read_sent_ms: float | None = None
        self.last_contact_ms = 0.0
        self.has_current_head = False
        self.freeze_count = 0
        self.readiness: tuple[bool, str] | None = None
        # Replay from the table, and pulls from a peer.
        self.replay_target = 0
        self.replay_started_ms: float | None = None
        self.pull_target = 0
        self.next_pull_ms = 0.0
        self.pull_address: Address | None = None
        # The latest configuration to write as a snapshot; one write at a time.
        self.pending_snapshot: Configuration | None = None
        self.is_snapshot_in_progress = False

    def list_notes_after(self, after: int) -> list[AcceptedNote] | None:
        """
        Return later notes, or None if some are not in memory.

        :param after: sequence number of the last note that is known.
        """
        if after >= self.configuration.sequence:
            return []
        if not self.recent_notes or self.recent_notes[0].sequence > after + 1:
            return None
        start = after + 1 - self.recent_notes[0].sequence
        return list(islice(self.recent_notes, start, None))

    def request_platform(
        self, message_type: type, on_reply: Callable[[Any], None], *fields: Any
    ) -> None:
        """
        Send a request to ``platform`` and register a reply callback.

        :param message_type: type of the request.
        :param on_reply: called with the result.
        :param fields: fields of the request after name and token.
        """
        token = next(self.tokens)
        self.reply_callbacks[token] = on_reply
        self.send("platform", message_type(NAME, token, *fields))

    def call_after(self, delay_ms: float, message: Any) -> None:
        """
        Schedule a message to the service itself.

        :param delay_ms: milliseconds from now.
        :param message: message to deliver.
        """
        self.kernel.call_at(self.clock.now_ms + delay_ms, NAME, message)

    def run_after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """
        Call a function after a delay, at once if there is none.

        :param delay_ms: milliseconds from now.
        :param callback: function to call.
        """
        if delay_ms <= 0:
            callback()
            return
        token = next(self.tokens)
        self.delayed_callbacks[token] = callback
        self.call_after(delay_ms, CallbackDue(token))

    def record(self, name: str, sequence: int, **details: Any) -> None:
        """
        Record an event in the timeline.

        :param name: name of the event.
        :param sequence: sequence number of the note that it is about.
        :param details: what the event is about.
        """
        self.send("timeline", EventRecorded(NAME, name, "", sequence, details))
