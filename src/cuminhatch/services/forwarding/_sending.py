"""Sends the bodies of uploads in slices, with short requests in between."""

from cuminhatch.decisions.uploads import (
    FIRST_SLICE_BYTES,
    SLICE_INTERVAL_MS,
    min_send_rate,
    next_slice_bytes,
)
from cuminhatch.messages import AttemptRequestBody
from cuminhatch.services.forwarding._exchange import Attempt, Exchange
from cuminhatch.services.forwarding._state import ForwardingState
from cuminhatch.services.forwarding._timers import UploadSliceDue


def take_first_slice(
    state: ForwardingState, exchange: Exchange, attempt: Attempt
) -> bytes:
    """
    Return the part of the body that is sent with the head of a request.

    The rest of an upload that was received ahead follows in slices; of other
    requests it is all that has arrived.
    """
    body = exchange.body
    if not exchange.is_received_ahead or len(body) <= FIRST_SLICE_BYTES:
        return bytes(body)
    attempt.body_sent_bytes = FIRST_SLICE_BYTES
    left_ms = exchange.deadline_ms - state.clock.now_ms
    attempt.body_min_rate = min_send_rate(len(body) - FIRST_SLICE_BYTES, left_ms)
    state.sliced_attempt_ids.add(attempt.attempt_id)
    schedule_slice(state, attempt)
    return body[:FIRST_SLICE_BYTES]


def schedule_slice(state: ForwardingState, attempt: Attempt) -> None:
    """Schedule the next slice of a body."""
    due = UploadSliceDue(attempt.attempt_id)
    state.call_at(state.clock.now_ms + SLICE_INTERVAL_MS, due)


def on_upload_slice_due(state: ForwardingState, message: UploadSliceDue) -> None:
    """Send the next slice of a body whose attempt has not ended."""
    exchange = state.exchanges_by_attempt.get(message.attempt_id)
    if exchange is None:
        return
    attempt = exchange.attempts[message.attempt_id]
    start = attempt.body_sent_bytes
    rest_bytes = len(exchange.body) - start
    sends = len(state.sliced_attempt_ids)
    size = next_slice_bytes(rest_bytes, attempt.body_min_rate, sends)
    is_last = size == rest_bytes
    attempt.body_sent_bytes += size
    part = AttemptRequestBody(
        attempt.attempt_id, exchange.body[start : start + size], is_last
    )
    state.send("backends", part)
    if is_last:
        state.sliced_attempt_ids.discard(attempt.attempt_id)
    else:
        schedule_slice(state, attempt)
