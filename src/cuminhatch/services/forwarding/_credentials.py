"""Checks the credentials of requests on arrival and before each send."""

from cuminhatch.codecs.dialect import RequestMetadata
from cuminhatch.codecs.http1 import RequestHead
from cuminhatch.decisions.configuration import Configuration, Rule
from cuminhatch.decisions.credentials import (
    AccessDenied,
    AccessGranted,
    check_access,
    recheck_access,
)
from cuminhatch.decisions.routing import NoRoute
from cuminhatch.messages.attempts import UnsentAttemptWithdrawn
from cuminhatch.services.forwarding._exchange import Exchange
from cuminhatch.services.forwarding._state import ForwardingState


def match_request(
    state: ForwardingState, head: RequestHead, facts: RequestMetadata
) -> Rule | NoRoute:
    """Return the rule that a request matches."""
    path = head.target.partition(b"?")[0].decode("latin-1")
    return state.match_rule(head.method.decode("latin-1"), path, facts.host)


def check_request(
    state: ForwardingState, rule: Rule, facts: RequestMetadata
) -> AccessGranted | AccessDenied:
    """Check whether a request may run that has just arrived."""
    return check_access(state.configuration, rule, facts.key_digest)


def accept_exchange(
    state: ForwardingState, exchange: Exchange, access: AccessGranted
) -> None:
    """
    Note for which team a request is accepted.

    Where callers have credentials, the head is kept without that of the
    caller, so that no later copy of the head can hold it.
    """
    exchange.team = access.team
    exchange.access_version = state.access_version
    if state.configuration.teams is not None and exchange.facts.has_team_headers:
        exchange.head = state.dialect.drop_team_headers(exchange.head)


def find_denial(state: ForwardingState, exchange: Exchange) -> AccessDenied | None:
    """
    Return why a request may no longer be sent, None if it may.

    It is checked again if the configuration has changed since.
    """
    if exchange.access_version == state.access_version:
        return None
    matched = match_request(state, exchange.head, exchange.facts)
    access = recheck_access(
        state.configuration,
        exchange.rule,
        None if isinstance(matched, NoRoute) else matched,
        exchange.team,
        exchange.facts.key_digest,
    )
    if isinstance(access, AccessDenied):
        return access
    accept_exchange(state, exchange, access)
    return None


def note_access_change(state: ForwardingState, previous: Configuration) -> None:
    """
    Have requests in progress checked again unless only servers have changed.

    :param state: state of forwarding, with the new configuration.
    :param previous: configuration before.
    """
    current = state.configuration
    if (
        previous.rules is not current.rules
        or previous.teams is not current.teams
        or previous.team_ids_by_key is not current.team_ids_by_key
    ):
        state.access_version += 1


def withdraw_outdated_attempts(state: ForwardingState) -> None:
    """
    Withdraw attempts that would not be made as they are now, unless sent.

    A connection may take seconds to open if packets are lost. A request whose
    attempt is withdrawn is checked again before it is resent.
    """
    if state.configuration.teams is None:
        return
    for exchange in state.exchanges.values():
        if exchange.attempts and is_outdated(state, exchange):
            for attempt_id in exchange.attempts:
                state.send("backends", UnsentAttemptWithdrawn(attempt_id))


def is_outdated(state: ForwardingState, exchange: Exchange) -> bool:
    """Check a request again, and tell whether it would be sent otherwise."""
    head, team = exchange.head, exchange.team
    if find_denial(state, exchange) is not None:
        return True
    return exchange.head is not head or (exchange.team is None) != (team is None)
