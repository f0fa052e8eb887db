"""Tests of the validation and the submission of notes."""

import pytest

from cuminhatch.decisions.configuration import EMPTY_CONFIGURATION, apply_note
from cuminhatch.decisions.notes import (
    AcceptedNote,
    AppendNeeded,
    CatchUpNeeded,
    Conflict,
    Decided,
    HeadReadNeeded,
    Note,
    NoteAccepted,
    NoteIdReadNeeded,
    NoteItem,
    NoteOutcomeUnknown,
    NoteRefused,
    Submission,
    after_append,
    after_catch_up,
    after_head_read,
    after_note_id_read,
    check_note,
    find_conflict,
    note_id_key,
    note_key,
    plan_append,
)
from cuminhatch.decisions.platform import (
    Committed,
    Mismatched,
    Row,
    RowAbsent,
    TableUnavailable,
)
from tests.decisions._builders import SERVER_FIELDS

RULE = {"service_id": "desk", "method": "GET", "path_prefix": "/status"}
LOST = TableUnavailable("no reply", True)
NOT_SENT = TableUnavailable("down", False)


def make_note(*items, **fields):
    items = tuple(NoteItem(*item) for item in items)
    return Note(fields.pop("note_id", "n1"), "rhea", "", items)._replace(**fields)


CONFIGURATION = apply_note(
    EMPTY_CONFIGURATION,
    AcceptedNote(
        1,
        make_note(
            ("add", "service", "desk", {}),
            ("add", "backend_server", "desk-1", SERVER_FIELDS),
            ("add", "rule", "status", RULE),
        ),
    ),
)


INVALID_ITEMS = {
    "no items": [],
    "server x: unknown kind": [("add", "server", "x", {})],
    "rule x: unknown action 'remove'": [("remove", "rule", "x", {})],
    "service a/b: id must be": [("add", "service", "a/b", {})],
    "service x: unknown field slots": [("add", "service", "x", {"slots": 1})],
    "needs at least one field": [("change", "service", "desk", {})],
    "a withdrawal has no fields": [("withdraw", "rule", "status", RULE)],
    "field service_id is missing": [("add", "rule", "x", {"method": "GET"})],
    "service x: does not exist": [("change", "service", "x", {"probe_rate": 1})],
    "rule x: does not exist": [("withdraw", "rule", "x", {})],
    "service desk: exists already": [("add", "service", "desk", {})],
    "rule status: named by two items": [
        ("withdraw", "rule", "status", {}),
        ("add", "rule", "status", RULE),
    ],
    "rule x: service no does not exist": [
        ("add", "rule", "x", {**RULE, "service_id": "no", "method": "PUT"})
    ],
    "backend_server desk-1: service no does not exist": [
        ("change", "backend_server", "desk-1", {"service_id": "no"})
    ],
    "service desk: backend_server desk-1 still uses it": [
        ("withdraw", "service", "desk", {})
    ],
    "service desk: rule status still uses it": [
        ("withdraw", "service", "desk", {}),
        ("withdraw", "backend_server", "desk-1", {}),
    ],
    "desk-1: 30 connections are fewer than instances_max 31": [
        ("change", "service", "desk", {"instances_max": 31})
    ],
    "desk-1: 23 connections are fewer than instances_max 24": [
        ("change", "backend_server", "desk-1", {"connections": 23})
    ],
    "desk-1: long_slots 3 of service desk must be below its slots 3": [
        ("change", "service", "desk", {"long_slots": 3})
    ],
    "rule x: rule status has the same method": [("add", "rule", "x", RULE)],
}


@pytest.mark.parametrize(("expected", "items"), INVALID_ITEMS.items())
def test_refusal_of_an_invalid_note_names_the_item(expected, items):
    """Guards against notes that leave the configuration inconsistent."""
    assert expected in check_note(CONFIGURATION, make_note(*items)).reason


