"""Settings of ``cuminhatch-gateway`` in TOML."""

from collections.abc import Mapping
from math import inf
from typing import Any, NamedTuple

from cuminhatch.address import Address
from cuminhatch.codecs.settings_keys import (
    Sections,
    SettingsKey,
    make_choice_reader,
    parse_address,
    read_addresses,
    read_boolean,
    read_milliseconds,
    read_non_negative_number,
    read_seconds,
    read_sections,
    read_string,
)
from cuminhatch.codecs.shared_settings import (
    PEERS_KEY_VARIABLE,
    InstanceSettings,
    PeersSettings,
)
from cuminhatch.errors import SettingsError
from cuminhatch.log import LEVELS


class StoreSettings(NamedTuple):
    """
    Settings of the metadata store.

    ``heartbeat_ms`` is the interval at which backend servers register there.
    """

    address: Address
    heartbeat_ms: float


class ResendSettings(NamedTuple):
    """
    Resend budget of a service, shared by all instances.

    A resend is a retry or a hedged attempt. Within any ``window_ms`` the
    budget allows ``ratio`` resends per request, plus ``extra`` resends.
    """

    ratio: float
    extra: float
    window_ms: float


class PlacementSettings(NamedTuple):
    """
    Settings of health checks and of the selection of a backend server.

    ``probes_per_s`` limits the health checks of one backend server by all
    instances together. ``candidates`` is how many servers are asked for their
    load before each selection. ``far_charge_ms_per_kb`` is the extra latency
    that is accepted per kilobyte of response body to keep it within the
    failure domain. Requests that are not idempotent use a connection up to
    ``active_connection_ms`` after its latest response, 0 for new ones only.
    """

    probes_per_s: float
    candidates: int
    far_charge_ms_per_kb: float
    active_connection_ms: float


class QuotaSettings(NamedTuple):
    """
    Enforcement of the quotas of teams over all instances.

    Within any ``window_s`` seconds a team may exceed its quota by a share of
    ``overshoot`` plus ``slack`` requests. Instances exchange their counters at
    ``address`` over UDP; the port is the same on all of them.
    """

    window_s: float
    overshoot: float
    slack: float
    address: Address


class WarmupSettings(NamedTuple):
    """
    Limit on the requests that a backend server gets while it warms up.

    In any second it gets at most ``overshoot`` times the rate that its service
    tolerates, plus ``slack`` requests, from all instances together.
    """

    overshoot: float
    slack: float


class StopSettings(NamedTuple):
    """
    Durations of a graceful shutdown, in milliseconds.

    ``announce_ms`` is the time from announcing the drain (reporting not ready)
    to closing the callers' port, ``total_ms`` the time from the announcement
    until the platform kills the process.
    """

    announce_ms: float
    total_ms: float


class GatewaySettings(NamedTuple):
    """
    All settings of ``cuminhatch-gateway``.

    ``callers_pipelined`` is how many pipelined requests of a caller's
    connection are handled at the same time.
    ``quota`` and ``warmup`` are None if the limits are not enforced.
    ``evacuation_ms`` is the time within which an evacuation of a failure
    domain takes effect, 0 if operators do not evacuate any. ``hedging_share``
    limits hedges to a share of the requests of a service, infinite for no
    limit but the resend budget. ``quota_address`` is known even if ``quota``
    is None. ``platform_bounds`` are limits of the platform in its own format.
    """

    instance: InstanceSettings
    callers_address: Address
    callers_pipelined: int
    readiness_address: Address
    metrics_address: Address
    peers: PeersSettings
    is_first_start: bool
    store: StoreSettings
    resends: ResendSettings
    placement: PlacementSettings
    drain: StopSettings
    log_level: str
    quota: QuotaSettings | None
    warmup: WarmupSettings | None
    evacuation_ms: float
    hedging_share: float
    quota_address: Address
    platform_bounds: str


# Stands for a key that is not set in a section that is left out.
NO_ADDRESS = Address("", 0)
# Stands for a duration that is not set in this unit.
NO_DURATION = -1.0
DEFAULT_RESEND_WINDOW_MS = 10_000.0
DEFAULT_STOP_TOTAL_MS = 6_000.0
# Time for the process to exit before the platform kills it.
EXIT_RESERVE_MS = 300.0

