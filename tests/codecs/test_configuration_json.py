"""Tests of the JSON of accepted notes that daemons exchange."""

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
    """Guards against a note that is changed by its transfer."""
    assert decode_accepted_note(encode_accepted_note(ACCEPTED)) == ACCEPTED


@pytest.mark.parametrize("data", [b"{", b"[]", b'{"sequence": 1}', b'{"note": {}}'])
def test_malformed_note_is_a_codec_error(data):
    """Guards against an unhandled error during a pull from a peer."""
    with pytest.raises(CodecError):
        decode_accepted_note(data)