@pytest.mark.parametrize(
    ("kind", "item_id", "name", "value"),
    [
        ("service", "desk", "instances_max", 0),
        ("service", "desk", "instances_max", True),
        ("service", "desk", "instances_max", 2.0),
        ("service", "desk", "instances_max", 2**60),
        ("service", "desk", "probe_rate", 0),
        ("service", "desk", "probe_rate", float("nan")),
        ("service", "desk", "probe_rate", float("inf")),
        ("service", "desk", "long_slots", -1),
        ("service", "desk", "slow_start_ms", -1.0),
        ("backend_server", "desk-1", "slots", 0),
        ("backend_server", "desk-1", "port", 65536),
        ("backend_server", "desk-1", "host", "desk.example"),
        ("backend_server", "desk-1", "failure_domain", ""),
        ("rule", "status", "work_class", "medium"),
        ("rule", "status", "idempotent", 1),
        ("rule", "status", "deadline_ms", 0),
        ("rule", "status", "response_timeout_ms", "1 s"),
        ("rule", "status", "path_prefix", "status"),
        ("rule", "status", "method", "get"),
    ],
)
def test_value_out_of_range_is_refused(kind, item_id, name, value):
    """Guards against values that would stop a daemon or exceed a limit."""
    note = make_note(("change", kind, item_id, {name: value}))
    reason = check_note(CONFIGURATION, note).reason
    assert reason.startswith(f"{kind} {item_id}: {name} ")


def test_items_of_one_note_may_depend_on_each_other():
    """Guards against validation that depends on the order of the items."""
    new = {**RULE, "service_id": "new", "path_prefix": "/new"}
    withdrawn = ("service", "desk"), ("backend_server", "desk-1"), ("rule", "status")
    items = [("add", "rule", "r", new), ("add", "service", "new", {})]
    items += [("withdraw", *entry, {}) for entry in withdrawn]
    assert check_note(CONFIGURATION, make_note(*items)) is None
    assert check_note(CONFIGURATION, make_note(*items[::-1])) is None


def test_conflict_names_the_item_that_both_notes_modify():
    """Guards against silently overwriting the change of another operator."""
    newer = make_note(("withdraw", "rule", "desk", {}), note_id="n2")
    newest = make_note(("withdraw", "service", "desk", {}), note_id="n3")
    notes = [AcceptedNote(2, newer), AcceptedNote(3, newest)]
    note = make_note(("change", "service", "desk", {"long_slots": 1}))
    assert find_conflict(note, notes) == Conflict("service", "desk", 3, "n3")
    assert find_conflict(note, notes[:1]) is None


def test_append_is_conditional_on_head_and_note_id():
    """Guards against two notes with one sequence number or one id."""
    note = make_note()
    transaction = plan_append(7, 4, note, {}, "d", "s1")
    assert dict(transaction.checks) == {"head": 7, note_id_key("n1"): 0}
    written = {put.key for put in transaction.puts}
    assert written == {"head", note_key(5), note_id_key("n1")}
    assert note_key(9) < note_key(10) < note_key(10**9) < "note0"


# Submissions


def make_submission(**fields):
    note = make_note(("change", "service", "desk", {"long_slots": 1}))
    submission = Submission("s1", note, {}, "digest", 10_000.0, 1, 7, 1)
    return submission._replace(**fields)


def make_note_id_row(digest="digest", submission="s1"):
    value = {"sequence": 2, "digest": digest, "submission": submission}
    return Row(note_id_key("n1"), 9, value)


def make_head_mismatch():
    return Mismatched({"head": Row("head", 8, {"sequence": 2})})


def test_usual_submission_reads_head_then_note_id_then_appends():
    """Guards against a check of the note id that is older than the head."""
    submission = make_submission(baseline=None, head_version=0, head_sequence=0)
    head = Row("head", 7, {"sequence": 1})
    submission, step = after_head_read(submission, head, 0.0)
    assert step == NoteIdReadNeeded()
    submission, step = after_note_id_read(submission, RowAbsent(), 0.0)
    assert step == CatchUpNeeded(1, 1)
    submission, step = after_catch_up(submission, CONFIGURATION, None, None, 0.0)
    assert isinstance(step, AppendNeeded)
    _, step = after_append(submission, Committed({}), 0.0)
    assert step == Decided(NoteAccepted(2, False))