_SECTIONS: Sections = {
    "instance": {
        "id": SettingsKey(read_string),
        "failure_domain": SettingsKey(read_string),
    },
    "callers": {
        "address": SettingsKey(parse_address),
        "pipelined": SettingsKey(read_non_negative_number, 1.0),
    },
    "readiness": {"address": SettingsKey(parse_address)},
    "metrics": {"address": SettingsKey(parse_address)},
    "peers": {
        "address": SettingsKey(parse_address),
        "key": SettingsKey(read_string, variable=PEERS_KEY_VARIABLE),
        "seeds": SettingsKey(read_addresses, ()),
    },
    # Whether this is the first start of the system, that is of all instances.
    "start": {"is_first": SettingsKey(read_boolean, False)},
    "store": {
        "address": SettingsKey(parse_address),
        "heartbeat_ms": SettingsKey(read_milliseconds, 1_500.0),
    },
    "resends": {
        "ratio": SettingsKey(read_non_negative_number, 0.1),
        "extra": SettingsKey(read_non_negative_number, 10.0),
        "window_ms": SettingsKey(read_milliseconds, NO_DURATION),
        "window_s": SettingsKey(read_seconds, NO_DURATION),
    },
    "placement": {
        "probes_per_s": SettingsKey(read_non_negative_number, 10.0),
        "candidates": SettingsKey(read_non_negative_number, 4.0),
        "far_charge_ms_per_kb": SettingsKey(read_non_negative_number, 0.0),
        "active_connection_ms": SettingsKey(read_milliseconds, 0.0),
    },
    "drain": {
        "announce_ms": SettingsKey(read_milliseconds, 2_300.0),
        "total_ms": SettingsKey(read_milliseconds, NO_DURATION),
        "total_s": SettingsKey(read_seconds, NO_DURATION),
    },
    "log": {"level": SettingsKey(make_choice_reader(*LEVELS), "INFO")},
    "quota": {
        "window_s": SettingsKey(read_non_negative_number, 0.0),
        "overshoot": SettingsKey(read_non_negative_number, 0.0),
        "slack": SettingsKey(read_non_negative_number, 0.0),
        "address": SettingsKey(parse_address, NO_ADDRESS),
    },
    "warmup": {
        "overshoot": SettingsKey(read_non_negative_number, 0.0),
        "slack": SettingsKey(read_non_negative_number, 0.0),
    },
    "evacuation": {"within_ms": SettingsKey(read_milliseconds, 0.0)},
    "hedging": {"share": SettingsKey(read_non_negative_number, inf)},
    "platform": {"bounds": SettingsKey(read_string, "")},
}


def parse_gateway_settings(
    text: str, file_name: str, environment: Mapping[str, str]
) -> GatewaySettings:
    """
    Read and validate the settings of ``cuminhatch-gateway``.

    :param text: content of the settings file, in TOML.
    :param file_name: file name for error messages.
    :param environment: environment variables; ``CUMINHATCH_PEERS_KEY``
        overrides the file.
    :raises SettingsError: the settings are invalid; the message is one line
        that names the file and the key.
    """
    values = read_sections(text, _SECTIONS, file_name, environment)
    probes_per_s, candidates, far_charge, active_ms = values["placement"]
    return GatewaySettings(
        InstanceSettings(*values["instance"]),
        values["callers"][0],
        max(1, int(values["callers"][1])),
        values["readiness"][0],
        values["metrics"][0],
        PeersSettings(*values["peers"]),
        values["start"][0],
        StoreSettings(*values["store"]),
        _make_resend_settings(values["resends"], file_name),
        PlacementSettings(probes_per_s, max(1, int(candidates)), far_charge, active_ms),
        _make_stop_settings(values["drain"], file_name),
        values["log"][0],
        _make_quota_settings(values["quota"], file_name),
        _make_warmup_settings(values["warmup"]),
        values["evacuation"][0],
        values["hedging"][0],
        QuotaSettings(*values["quota"]).address,
        values["platform"][0],
    )


def _make_resend_settings(values: list[Any], file_name: str) -> ResendSettings:
    ratio, extra, *window_ms = values
    path = f"{file_name}: resends.window"
    return ResendSettings(
        ratio, extra, _choose_duration(path, *window_ms, DEFAULT_RESEND_WINDOW_MS)
    )


def _make_stop_settings(values: list[Any], file_name: str) -> StopSettings:
    announce_ms, *total_ms = values
    path = f"{file_name}: drain.total"
    stop = StopSettings(
        announce_ms, _choose_duration(path, *total_ms, DEFAULT_STOP_TOTAL_MS)
    )
    # Otherwise every request in progress would be cut off at once.
    needed_ms = stop.announce_ms + EXIT_RESERVE_MS
    if stop.total_ms < needed_ms:
        key = "total_ms" if total_ms[1] == NO_DURATION else "total_s"
        raise SettingsError(
            f"{file_name}: drain.{key}: a stop in {stop.total_ms:g} ms is shorter than"
            f" drain.announce_ms and {EXIT_RESERVE_MS:g} ms to exit, {needed_ms:g} ms"
        )
    return stop


def _choose_duration(
    path: str, value_ms: float, value_from_s_ms: float, default_ms: float
) -> float:
    """Return a duration that is set in one unit at most, in milliseconds."""
    if value_ms != NO_DURATION and value_from_s_ms != NO_DURATION:
        raise SettingsError(f"{path}_ms: set beside {path.split()[-1]}_s; remove one")
    if value_from_s_ms != NO_DURATION:
        return value_from_s_ms
    return default_ms if value_ms == NO_DURATION else value_ms


def _make_quota_settings(values: list[Any], file_name: str) -> QuotaSettings | None:
    quota = QuotaSettings(*values)
    if not quota.window_s:
        return None
    if quota.address == NO_ADDRESS:
        raise SettingsError(f"{file_name}: quota.address: missing; add it")
    return quota


def _make_warmup_settings(values: list[Any]) -> WarmupSettings | None:
    warmup = WarmupSettings(*values)
    return warmup if warmup.overshoot or warmup.slack else None
