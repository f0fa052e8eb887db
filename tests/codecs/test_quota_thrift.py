"""Tests of the messages about quotas."""

import pytest

from cuminhatch.codecs.gen.quota.ttypes import QuotaReport as ThriftReport, TeamCounts
from cuminhatch.codecs.quota_thrift import decode_message, encode_message
from cuminhatch.codecs.signing import PeerMessageError, encode_struct
from cuminhatch.decisions import quota

KEY = b"key"
REPORT = quota.QuotaReport(
    "front-1",
    "north",
    2**31 - 1,
    (quota.TeamCounts("t", 9, 8, 7), quota.TeamCounts("u", 9, 8, 7, 0)),
)
SUMS = quota.QuotaSums(
    "front-1", "north", 7, 1_500, 3, 4, (quota.TeamSums("t", 9, 8, 7),)
)
FIGURES = quota.QuotaFigures(
    "front-1", "north", 7, True, 3, 4, (quota.TeamFigures("t", 9.5, -3.2, 0.125),)
)
MESSAGES = [REPORT, SUMS, FIGURES]


@pytest.mark.parametrize("message", MESSAGES)
def test_message_is_decoded_as_it_was_encoded(message):
    """Guards against fields that are lost or mixed up on the way."""
    assert decode_message(encode_message(message, KEY), KEY) == message


def test_share_is_not_rounded_up():
    """Guards against many instances that each admit a little too much."""
    figures = FIGURES._replace(figures=(quota.TeamFigures("t", 9.5, -0.01, 0.0009),))
    decoded = decode_message(encode_message(figures, KEY), KEY).figures[0]
    assert (decoded.share, decoded.balance) == (0.0, -0.1)


@pytest.mark.parametrize("count", [-1, None])
def test_count_that_would_give_quota_away_is_refused(count):
    """Guards against a malformed counter that raises a balance."""
    report = ThriftReport("i", "x", 1, [TeamCounts("t", 1, count, 1)])
    with pytest.raises(PeerMessageError):
        decode_message(encode_struct(20, report, KEY), KEY)


def test_message_of_another_key_is_refused():
    """Guards against counters from outside the deployment."""
    with pytest.raises(PeerMessageError):
        decode_message(encode_message(REPORT, b"other"), KEY)
