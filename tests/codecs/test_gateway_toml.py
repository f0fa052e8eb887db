"""Tests of the settings of a gateway daemon."""

from math import inf

import pytest

from cuminhatch.address import Address
from cuminhatch.codecs.gateway_toml import parse_gateway_settings
from cuminhatch.errors import SettingsError
from cuminhatch.gateway import drain_limit_ms

TEXT = """
[instance]
id = "front-1"
failure_domain = "kingston"
[callers]
address = "10.1.0.18:8381"
[readiness]
address = "10.1.0.18:8388"
[metrics]
address = "10.1.0.18:8382"
[peers]
address = "10.1.0.18:7200"
key = "secret"
seeds = ["10.2.0.34:8382"]
[store]
address = "10.200.1.7:8384"
[start]
is_first = true
[resends]
ratio = 0.2
extra = 56
window_ms = 10000
[placement]
probes_per_s = 60
"""


def parse(text):
    return parse_gateway_settings(text, "boot.toml", {})


def test_settings_are_read():
    """Guards against a value that is read into the wrong field."""
    settings = parse(TEXT)
    assert settings.instance.failure_domain == "kingston"
    assert settings.store.address.port == 8384
    assert settings.store.heartbeat_ms == 1500.0
    assert settings.is_first_start
    assert settings.peers.seeds[0].host == "10.2.0.34"
    assert settings.resends == (0.2, 56.0, 10_000.0)
    assert settings.placement.candidates == 4
    assert settings.drain.announce_ms > 2_000.0


def test_limits_are_off_without_their_sections():
    """Guards against limits in deployments that have not asked for them."""
    settings = parse(TEXT)
    assert settings.quota is None
    assert settings.warmup is None
    assert settings.evacuation_ms == 0.0
    assert settings.hedging_share == inf


def test_limits_are_read():
    """Guards against a limit that is read into the wrong field."""
    sections = """
[quota]
window_s = 5
overshoot = 0.1
slack = 20
address = "10.1.0.18:7215"
[warmup]
overshoot = 1.5
slack = 8
[evacuation]
within_ms = 5000
[hedging]
share = 0.02
"""
    settings = parse(TEXT + sections)
    assert settings.quota == (5.0, 0.1, 20.0, Address("10.1.0.18", 7215))
    assert settings.warmup == (1.5, 8.0)
    assert settings.evacuation_ms == 5000.0
    assert settings.hedging_share == 0.02


def test_quota_without_an_address_is_refused():
    """Guards against quotas that no other instance hears of."""
    with pytest.raises(SettingsError, match="quota.address"):
        parse(TEXT + "[quota]\nwindow_s = 5\n")


@pytest.mark.parametrize(
    ("before", "after", "named"),
    [
        ('id = "front-1"', "", "instance.id"),
        ("10.200.1.7:8384", "10.200.1.7", "store.address"),
        ("ratio = 0.2", "ratio = -1", "resends.ratio"),
        ("ratio = 0.2", "ratio = true", "resends.ratio"),
        ("[store]", "[stores]", "stores"),
        ("extra", "extras", "resends.extras"),
        ("[resends]", "[resends", "TOML"),
    ],
)
def test_error_names_file_and_key(before, after, named):
    """Guards against a daemon that starts with invalid settings."""
    with pytest.raises(SettingsError, match=named) as caught:
        parse(TEXT.replace(before, after))
    assert str(caught.value).startswith("boot.toml: ")


@pytest.mark.parametrize(
    ("section", "named"),
    [
        ("[drain]\ntotal_s = 2.5\n", "drain.total_s: a stop in 2500 ms"),
        ("[drain]\ntotal_ms = 2599\n", "drain.total_ms: a stop in 2599 ms"),
        ("[drain]\nannounce_ms = 6000\n", "drain.total_ms: a stop in 6000 ms"),
        ("[drain]\ntotal_s = 6\ntotal_ms = 6000\n", "drain.total_ms: set beside"),
        ("[drain]\ntotal_s = -1\n", "drain.total_s: expected a number of seconds"),
    ],
)
def test_stop_that_is_too_short_or_ambiguous_is_refused(section, named):
    """Guards against a stop that cuts off all requests in progress."""
    with pytest.raises(SettingsError, match=named):
        parse(TEXT + section)


def test_window_in_two_units_is_refused():
    """Guards against one of two contradicting values that is ignored."""
    with pytest.raises(SettingsError, match="resends.window_ms: set beside"):
        parse(TEXT.replace("window_ms = 10000", "window_ms = 1\nwindow_s = 1"))


def test_durations_have_defaults():
    """Guards against a stop or a window of no time where none is set."""
    settings = parse(TEXT.replace("window_ms = 10000\n", ""))
    assert settings.resends.window_ms == 10_000.0
    assert settings.drain == (2_300.0, 6_000.0)
    assert parse(TEXT + "[drain]\ntotal_ms = 2600\n").drain.total_ms == 2600.0


def test_drain_ends_before_the_process_is_killed():
    """Guards against a shutdown that exceeds the platform's kill timeout."""
    stop = parse(TEXT + "[drain]\nannounce_ms = 2300\ntotal_ms = 4000\n").drain
    assert stop.announce_ms + drain_limit_ms(stop) < 4_000.0
    assert drain_limit_ms(stop._replace(total_ms=1_000.0)) == 0.0
