"""Tests of fault changes."""

import pytest

from cuminhatch_standins._faults import (
    InvalidFaults,
    change_faults,
    make_disabled_faults,
)
from cuminhatch_standins.backend_server import FAULTS as BACKEND_FAULTS
from cuminhatch_standins.table_service import FAULTS as TABLE_FAULTS


@pytest.mark.parametrize(
    ("specs", "body"),
    [
        (BACKEND_FAULTS, b"{"),
        (BACKEND_FAULTS, b"[]"),
        (BACKEND_FAULTS, b'{"frezee": true}'),
        (BACKEND_FAULTS, b'{"freeze": 1}'),
        (BACKEND_FAULTS, b'{"slow": true}'),
        (BACKEND_FAULTS, b'{"slow": -1}'),
        (BACKEND_FAULTS, b'{"shed": true, "slow": "fast"}'),
        (TABLE_FAULTS, b'{"reply_lost": 1.5}'),
        (TABLE_FAULTS, b'{"late": {"count": 1}}'),
        (TABLE_FAULTS, b'{"late": {"count": 0.5, "ms": 1}}'),
    ],
)
def test_invalid_change_is_refused(specs, body):
    """Guards against tests that run without the fault they try to enable."""
    assert isinstance(
        change_faults(specs, make_disabled_faults(specs), body), InvalidFaults
    )


def test_names_not_given_keep_their_values():
    """Guards against a fault change that resets another fault."""
    faults = change_faults(
        TABLE_FAULTS, make_disabled_faults(TABLE_FAULTS), b'{"slow": 5}'
    )
    body = b'{"late": {"count": 1, "ms": 2}, "reply_lost": 0.5}'
    faults = change_faults(TABLE_FAULTS, faults, body)
    assert faults["slow"] == 5
    assert faults["late"] == {"count": 1, "ms": 2}
    assert faults["reply_lost"] == 0.5
