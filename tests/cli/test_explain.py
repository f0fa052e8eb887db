"""Tests of the commands that read log files."""

import json

import pytest

from cuminhatch.address import Address
from cuminhatch.cli.commands import make_plan
from cuminhatch.cli.plans import CommandError, Options

OPTIONS = Options((Address("127.0.0.1", 8081),), "", 0, 200)


def make_line(instance, now_ms, event, request="", **details):
    # Wall clocks differ between instances, so here they run backwards: no
    # result may depend on them.
    line = {"wall_ms": 9e12 - now_ms, "now_ms": now_ms, "instance": instance}
    line |= {"part": "forwarding", "event": event}
    if request:
        line["request"] = request
    return line | details


RECEIVED = {"rule": "r-1", "service": "board", "configuration": 7, "budget_ms": 1200}
PLACED = {
    "server": "i-1",
    "send": 1,
    "is_hedge": False,
    "is_near": True,
    "predicted_ms": 150.0,
    "left_ms": 1190.0,
    "running": 1,
    "waiting": 0,
    "slowdown": 1.0,
    "load_age_ms": 1.5,
}
LINES = [
    make_line("front-1", 5_000.0, "received", "9c41", **RECEIVED),
    make_line("front-1", 5_003.0, "placed", "9c41", **PLACED),
    make_line(
        "front-1",
        5_080.0,
        "send_failed",
        "9c41",
        server="i-1",
        reason="connection-closed",
        is_sent=True,
        is_reused=False,
        after_ms=77.0,
    ),
    make_line("front-1", 5_400.0, "server_gone", server="i-1", source="front-2"),
    make_line(
        "front-1",
        5_081.0,
        "resend_denied",
        "9c41",
        reason="may-have-run",
        failure="connection-closed",
    ),
    make_line(
        "front-1",
        5_082.0,
        "failed",
        "9c41",
        status=502,
        reason="connection-closed",
        waited_ms=82.0,
        sends=["i-1"],
        failure="connection-closed",
        retry_after_ms=None,
    ),
    make_line("front-1", 5_050.0, "server_gone", server="i-8", source="store"),
    make_line("front-2", 100.0, "received", "77aa", **RECEIVED),
    make_line(
        "front-2",
        159.9,
        "not_placed",
        "77aa",
        reason="servers-full",
        waited_ms=59.9,
        usual_ms=140.0,
        servers=2,
        freshest=[["i-1", 3, 2, 1.0, 1.2], ["i-2", 3, 4, 4.0, 1.3]],
    ),
    make_line(
        "front-2",
        160.0,
        "refused",
        "77aa",
        status=503,
        reason="servers-full",
        waited_ms=60.0,
        sends=[],
        failure="",
        retry_after_ms=140.0,
    ),
    make_line("front-2", 40.0, "received", "be09", **RECEIVED),
    make_line("front-2", 43.0, "placed", "be09", **PLACED),
    make_line(
        "front-2",
        700.0,
        "answered",
        "be09",
        status=200,
        server="i-1",
        took_ms=660.0,
        server_ms=657.0,
        sends=1,
        is_hedge=False,
        is_caller_gone=False,
    ),
    make_line("front-1", 30.0, "received", "d0c1", **RECEIVED, team="red"),
    make_line(
        "front-1",
        30.2,
        "refused",
        "d0c1",
        status=429,
        reason="quota-exceeded",
        waited_ms=0.2,
        sends=[],
        failure="",
        retry_after_ms=800.0,
    ),
    make_line(
        "front-1",
        31.0,
        "refused",
        "a7f0",
        status=503,
        reason="team-disabled",
        configuration=7,
        rule="r-1",
        team="red",
    ),
    make_line(
        "front-1",
        32.0,
        "refused",
        "a7f1",
        status=401,
        reason="unknown-credential",
        configuration=7,
        rule="r-1",
    ),
    make_line("front-1", 20.0, "received", "51d7", **RECEIVED),
    make_line(
        "front-1",
        40.0,
        "response_rejected",
        "51d7",
        server="i-1",
        reason="answer-of-another-request",
        status=200,
        response_ids=["be09"],
        is_reused=True,
        has_trailing_data=False,
        after_ms=18.0,
    ),
    make_line(
        "front-1",
        90.0,
        "streaming_started",
        "51d7",
        server="i-2",
        status=200,
        received_bytes=900,
        declared_bytes=400_000,
        after_ms=45.0,
    ),
]


