"""Messages that daemons exchange about quotas, encoded with thrift."""

from math import floor
from typing import Any

from cuminhatch.codecs.gen.quota.ttypes import (
    QuotaFigures as ThriftFigures,
    QuotaReport as ThriftReport,
    QuotaSums as ThriftSums,
    TeamCounts as ThriftTeamCounts,
    TeamFigures as ThriftTeamFigures,
    TeamSums as ThriftTeamSums,
)
from cuminhatch.codecs.signing import PeerMessageError, decode_struct, encode_struct
from cuminhatch.decisions.quota import (
    QuotaFigures,
    QuotaMessage,
    QuotaReport,
    QuotaSums,
    TeamCounts,
    TeamFigures,
    TeamSums,
)

# Integers of this unit take two bytes where a double takes eight.
TENTHS = 10.0
THOUSANDTHS = 1_000.0
MAX_I32 = 2**31 - 1


def _report_to_thrift(message: QuotaReport) -> ThriftReport:
    counts = [ThriftTeamCounts(*item) for item in message.counts]
    return ThriftReport(
        message.instance_id, message.failure_domain, message.incarnation, counts
    )


def _report_from_thrift(data: ThriftReport) -> QuotaReport:
    counts = tuple(
        TeamCounts(
            item.team_id,
            _check_count(item.asked),
            _check_count(item.admitted),
            _check_count(item.in_window),
            None if item.accounted is None else _check_count(item.accounted),
        )
        for item in data.counts
    )
    return QuotaReport(
        _check_id(data.instance_id), data.failure_domain, data.incarnation, counts
    )


def _sums_to_thrift(message: QuotaSums) -> ThriftSums:
    return ThriftSums(
        message.aggregator_id,
        message.failure_domain,
        message.session,
        min(message.age_ms, MAX_I32),
        message.heard,
        message.known,
        [ThriftTeamSums(*item) for item in message.counts],
    )


def _sums_from_thrift(data: ThriftSums) -> QuotaSums:
    counts = tuple(
        TeamSums(
            item.team_id,
            _check_count(item.asked),
            _check_count(item.admitted),
            _check_count(item.in_window),
        )
        for item in data.counts
    )
    return QuotaSums(
        _check_id(data.aggregator_id),
        data.failure_domain,
        data.session,
        _check_count(data.age_ms),
        _check_count(data.heard),
        _check_count(data.known),
        counts,
    )


def _figures_to_thrift(message: QuotaFigures) -> ThriftFigures:
    return ThriftFigures(
        message.aggregator_id,
        message.failure_domain,
        message.session,
        message.is_settled,
        message.heard,
        message.known,
        [
            ThriftTeamFigures(
                item.team_id,
                round(item.asked_per_s * TENTHS),
                floor(item.balance * TENTHS),
                floor(item.share * THOUSANDTHS),
            )
            for item in message.figures
        ],
    )


def _figures_from_thrift(data: ThriftFigures) -> QuotaFigures:
    figures = tuple(
        TeamFigures(
            item.team_id,
            _check_count(item.asked_per_10s) / TENTHS,
            item.balance_tenths / TENTHS,
            min(1.0, _check_count(item.share_thousandths) / THOUSANDTHS),
        )
        for item in data.figures
    )
    return QuotaFigures(
        _check_id(data.aggregator_id),
        data.failure_domain,
        data.session,
        bool(data.is_settled),
        _check_count(data.heard),
        _check_count(data.known),
        figures,
    )


def _check_count(value: int | None) -> int:
    # A negative counter would give a quota more than it has.
    if value is None or value < 0:
        raise PeerMessageError(f"count {value} is out of range")
    return value


def _check_id(value: str | None) -> str:
    if not value:
        raise PeerMessageError("the sender is not named")
    return value


_ENCODERS: dict[type, tuple[int, Any]] = {
    QuotaReport: (20, _report_to_thrift),
    QuotaSums: (21, _sums_to_thrift),
    QuotaFigures: (22, _figures_to_thrift),
}
_DECODERS: dict[int, tuple[Any, Any]] = {
    20: (ThriftReport, _report_from_thrift),
    21: (ThriftSums, _sums_from_thrift),
    22: (ThriftFigures, _figures_from_thrift),
}


def encode_message(message: QuotaMessage, key: bytes) -> bytes:
    """
    Encode and sign a message.

    :param message: message to encode.
    :param key: HMAC key shared by all daemons.
    """
    kind, convert = _ENCODERS[type(message)]
    return encode_struct(kind, convert(message), key)


def decode_message(data: bytes, key: bytes) -> QuotaMessage:
    """
    Verify and decode a message.

    :param data: bytes as received.
    :param key: HMAC key shared by all daemons.
    :raises PeerMessageError: the HMAC does not match, the kind is unknown or
        the struct is malformed.
    """
    return decode_struct(_DECODERS, data, key)
