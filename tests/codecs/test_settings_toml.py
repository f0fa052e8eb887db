"""Tests of the settings of ``cuminhatchd``."""

import pytest

from cuminhatch.address import Address
from cuminhatch.codecs.settings_toml import parse_settings
from cuminhatch.errors import SettingsError

VALID = """
[instance]
id = "entry-1"
failure_domain = "Kingston"
[callers]
address = "127.0.0.1:8080"
[operators]
address = "127.0.0.1:8081"
key = "o"
[peers]
address = "127.0.0.1:8082"
key = "p"
seeds = ["127.0.0.1:8182"]
[platform]
table = "127.0.0.1:9001"
objects = "127.0.0.1:9002"
list = "127.0.0.1:9003"
"""


def test_valid_settings_and_defaults():
    """Guards against a value that is read into the wrong field."""
    settings = parse_settings(VALID, "d.toml", {})
    assert settings.instance.instance_id == "entry-1"
    assert settings.peers.seeds == (Address("127.0.0.1", 8182),)
    assert settings.platform.instance_list == Address("127.0.0.1", 9003)
    assert settings.drain.announce_ms == 5000.0
    assert settings.choice_policy == "power-of-d"


def test_choice_policy_is_read():
    """Guards against a choice policy that is ignored."""
    text = VALID + '[choice]\npolicy = "round-robin"\n'
    assert parse_settings(text, "d.toml", {}).choice_policy == "round-robin"


def test_environment_overrides_the_file():
    """Guards against secrets that must be stored in the settings file."""
    settings = parse_settings(VALID, "d.toml", {"CUMINHATCH_PEERS_KEY": "secret"})
    assert settings.peers.key == "secret"


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ('key = "o"', ""),
        ('key = "o"', "key = 5"),
        ("[callers]", "[caller]"),
        ('id = "entry-1"', 'id = "entry-1"\nname = "x"'),
        ('"127.0.0.1:8080"', '"localhost:8080"'),
        ('"127.0.0.1:8080"', '"127.0.0.1:99999"'),
        ('["127.0.0.1:8182"]', '"127.0.0.1:8182"'),
        ("[platform]", "[drain]\nlimit_ms = -1\n[platform]"),
        ("[platform]", '[choice]\npolicy = "first"\n[platform]'),
        ("[platform]", "[platform"),
    ],
)
def test_error_is_one_line_that_names_file_and_key(old, new, snapshot):
    """Guards against invalid settings that are accepted or unexplained."""
    with pytest.raises(SettingsError) as caught:
        parse_settings(VALID.replace(old, new, 1), "d.toml", {})
    assert "\n" not in str(caught.value)
    assert str(caught.value) == snapshot
