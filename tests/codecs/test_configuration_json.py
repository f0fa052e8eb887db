"""Tests of accepted notes as daemons send them to each other."""

import pytest

from cuminhatch import CodecError
from cuminhatch.codecs.configuration_json import (
    decode_accepted_note,
    encode_accepted_note,
)
from cuminhatch.decisions.notes import AcceptedNote, Note, NoteItem

ACCEPTED = AcceptedNote(
    7, Note("n1", "ann", "first", (NoteItem("withdraw", "rule", "r1", {}),))
)


def test_round_trip():
    """Guards against a note that changes on its way to another instance."""
    assert decode_accepted_note(encode_accepted_note(ACCEPTED)) == ACCEPTED


@pytest.mark.parametrize("data", [b"{", b"[]", b'{"sequence": 1}', b'{"note": {}}'])
def test_malformed_note_is_a_codec_error(data):
    """Guards against a reply of a peer that ends a pull unexplained."""
    with pytest.raises(CodecError):
        decode_accepted_note(data)
