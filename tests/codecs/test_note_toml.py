"""Tests of note files, of the JSON of notes, and of the example files."""

from pathlib import Path

import pytest

from cuminhatch import CodecError
from cuminhatch.codecs.note_json import (
    accepted_note_from_row,
    decode_note,
    decode_snapshot,
    digest_note,
    encode_note,
    encode_snapshot,
    note_to_dict,
)
from cuminhatch.codecs.note_toml import parse_note
from cuminhatch.decisions.configuration import (
    EMPTY_CONFIGURATION,
    apply_note,
    list_servers,
)
from cuminhatch.decisions.notes import AcceptedNote, check_note

EXAMPLES = Path(__file__).parent.parent.parent / "examples"
BLUE_MAHOE = {"status-board": 10, "dispatch-ledger": 6, "archive-depot": 10}
HEAD = 'id = "n1"\nauthor = "rhea"\nsummary = "s"\n'


def read_example(name):
    return parse_note((EXAMPLES / name).read_text(), name)


def apply_examples(*names):
    configuration = EMPTY_CONFIGURATION
    for name in names:
        note = read_example(name)
        assert check_note(configuration, note) is None
        accepted = AcceptedNote(configuration.sequence + 1, note)
        configuration = apply_note(configuration, accepted)
    return configuration


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (HEAD + "x = \n", "f.toml: not valid TOML: Invalid value (at line 4"),
        (HEAD + "rules = []\n", "f.toml: unknown key rules; use some of id"),
        ('id = "n1"\nauthor = "rhea"\n', "f.toml: summary must be a string"),
        (HEAD + 'base = "3"\n', "f.toml: base must be the sequence number"),
        (HEAD + "[rule]\n", "f.toml: rule must be written as [[rule]]"),
        (HEAD + "rule = [1]\n", "f.toml: rule[1] must be a table"),
        (HEAD + "[[rule]]\n", "f.toml: rule[1].id must be a string"),
        (HEAD + '[[rule]]\nid="r"\naction=1\n', "f.toml: rule[1].action must be"),
        (HEAD + '[[rule]]\nid="r"\nx=[1]\n', "f.toml: rule[1].x (r) must be"),
    ],
)
def test_error_names_file_and_location(text, expected):
    """Guards against an error message without the location of the error."""
    with pytest.raises(CodecError) as caught:
        parse_note(text, "f.toml")
    assert str(caught.value).startswith(expected)


def test_action_defaults_to_add():
    """Guards against an item with no action or a wrong one."""
    text = HEAD + 'base = 3\n[[service]]\nid = "a"\n[[rule]]\nid = "r"\n'
    note = parse_note(text + 'action = "withdraw"\n', "f.toml")
    assert [item.action for item in note.items] == ["add", "withdraw"]
    assert note.base == 3


def test_json_round_trip_keeps_note_and_digest():
    """Guards against a note whose digest differs between instances."""
    note = read_example("blue-mahoe.toml")
    again = decode_note(encode_note(note))
    assert again == note
    assert digest_note(again) == digest_note(note)
    assert digest_note(note._replace(summary="x")) != digest_note(note)


@pytest.mark.parametrize(
    "value", [None, {}, {"sequence": "1"}, {"sequence": 1, "note": {"id": 3}}]
)
def test_malformed_row_is_a_codec_error(value):
    """Guards against an unhandled error during the replay of notes."""
    with pytest.raises(CodecError):
        accepted_note_from_row(value)
    with pytest.raises(CodecError):
        decode_note(b"{")


def test_row_of_an_accepted_note_is_decoded():
    """Guards against a stored note that other instances cannot apply."""
    note = read_example("withdraw-one.toml")
    row = {"sequence": 3, "digest": "", "note": note_to_dict(note)}
    assert accepted_note_from_row(row) == AcceptedNote(3, note)


def test_snapshot_round_trip_keeps_configuration_and_order():
    """Guards against a snapshot that differs from the replayed notes."""
    configuration = apply_examples("macaulay.toml", "blue-mahoe.toml")
    again = decode_snapshot(encode_snapshot(configuration))
    assert again == configuration
    assert list(again.servers) == list(configuration.servers)
    for data in (b"", b"[]", b"{}", encode_snapshot(configuration)[:-9]):
        with pytest.raises(CodecError):
            decode_snapshot(data)


@pytest.mark.parametrize(
    ("name", "first_port", "counts"),
    [
        ("blue-mahoe.toml", 9101, BLUE_MAHOE),
        ("macaulay.toml", 9201, {"stockd": 14, "tillbox": 9, "reelhouse": 14}),
    ],
)
def test_example_has_expected_backend_servers(name, first_port, counts):
    """Guards against examples that are rejected or differ from the design."""
    configuration = apply_examples(name)
    assert counts == {
        service_id: len(list_servers(configuration, service_id))
        for service_id in configuration.services
    }
    ports = [server.port for server in configuration.servers.values()]
    assert ports == list(range(first_port, first_port + sum(counts.values())))


def test_reversal_restores_the_backend_server():
    """Guards against a restore that differs from the withdrawn entry."""
    before = apply_examples("blue-mahoe.toml")
    without = apply_examples("blue-mahoe.toml", "withdraw-one.toml")
    after = apply_examples("blue-mahoe.toml", "withdraw-one.toml", "restore-one.toml")
    assert set(before.servers) - set(without.servers) == {"status-board-10"}
    assert dict(after.servers) == dict(before.servers)
