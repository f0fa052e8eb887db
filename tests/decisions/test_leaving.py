"""Tests of the signs that a backend server is leaving."""

import pytest

from cuminhatch.decisions.leaving import (
    NO_SIGNS,
    apply_observation,
    expire_refused_connection,
    is_server_leaving,
)


@pytest.mark.parametrize(
    "signs",
    [
        NO_SIGNS._replace(is_withdrawn=True),
        NO_SIGNS._replace(is_listed_as_leaving=True),
        NO_SIGNS._replace(reported_ms=5.0),
        NO_SIGNS._replace(refused_count=2),
    ],
)
def test_each_sign_is_enough(signs):
    """Guards against requests to a server that one source reports leaving."""
    assert is_server_leaving(signs)
    assert not is_server_leaving(NO_SIGNS)


def test_one_refused_connection_is_not_enough():
    """Guards against abandoning a server because of one full listen queue."""
    assert not is_server_leaving(NO_SIGNS._replace(refused_count=1))


def test_answer_within_the_margin_does_not_clear_the_report():
    """Guards against requests to a draining server after a stale probe."""
    signs = apply_observation(NO_SIGNS, True, 5000.0)
    assert is_server_leaving(apply_observation(signs, False, 5500.0))
    assert not is_server_leaving(apply_observation(signs, False, 6500.0))


def test_answer_does_not_override_note_or_list():
    """Guards against requests to a withdrawn server that still answers."""
    signs = NO_SIGNS._replace(
        is_withdrawn=True, is_listed_as_leaving=True, reported_ms=1.0
    )
    assert is_server_leaving(apply_observation(signs, False, 9000.0))


def test_refused_connections_expire():
    """Guards against a restarted server that never gets requests again."""
    signs = NO_SIGNS._replace(refused_count=2)
    assert not is_server_leaving(expire_refused_connection(signs))
