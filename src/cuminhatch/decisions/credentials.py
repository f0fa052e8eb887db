"""
Which requests may run, by their credentials and the configuration in force.

Only digests of credentials are kept. All decisions are look-ups in the
configuration, so they take the same time under any load, however many teams,
keys or unknown keys there are.

A digest is looked up in a hash table, so the time of a look-up does not tell
how much of a guessed credential is right. Credentials are random and long
enough that a digest without a salt does not reveal them.
"""

from hashlib import sha256
from typing import NamedTuple

from cuminhatch.decisions.configuration import Configuration, Rule, Team

DIGEST_BYTES = 16

# Reasons that callers and the event log are told.
UNKNOWN_CREDENTIAL = "unknown-credential"
CREDENTIAL_MOVED = "credential-moved"
RULE_DISABLED = "rule-disabled"
TEAM_DISABLED = "team-disabled"
ROUTE_REMOVED = "route-removed"
ROUTE_CHANGED = "route-changed"

# Why a request may be refused on arrival.
ARRIVAL_REASONS = frozenset({UNKNOWN_CREDENTIAL, RULE_DISABLED, TEAM_DISABLED})

STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503


class AccessGranted(NamedTuple):
    """The request may run, for a team or for none."""

    team: Team | None


class AccessDenied(NamedTuple):
    """
    The request may not run.

    ``status`` is that of the response if it has not run yet. ``team_id`` is
    the team it belongs to, empty if that is unknown or not the reason.
    """

    status: int
    reason: str
    team_id: str = ""

    @property
    def is_temporary(self) -> bool:
        """Tell whether the same request may be accepted later."""
        return self.status == STATUS_UNAVAILABLE


def digest_credential(credential: bytes) -> bytes:
    """
    Return the digest by which a credential is known.

    :param credential: credential as sent by a caller, without surrounding
        white space.
    :returns: ``DIGEST_BYTES`` bytes.
    """
    return sha256(credential).digest()[:DIGEST_BYTES]


def check_access(
    configuration: Configuration, rule: Rule, key_digest: bytes
) -> AccessGranted | AccessDenied:
    """
    Decide whether a request may run.

    :param configuration: configuration in force.
    :param rule: rule of it that the request matches.
    :param key_digest: digest of the credential, empty if there is none.
    """
    if rule.fault:
        return AccessDenied(STATUS_UNAVAILABLE, RULE_DISABLED)
    if configuration.teams is None or rule.is_anonymous:
        return AccessGranted(None)
    # An empty digest is never looked up, whatever the configuration holds.
    team_id = configuration.team_ids_by_key.get(key_digest) if key_digest else None
    team = None if team_id is None else configuration.teams.get(team_id)
    if team is None:
        return AccessDenied(STATUS_UNAUTHORIZED, UNKNOWN_CREDENTIAL)
    if team.fault:
        return AccessDenied(STATUS_UNAVAILABLE, TEAM_DISABLED, team.team_id)
    return AccessGranted(team)


def recheck_access(
    configuration: Configuration,
    rule: Rule,
    matched: Rule | None,
    team: Team | None,
    key_digest: bytes,
) -> AccessGranted | AccessDenied:
    """
    Decide whether a request accepted before a change may still be sent.

    What was decided for it depends on its rule and its team, so it is not
    moved to others: its caller is told to send it again.

    :param configuration: configuration in force now.
    :param rule: rule that the request was accepted for.
    :param matched: rule that it matches now, None for none.
    :param team: team that it was accepted for, None for none.
    :param key_digest: digest of the credential, empty if there is none.
    """
    if configuration.teams is None:
        return AccessGranted(team)
    if matched is None:
        return AccessDenied(STATUS_NOT_FOUND, ROUTE_REMOVED)
    access = check_access(configuration, matched, key_digest)
    if isinstance(access, AccessDenied):
        return access
    if matched.rule_id != rule.rule_id:
        return AccessDenied(STATUS_UNAVAILABLE, ROUTE_CHANGED)
    if access.team is not None:
        if team is None or access.team.team_id != team.team_id:
            return AccessDenied(STATUS_UNAVAILABLE, CREDENTIAL_MOVED)
    return access
