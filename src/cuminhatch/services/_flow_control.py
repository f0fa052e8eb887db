"""Passes back pressure on between callers and backend servers."""

from collections.abc import Callable
from typing import Any

from cuminhatch.kernel import MessageTable
from cuminhatch.messages import (
    AttemptReadPaused,
    AttemptReadResumed,
    AttemptWriteResumed,
    AttemptWriteStalled,
    CallerResumed,
    CallerStalled,
    RequestReadPaused,
    RequestReadResumed,
)


def make_flow_control_handlers(
    send: Callable[[str, Any], None],
    find_request_id: Callable[[int], int | None],
    find_attempt_id: Callable[[int], int | None],
) -> MessageTable:
    """
    Return the handlers of a service between ``callers`` and ``backends``.

    A caller is not read while the backend server reads slowly, and the other
    way round.

    :param send: sends a message to a service.
    :param find_request_id: returns the request that an attempt belongs to.
    :param find_attempt_id: returns the attempt whose response is sent to the
        caller of a request.
    """

    def on_attempt_write_stalled(message: AttemptWriteStalled) -> None:
        request_id = find_request_id(message.attempt_id)
        if request_id is not None:
            send("callers", RequestReadPaused(request_id))

    def on_attempt_write_resumed(message: AttemptWriteResumed) -> None:
        request_id = find_request_id(message.attempt_id)
        if request_id is not None:
            send("callers", RequestReadResumed(request_id))

    def on_caller_stalled(message: CallerStalled) -> None:
        attempt_id = find_attempt_id(message.request_id)
        if attempt_id is not None:
            send("backends", AttemptReadPaused(attempt_id))

    def on_caller_resumed(message: CallerResumed) -> None:
        attempt_id = find_attempt_id(message.request_id)
        if attempt_id is not None:
            send("backends", AttemptReadResumed(attempt_id))

    return {
        AttemptWriteStalled: on_attempt_write_stalled,
        AttemptWriteResumed: on_attempt_write_resumed,
        CallerStalled: on_caller_stalled,
        CallerResumed: on_caller_resumed,
    }
