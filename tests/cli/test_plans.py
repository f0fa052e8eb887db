"""Tests of the requests and the output of the commands."""

import pytest

from cuminhatch.address import Address
from cuminhatch.cli.commands import make_plan
from cuminhatch.cli.plans import ApiFailed, ApiReply, CommandError, Options

FIRST, SECOND = Address("127.0.0.1", 8081), Address("127.0.0.1", 8181)
OPTIONS = Options((FIRST, SECOND), "", 0, 200)
NOTE = (
    'id = "n1"\nauthor = "ann"\nsummary = "first"\n'
    '[[rule]]\nid = "r1"\naction = "withdraw"\n'
)
ACCEPTED = {"outcome": "accepted", "sequence": 4, "repeated": False}
REFUSED = {"outcome": "refused", "reason": "rule r1: conflict"}


@pytest.fixture
def note_file(tmp_path):
    path = tmp_path / "note.toml"
    path.write_text(NOTE)
    return str(path)


def make_event(wall_ms, instance, name, **details):
    event = {"stamp": [wall_ms, 0], "instance_id": instance, "part": "notes"}
    event |= {"name": name, "request_id": "", "note_sequence": 1}
    return {**event, "details": details}


def make_status(instance, sequence, not_ready):
    readiness = {"ready": not not_ready, "not_ready": not_ready}
    status = {"instance": instance, "note_sequence": sequence, "backend_servers": 26}
    return {**status, "parts": {"readiness": readiness}}


@pytest.mark.parametrize(
    ("reply", "status"),
    [
        (ApiReply(FIRST, 200, ACCEPTED), 0),
        (ApiReply(FIRST, 200, {**ACCEPTED, "repeated": True}), 0),
        (ApiReply(FIRST, 409, REFUSED), 1),
        (ApiReply(FIRST, 504, {"outcome": "unknown", "reason": "store outage"}), 3),
        (ApiReply(FIRST, 401, {"error": "send the operators' key"}), 1),
        (ApiFailed(FIRST, "connection failed", False), 1),
        (ApiFailed(FIRST, "timeout", True), 3),
    ],
)
def test_submission_tells_the_truth(note_file, reply, status, snapshot):
    """Guards against an exit status that hides an unknown outcome."""
    plan = make_plan(OPTIONS, ["note", "submit", note_file])
    output = plan.make_output([reply])
    assert output.status == status
    assert output.text == snapshot


def test_submission_goes_to_another_daemon_only_if_not_sent(note_file):
    """Guards against two daemons that append the same note concurrently."""
    plan = make_plan(OPTIONS, ["note", "submit", note_file])
    assert plan.is_failover
    assert [request.daemon for request in plan.requests] == [FIRST, SECOND]


def test_status_of_all_daemons(snapshot):
    """Guards against a daemon that is silently omitted from the status."""
    plan = make_plan(OPTIONS, ["status"])
    output = plan.make_output(
        [
            ApiReply(FIRST, 200, make_status("entry-1", 3, {})),
            ApiReply(SECOND, 200, make_status("entry-2", 0, {"notes": "no-note"})),
            ApiFailed(Address("127.0.0.1", 8281), "connection failed", False),
        ]
    )
    assert output.status == 1
    assert output.text == snapshot


def test_timeline_merges_daemons_by_stamp(snapshot):
    """Guards against events grouped by daemon instead of ordered by stamp."""
    first = [make_event(2000, "entry-1", "decided")]
    second = [make_event(1000, "entry-2", "started", reason="test")]
    second += [make_event(3000, "entry-2", "applied")]
    replies = [ApiReply(FIRST, 200, {"events": first})]
    replies += [ApiReply(SECOND, 200, {"events": second})]
    assert make_plan(OPTIONS, ["timeline"]).make_output(replies).text == snapshot


def test_history_is_a_table(snapshot):
    """Guards against misaligned columns."""
    note = {"author": "ann", "summary": "s", "items": [1] * 3}
    notes = [
        {"sequence": sequence, "note": {"id": name, **note}}
        for sequence, name in ((1, "first"), (10, "storm-2026"))
    ]
    plan = make_plan(OPTIONS, ["note", "history"])
    assert plan.make_output([ApiReply(FIRST, 200, {"notes": notes})]).text == snapshot


def test_check_names_file_and_key(tmp_path):
    """Guards against an invalid note that is detected only at submission."""
    path = tmp_path / "bad.toml"
    for text, key in (('id = "n1"\n', "author"), (NOTE + "port = 5\n", "rule r1")):
        path.write_text(text)
        output = make_plan(OPTIONS, ["note", "check", str(path)]).make_output([])
        assert output.status == 1
        assert "bad.toml" in output.text and key in output.text


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["notes"],
        ["status", "now"],
        ["note", "submit"],
        ["note", "submit", "missing.toml"],
        ["drain"],
    ],
)
def test_usage_errors_say_what_to_do(arguments, snapshot):
    """Guards against usage errors that are accepted or not explained."""
    with pytest.raises(CommandError) as raised:
        make_plan(OPTIONS, arguments)
    assert str(raised.value) == snapshot
