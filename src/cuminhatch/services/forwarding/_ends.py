"""Ends requests, and tells callers the outcome."""

from cuminhatch.decisions.placement import RETRY_AFTER_MIN_MS, NotPlaced
from cuminhatch.messages import RequestFailed, RequestRefused, ResponseAborted
from cuminhatch.outcomes import Outcome
from cuminhatch.services.forwarding._attempts import cancel_attempts
from cuminhatch.services.forwarding._exchange import Exchange, Stage
from cuminhatch.services.forwarding._state import ForwardingState
from cuminhatch.services.forwarding._timers import ExchangeDue

# Callers that were refused together must not return together.
RETRY_SPREAD = 0.3


def refuse_unplaced(
    state: ForwardingState, exchange: Exchange, refusal: NotPlaced
) -> None:
    """End a request that no server can take."""
    give_up(state, exchange, refusal.reason, refusal.room_in_ms)


def give_up(
    state: ForwardingState,
    exchange: Exchange,
    reason: str,
    room_in_ms: float = RETRY_AFTER_MIN_MS,
) -> None:
    """
    End a request that no send has answered.

    Only a request that certainly has not run is refused as such. Its caller
    is told to come back when there is room, and not together with others.
    """
    if exchange.stage is Stage.ANSWERING:
        break_off(state, exchange, reason)
    elif exchange.is_maybe_run:
        end_unknown(state, exchange, 502, reason)
    else:
        spread = 1.0 + RETRY_SPREAD * (2.0 * state.rng.random() - 1.0)
        retry_after_ms = round(room_in_ms * spread, 1)
        tell(state, exchange, 503, Outcome.NOT_RUN, reason, retry_after_ms)
        finish_exchange(state, exchange, reason)


def end_unknown(
    state: ForwardingState, exchange: Exchange, status: int, reason: str
) -> None:
    """End a request whose outcome is not known."""
    tell(state, exchange, status, Outcome.UNKNOWN, reason, None)
    finish_exchange(state, exchange, reason)


def break_off(state: ForwardingState, exchange: Exchange, reason: str) -> None:
    """End a request whose answer will not be whole."""
    if not exchange.is_caller_gone:
        state.send("callers", ResponseAborted(exchange.request_id))
    state.record("broken_off", exchange.trace_id, {"reason": reason})
    cancel_attempts(state, exchange)
    finish_exchange(state, exchange, reason)


def tell(
    state: ForwardingState,
    exchange: Exchange,
    status: int,
    outcome: Outcome,
    reason: str,
    retry_after_ms: float | None,
) -> None:
    """Send an answer of our own, unless the caller has gone."""
    now_ms = state.clock.now_ms
    details = {
        "status": status,
        "reason": reason,
        "waited_ms": round(now_ms - exchange.received_ms, 1),
        "sends": exchange.sends,
        "failure": exchange.failure,
        "retry_after_ms": retry_after_ms,
    }
    name = "refused" if outcome is Outcome.NOT_RUN else "failed"
    state.record(name, exchange.trace_id, details)
    if not exchange.is_caller_gone:
        refusal = RequestRefused(
            exchange.request_id, status, outcome, reason, b"", retry_after_ms
        )
        state.send("callers", refusal)


def finish_exchange(state: ForwardingState, exchange: Exchange, reason: str) -> None:
    """Forget a request and count its end."""
    for timer in (exchange.timer, exchange.hedge_timer):
        state.kernel.cancel(timer)
    state.by_measurement.pop(exchange.measurement_id, None)
    del state.exchanges[exchange.request_id]
    labels = {"service": exchange.service_id, "end": reason}
    state.count("requests_total", labels)
    duration_ms = state.clock.now_ms - exchange.received_ms
    service = {"service": exchange.service_id}
    state.observe("request_duration_ms", service, duration_ms)
    state.observe_stage(exchange, "total", duration_ms)


def on_exchange_due(state: ForwardingState, message: ExchangeDue) -> None:
    """Give the caller its final answer."""
    exchange = state.exchanges.get(message.request_id)
    if exchange is None:
        return
    exchange.timer = None
    if exchange.stage is Stage.ANSWERING:
        # The answer is on its way; the caller decides how long it waits.
        return
    if exchange.attempts:
        exchange.is_maybe_run = True
    if not exchange.is_maybe_run:
        give_up(state, exchange, "timeout")
        return
    cancel_attempts(state, exchange)
    end_unknown(state, exchange, 504, "timeout")


def on_request_failed(state: ForwardingState, message: RequestFailed) -> None:
    """Answer a request whose handler failed."""
    exchange = state.exchanges.get(message.request_id)
    if exchange is None:
        # Its first handler failed, or it has ended; the listener ignores
        # refusals of requests that it has answered.
        refusal = RequestRefused(
            message.request_id, 502, Outcome.UNKNOWN, message.reason
        )
        state.send("callers", refusal)
        return
    exchange.is_maybe_run |= bool(exchange.attempts)
    cancel_attempts(state, exchange)
    give_up(state, exchange, message.reason)
