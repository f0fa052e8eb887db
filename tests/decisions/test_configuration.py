"""Tests of the configuration that results from notes."""

import pytest

from cuminhatch import DecisionError
from cuminhatch.decisions.configuration import (
    EMPTY_CONFIGURATION,
    apply_note,
    list_servers,
)
from cuminhatch.decisions.notes import AcceptedNote, Note, NoteItem
from tests.decisions._builders import SERVER_FIELDS

RULE = {"service_id": "desk", "method": "GET", "path_prefix": "/status"}


def apply_items(configuration, *items):
    note = Note("n", "rhea", "", tuple(NoteItem(*item) for item in items))
    return apply_note(configuration, AcceptedNote(configuration.sequence + 1, note))


@pytest.fixture
def configuration():
    return apply_items(
        EMPTY_CONFIGURATION,
        ("add", "service", "desk", {"probe_rate": 1}),
        ("add", "backend_server", "desk-1", SERVER_FIELDS),
        ("add", "rule", "status", {**RULE, "idempotent": False}),
    )


def test_added_entries_have_given_fields_and_defaults(configuration):
    """Guards against flags and numbers converted wrongly from a note."""
    rate = configuration.services["desk"].probe_rate
    assert (type(rate), rate) == (float, 1.0)
    assert configuration.services["desk"].instances_max == 24
    assert configuration.rules["status"].is_idempotent is False
    assert configuration.rules["status"].deadline_ms == 2000.0


def test_change_keeps_fields_not_named(configuration):
    """Guards against a change that resets the other fields of an entry."""
    item = ("change", "backend_server", "desk-1", {"slots": 5})
    changed = apply_items(configuration, item)
    expected = configuration.servers["desk-1"]._replace(slots=5)
    assert changed.servers["desk-1"] == expected


def test_earlier_configuration_is_not_modified(configuration):
    """Guards against requests in progress that see a note half applied."""
    withdrawn = apply_items(configuration, ("withdraw", "backend_server", "desk-1", {}))
    assert list_servers(withdrawn, "desk") == ()
    assert len(list_servers(configuration, "desk")) == 1


def test_unmodified_collections_are_shared(configuration):
    """Guards against copying every kind of entry for each note."""
    changed = apply_items(configuration, ("change", "rule", "status", {}))
    assert changed.servers is configuration.servers
    assert changed.services is configuration.services


@pytest.mark.parametrize("sequence", [0, 1, 3])
def test_only_the_next_sequence_is_applied(configuration, sequence):
    """Guards against a configuration that reverts or skips a note."""
    with pytest.raises(DecisionError):
        apply_note(configuration, AcceptedNote(sequence, Note("n", "r", "", ())))
