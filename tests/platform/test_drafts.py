"""Tests of reading a configuration with the places of its entries."""

from copy import deepcopy
from pathlib import Path

import orjson
from hypothesis import given, settings, strategies as st

from cuminhatch.cli.config_check import check_document
from cuminhatch.decisions.configuration_check import ERROR, CheckLimits
from cuminhatch.platform.documents import DocumentError, decode_configuration
from cuminhatch.platform.drafts import read_draft

FILES = Path(__file__).parent.parent / "cli" / "configurations"
IN_FORCE = (FILES / "in-force.json").read_bytes()
CURRENT = read_draft(IN_FORCE).draft
SECTIONS = ("routes", "services", "tenants")
VALUES = st.sampled_from(
    [None, True, False, 0, 1, -1, 1.5, 2**63, "", "/", "x", "é", [], {}, [1], ["x"]]
    + [{"service": "s1"}, [{"service": "s1", "weight": 1}], [{"service": 1}], [[]]]
)
KEY = "key-in-a-wrong-field"


@st.composite
def draw_documents(draw):
    """Draw a document with up to four fields that are removed or replaced."""
    document = orjson.loads(IN_FORCE)
    for _ in range(draw(st.integers(1, 4))):
        section = draw(st.sampled_from(["", "limits", *SECTIONS]))
        part = document.get(section, {}) if section else document
        if isinstance(part, list) and part:
            part = draw(st.sampled_from(part))
        if isinstance(part, dict) and part:
            name = draw(st.sampled_from(sorted(part)))
            if draw(st.booleans()):
                del part[name]
            else:
                # A later step may change the value, which must not be shared.
                part[name] = deepcopy(draw(VALUES))
    return document


@settings(max_examples=150, deadline=None)
@given(draw_documents())
def test_check_and_decoder_agree(document):
    """Guards against a document that passes and is refused when sent."""
    data = orjson.dumps(document)
    result = read_draft(data)
    errors = [finding for finding in result.findings if finding.level == ERROR]
    try:
        refused = decode_configuration(data).refused
    except DocumentError:
        assert not result.is_accepted and errors
        return
    assert result.is_accepted
    assert bool(errors) == bool(refused)
    entries = [*result.draft.routes, *result.draft.services]
    entries += result.draft.teams or ()
    assert sum(not entry.is_usable for entry in entries) == len(refused)
    check_document(data, CURRENT, CheckLimits())


def list_slots(part):
    """List the containers and keys of all values where a key may end up."""
    for name in part if isinstance(part, dict) else range(len(part)):
        # A name is shown, and so are the fields of routes and services.
        if name not in ("name", "routes", "services", "limits"):
            yield part, name
            if isinstance(part[name], dict | list):
                yield from list_slots(part[name])


def test_key_in_a_wrong_field_is_not_shown():
    """Guards against a check whose output can't be passed on."""
    count = len(list(list_slots(orjson.loads(IN_FORCE))))
    for index in range(count):
        for value in (KEY, [KEY], {KEY: KEY}):
            document = orjson.loads(IN_FORCE)
            part, name = list(list_slots(document))[index]
            part[name] = value
            checked = check_document(orjson.dumps(document), CURRENT, CheckLimits())
            assert KEY not in repr(checked), name