def test_outcome_after_a_lost_reply_is_read_from_the_note_id():
    """Guards against an accepted note that is reported as not accepted."""
    submission, step = after_append(make_submission(), LOST, 0.0)
    assert isinstance(step, NoteIdReadNeeded)
    _, step = after_note_id_read(submission, make_note_id_row(), 0.0)
    assert step == Decided(NoteAccepted(2, False))


def test_absent_note_id_does_not_settle_an_unconfirmed_append():
    """Guards against a refusal while the write may still take effect."""
    submission = make_submission(has_unconfirmed_append=True)
    submission, step = after_note_id_read(submission, RowAbsent(), 0.0)
    assert isinstance(step, AppendNeeded)
    assert step.transaction.checks[0].version == 7
    # A retry that was not sent says nothing about the first append.
    submission, _ = after_append(submission, NOT_SENT, 0.0)
    assert submission.has_unconfirmed_append


def test_changed_head_settles_an_unconfirmed_append():
    """Guards against an unknown outcome although the append has failed."""
    submission = make_submission(has_unconfirmed_append=True)
    submission, step = after_append(submission, make_head_mismatch(), 0.0)
    assert not submission.has_unconfirmed_append
    assert (submission.head_version, submission.baseline) == (8, 1)
    assert step == CatchUpNeeded(1, 2)


def test_conflict_after_a_changed_head_names_the_other_note():
    """Guards against a refusal that does not name the conflicting note."""
    submission = make_submission(head_sequence=2)
    configuration = CONFIGURATION._replace(sequence=2)
    conflict = Conflict("service", "desk", 2, "n2")
    _, step = after_catch_up(submission, configuration, None, conflict, 0.0)
    assert "service desk: note 2 (n2)" in step.result.reason


def test_validation_is_used_only_at_the_head_that_was_read():
    """Guards against validating a note against another configuration."""
    submission = make_submission(head_sequence=3)
    refused = NoteRefused("x")
    _, step = after_catch_up(submission, CONFIGURATION, refused, None, 0.0)
    assert isinstance(step, HeadReadNeeded)


@pytest.mark.parametrize("is_from_append", [True, False])
def test_note_id_in_use_is_accepted_or_refused_by_text(is_from_append):
    """Guards against two texts under one id and against a duplicate note."""

    def decide(row):
        if is_from_append:
            result = Mismatched({row.key: row})
            return after_append(make_submission(), result, 0.0)[1]
        return after_note_id_read(make_submission(), row, 0.0)[1]

    assert decide(make_note_id_row(submission="s2")) == Decided(NoteAccepted(2, True))
    refused = decide(make_note_id_row(digest="other", submission="s2")).result
    assert isinstance(refused, NoteRefused)


@pytest.mark.parametrize("result", [LOST, NOT_SENT])
@pytest.mark.parametrize("is_unconfirmed", [True, False])
def test_outcome_at_the_deadline_is_unknown_never_refused(result, is_unconfirmed):
    """Guards against a refusal although the note may have been accepted."""
    submission = make_submission(has_unconfirmed_append=is_unconfirmed)
    for decide in (after_append, after_note_id_read, after_head_read):
        _, step = decide(submission, result, 9_999.0)
        assert isinstance(step.result, NoteOutcomeUnknown)


@pytest.mark.parametrize("base", [3, -4096])
def test_base_out_of_range_is_refused(base):
    """Guards against a conflict search that misses notes."""
    submission = make_submission(baseline=base)
    _, step = after_note_id_read(submission, RowAbsent(), 0.0)
    assert "base" in step.result.reason