@pytest.fixture
def log_file(tmp_path):
    path = tmp_path / "all.log"
    text = [f"  12.5 front-1 {json.dumps(line)}" for line in LINES]
    path.write_text("\n".join([*text, "10:00 INFO started", '{"wall_ms": 1, "cut']))
    return str(path)


@pytest.mark.parametrize(
    "request_id", ["9c41", "77aa", "be09", "51d7", "d0c1", "a7f0", "a7f1"]
)
def test_request_is_explained(log_file, request_id, snapshot):
    """Guards against events that the explanation omits or misstates."""
    output = make_plan(OPTIONS, ["explain", request_id, log_file]).make_output(())
    assert output.status == 0
    assert output.text == snapshot


def test_hedges_are_explained(tmp_path):
    """Guards against a second send that is left out without a reason."""
    log = tmp_path / "day.log"
    denied = {"gain_needed": 0.5, "allowance_left": 1.2, "reserve": 3.0}
    lines = [
        make_line("front-1", 1.0, "received", "a", **RECEIVED),
        make_line(
            "front-1",
            200.0,
            "hedge_denied",
            "a",
            reason="left-to-failures",
            occupancy=0.2,
            **denied,
        ),
        make_line("front-1", 300.0, "hedge_ended", "a", result="won"),
    ]
    log.write_text("".join(json.dumps(line) + "\n" for line in lines))
    text = make_plan(OPTIONS, ["explain", "a", str(log)]).make_output(()).text
    assert "no hedge: left-to-failures; gain needed 0.5" in text
    assert "3.0 resends kept for failures" in text
    assert "the hedge has won" in text


def test_unknown_request_is_an_error(log_file):
    """Guards against empty output with a success status."""
    output = make_plan(OPTIONS, ["explain", "ffff", log_file]).make_output(())
    assert output.status == 1
    assert "ffff" in output.text


@pytest.mark.parametrize("arguments", [[], ["9c41"], ["9c41", "missing.log"]])
def test_usage_error_is_reported(arguments):
    """Guards against a traceback for a usage error or a missing file."""
    with pytest.raises(CommandError):
        make_plan(OPTIONS, ["explain", *arguments])


def test_losses_are_shown_as_a_table(tmp_path):
    """Guards against a table that omits the events of the log files."""
    log = tmp_path / "day.log"
    lines = [
        make_line("front-1", 1.0, "received", "a", target_ms=400.0),
        make_line("front-1", 9.0, "refused", "a", reason="servers-full"),
    ]
    log.write_text("".join(json.dumps(line) + "\n" for line in lines))
    output = make_plan(OPTIONS, ["losses", str(log)]).make_output([])
    assert "refused  servers-full  1         100.00%" in output.text
    assert output.value["requests"] == 1
    with pytest.raises(CommandError):
        make_plan(OPTIONS, ["losses"])


def test_losses_are_counted_by_team(tmp_path, snapshot):
    """Guards against sums of a team that miss requests or mix teams."""
    log = tmp_path / "day.log"
    lines = [
        make_line("front-1", 1.0, "received", "a", target_ms=400.0, team="red"),
        make_line("front-1", 9.0, "refused", "a", reason="quota-exceeded"),
        make_line("front-1", 1.0, "received", "b", target_ms=400.0, team="red"),
        make_line("front-1", 9.0, "answered", "b", took_ms=8.0),
        make_line("front-1", 1.0, "received", "c", target_ms=400.0),
        make_line("front-1", 9.0, "failed", "c", reason="timeout"),
        make_line("front-1", 9.0, "refused", "d", reason="team-disabled", team="blue"),
        make_line("front-1", 9.0, "refused", "e", reason="unknown-credential"),
        make_line("front-1", 9.0, "refused", "f", reason="servers-full", team="red"),
    ]
    log.write_text("".join(json.dumps(line) + "\n" for line in lines))
    options = OPTIONS._replace(loss_group="team")
    output = make_plan(options, ["losses", str(log)]).make_output([])
    assert output.text == snapshot
    assert output.value == snapshot
