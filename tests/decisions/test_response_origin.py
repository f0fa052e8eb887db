"""Tests of the decision which request a response belongs to."""

from math import inf

import pytest

from cuminhatch.decisions.response_origin import (
    ResponseEvidence,
    idle_limit_ms,
    is_own_response,
    is_refusal_proven,
)


@pytest.mark.parametrize(
    ("expected_id", "response_ids", "is_reused", "is_own"),
    [
        (b"7", (b"7",), False, True),
        (b"7", (b"7",), True, True),
        (b"7", (b"6",), False, False),
        (b"7", (b"6",), True, False),
        (b"7", (b"6", b"7"), False, False),
        (b"7", (b"7", b"6"), True, False),
        (b"7", (), False, True),
        (b"7", (), True, False),
        (b"", (b"6",), False, False),
        (b"", (), False, True),
        (b"", (), True, False),
    ],
)
def test_response_belongs_to_the_request_whose_id_it_carries(
    expected_id, response_ids, is_reused, is_own
):
    """Guards against a repeated response that is taken for the next one."""
    evidence = ResponseEvidence(expected_id, response_ids, is_reused, False)
    assert is_own_response(evidence) is is_own
    assert is_refusal_proven(evidence) is is_own


def test_refusal_with_more_bytes_behind_it_proves_nothing():
    """Guards against a not-run of a request that the same server answers."""
    evidence = ResponseEvidence(b"7", (b"7",), False, True)
    assert is_own_response(evidence)
    assert not is_refusal_proven(evidence)


@pytest.mark.parametrize(
    ("request_id", "is_idempotent", "is_attempted", "active_ms", "limit_ms"),
    [
        (b"7", True, False, 0.0, inf),
        (b"7", True, False, 50.0, inf),
        (b"7", True, True, 50.0, 0.0),
        (b"7", False, False, 0.0, 0.0),
        (b"7", False, False, 50.0, 50.0),
        (b"7", False, True, 50.0, 0.0),
        (b"", True, False, 50.0, 0.0),
        (b"", False, False, 50.0, 0.0),
    ],
)
def test_connection_that_can_hold_a_repetition_is_not_used(
    request_id, is_idempotent, is_attempted, active_ms, limit_ms
):
    """Guards against a repeated refusal that carries the expected id."""
    found = idle_limit_ms(request_id, is_idempotent, is_attempted, active_ms)
    assert found == limit_ms
