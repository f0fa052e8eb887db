"""Tests of the causes of losses, as found in log lines."""

import pytest

from cuminhatch.decisions.losses import Loss, list_losses

PLACED = {
    "server": "i-1",
    "predicted_ms": 150.0,
    "running": 1,
    "waiting": 0,
    "slowdown": 1.0,
}


def line(event, now_ms, request="9c41", **details):
    known = {"now_ms": now_ms, "instance": "front-1", "event": event}
    return known | {"request": request} | details


def make_lines(placed_ms=3.0, took_ms=600.0, failures=0, **placed):
    lines = [line("received", 0.0, target_ms=400.0)]
    lines += [line("send_failed", 1.0)] * failures
    server_ms = took_ms - placed_ms
    return [
        *lines,
        line("placed", placed_ms, **(PLACED | placed)),
        line("answered", took_ms, took_ms=took_ms, server_ms=server_ms),
    ]


@pytest.mark.parametrize(
    ("lines", "cause"),
    [
        (make_lines(failures=1, waiting=2), "a send failed before"),
        (make_lines(placed_ms=150.0), "held for a better server"),
        (make_lines(waiting=2, slowdown=4.0), "waited in a server's queue"),
        (make_lines(slowdown=4.0), "sent to a slow machine"),
        (make_lines(), "work far longer than predicted"),
        (
            make_lines(took_ms=410.0, predicted_ms=390.0),
            "a little longer than predicted",
        ),
    ],
)
def test_late_request_counts_for_its_first_cause(lines, cause):
    """Guards against counting a request under a less important cause."""
    assert list_losses(lines).losses == (Loss("late", cause, 1),)


def test_response_in_time_is_no_loss():
    """Guards against a total that leaves out the requests in time."""
    found = list_losses(make_lines(took_ms=400.0))
    assert (found.requests, found.in_time, found.losses) == (1, 1, ())


def test_refusals_and_failures_count_by_their_reason():
    """Guards against outcomes that are not distinguished."""
    lines = []
    for number, (event, reason) in enumerate(
        [
            ("refused", "servers-full"),
            ("failed", "timeout"),
            ("refused", "servers-full"),
        ]
    ):
        lines.append(line("received", 0.0, str(number), target_ms=400.0))
        lines.append(line(event, 9.0, str(number), reason=reason))
    lines.append(line("received", 0.0, "unfinished", target_ms=400.0))
    assert list_losses(lines).losses == (
        Loss("refused", "servers-full", 2),
        Loss("failed", "timeout", 1),
        Loss("open", "no line of its end", 1),
    )


def test_requests_of_an_earlier_version_are_ignored():
    """Guards against a failure on logs of an older version."""
    lines = [line("received", 0.0), line("refused", 9.0, reason="servers-full")]
    assert list_losses(lines).requests == 0


def test_lines_without_a_received_line_are_ignored():
    """Guards against a failure when the first line was thinned out."""
    assert list_losses([line("answered", 9.0, took_ms=9.0)]).requests == 0
