"""Receives the bodies of uploads before a backend server is chosen."""

from cuminhatch.decisions.configuration import Rule
from cuminhatch.decisions.credentials import (
    RULE_DISABLED,
    STATUS_UNAVAILABLE,
    AccessDenied,
)
from cuminhatch.decisions.routing import NoRoute
from cuminhatch.messages import RequestBody, RequestReadPaused, RequestReadResumed
from cuminhatch.outcomes import Outcome
from cuminhatch.services.forwarding._admission import count_demand
from cuminhatch.services.forwarding._completion import (
    finish_exchange,
    refuse_access,
    send_error_response,
)
from cuminhatch.services.forwarding._credentials import find_denial, match_request
from cuminhatch.services.forwarding._exchange import (
    REQUEST_BUFFER_MAX_BYTES,
    Exchange,
    Stage,
)
from cuminhatch.services.forwarding._placement import place_exchange
from cuminhatch.services.forwarding._state import ForwardingState

# Values of the label ``handling`` of the metric ``uploads_total``.
RECEIVED_AHEAD = "received-ahead"
STREAMED = "streamed"


def receive_or_place(state: ForwardingState, exchange: Exchange) -> None:
    """Receive the body of an upload; place any other request at once."""
    if not exchange.rule.is_upload:
        place_exchange(state, exchange)
        return
    size = exchange.body_length
    if size is None:
        size = len(exchange.body)
    obstacle = state.uploads.reserve(exchange.request_id, size)
    if obstacle:
        stream_upload(state, exchange, obstacle)
    elif exchange.is_body_complete:
        end_receiving(state, exchange)
    else:
        exchange.stage = Stage.RECEIVING
        state.send("callers", RequestReadResumed(exchange.request_id))


def receive_part(
    state: ForwardingState, exchange: Exchange, message: RequestBody
) -> None:
    """Keep a part of an upload; place the request after the last one."""
    exchange.body += message.data
    obstacle = ""
    if exchange.body_length is None:
        obstacle = state.uploads.reserve(exchange.request_id, len(exchange.body))
    if obstacle:
        if update_route(state, exchange):
            stream_upload(state, exchange, obstacle)
    elif message.is_complete:
        end_receiving(state, exchange)


def stream_upload(state: ForwardingState, exchange: Exchange, obstacle: str) -> None:
    """Place an upload whose body is passed on as it arrives."""
    exchange.placeable_ms = state.clock.now_ms
    details = {"reason": obstacle, "received_bytes": len(exchange.body)}
    state.record("upload_streamed", exchange.trace_id, details)
    count_upload(state, exchange, STREAMED)
    if len(exchange.body) > REQUEST_BUFFER_MAX_BYTES and not exchange.is_body_complete:
        exchange.is_read_paused = True
        state.send("callers", RequestReadPaused(exchange.request_id))
    place_exchange(state, exchange)


def end_receiving(state: ForwardingState, exchange: Exchange) -> None:
    """Place an upload whose whole body has arrived."""
    now_ms = state.clock.now_ms
    exchange.is_received_ahead = True
    # Sent without another copy.
    exchange.body = bytes(exchange.body)
    exchange.placeable_ms = now_ms
    took_ms = now_ms - exchange.received_ms
    details = {"bytes": len(exchange.body), "took_ms": round(took_ms, 1)}
    state.record("upload_received", exchange.trace_id, details)
    state.observe_stage(exchange, "receiving", took_ms)
    count_upload(state, exchange, RECEIVED_AHEAD)
    if update_route(state, exchange):
        place_exchange(state, exchange)


def update_route(state: ForwardingState, exchange: Exchange) -> bool:
    """
    Route a request by the configuration in force.

    A withdrawn route must not run requests a few seconds later, and a body may
    take that long to arrive. What is refused on arrival, or while it waits, is
    refused here as well.

    :returns: whether the request may still run; it is refused if not.
    """
    denied = find_denial(state, exchange)
    if denied is not None:
        refuse_access(state, exchange, denied)
        return False
    rule = match_request(state, exchange.head, exchange.facts)
    if isinstance(rule, NoRoute):
        send_error_response(state, exchange, 404, Outcome.NOT_RUN, rule.reason, None)
        finish_exchange(state, exchange, rule.reason)
        return False
    if rule.fault:
        # Without teams, access is not checked again.
        refuse_access(state, exchange, AccessDenied(STATUS_UNAVAILABLE, RULE_DISABLED))
        return False
    if rule != exchange.rule:
        change_rule(state, exchange, rule)
    return True


def change_rule(state: ForwardingState, exchange: Exchange, rule: Rule) -> None:
    """Move a request to a changed rule, and to a service of it."""
    previous_id = exchange.service_id
    exchange.rule = rule
    exchange.service_id = state.pick_service(rule)
    if exchange.service_id != previous_id:
        # Ranks and demand of another service are others.
        count_demand(state, exchange)


def count_upload(state: ForwardingState, exchange: Exchange, handling: str) -> None:
    """Count an upload by how its body is handled."""
    labels = {"service": exchange.service_id, "handling": handling}
    state.increment("uploads_total", labels)
