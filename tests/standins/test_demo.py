"""Tests of the addresses and settings of the demo."""

import tomllib

from cuminhatch_standins.demo import (
    DAEMONS,
    INSTANCE_LIST_ADDRESS,
    OBJECT_STORE_ADDRESS,
    TABLE_ADDRESS,
    daemon_settings,
    list_backends,
)


def test_every_address_is_used_once():
    """Guards against two processes of the demo on one port."""
    addresses = [TABLE_ADDRESS, OBJECT_STORE_ADDRESS, INSTANCE_LIST_ADDRESS]
    addresses += [backend.address for backend in list_backends()]
    for daemon in DAEMONS:
        addresses += [daemon.callers, daemon.operators, daemon.peers]
    assert len(set(addresses)) == len(addresses) == 3 + 26 + 6


def test_settings_are_toml_and_name_the_other_daemon():
    """Guards against daemons that cannot read their settings or find peers."""
    settings = tomllib.loads(daemon_settings(DAEMONS[0], DAEMONS))
    assert settings["instance"] == {"id": "entry-1", "failure_domain": "Kingston"}
    assert settings["peers"]["address"] == "127.0.0.1:8082"
    assert settings["peers"]["seeds"] == ["127.0.0.1:8182"]
    assert settings["platform"]["list"] == "127.0.0.1:9003"
    assert settings["drain"] == {"announce_ms": 3000, "limit_ms": 60000}
