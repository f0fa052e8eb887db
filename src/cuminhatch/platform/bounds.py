"""
Limits that the platform's terms set for all instances together.

A deployment has only some of them, and the settings template cannot leave out
what is missing, so they come as one JSON object.
"""

from typing import Any

import orjson

from cuminhatch.codecs.gateway_toml import (
    GatewaySettings,
    QuotaSettings,
    WarmupSettings,
)
from cuminhatch.errors import SettingsError


def apply_bounds(settings: GatewaySettings, file_name: str) -> GatewaySettings:
    """
    Return settings with the limits that the platform sets.

    Limits in sections of the settings file take precedence.

    :param settings: settings as read.
    :param file_name: file name for error messages.
    :raises SettingsError: the limits are malformed; the message names the
        file and the limit.
    """
    if not settings.platform_bounds:
        return settings
    bounds = _load_bounds(settings.platform_bounds, file_name)

    def get(name: str) -> float:
        value = bounds.get(name) or 0.0
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or value < 0:
            raise SettingsError(
                f"{file_name}: platform.bounds: {name}: expected a number, 0 or more"
            )
        return float(value)

    quota, warmup = settings.quota, settings.warmup
    window_s = get("quota-window-s")
    if quota is None and window_s:
        overshoot, slack = get("quota-overshoot"), get("quota-slack")
        quota = QuotaSettings(window_s, overshoot, slack, settings.quota_address)
    overshoot, slack = get("warmup-overshoot"), get("warmup-slack")
    if warmup is None and (overshoot or slack):
        warmup = WarmupSettings(overshoot, slack)
    evacuation_ms = settings.evacuation_ms or get("evacuation-ms")
    return settings._replace(quota=quota, warmup=warmup, evacuation_ms=evacuation_ms)


def _load_bounds(text: str, file_name: str) -> dict[str, Any]:
    try:
        bounds = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise SettingsError(f"{file_name}: platform.bounds: {error}") from error
    if not isinstance(bounds, dict):
        raise SettingsError(f"{file_name}: platform.bounds: expected a JSON object")
    return bounds
