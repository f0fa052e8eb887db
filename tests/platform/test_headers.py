"""Tests of reading and writing the platform's HTTP headers."""

import pytest

from cuminhatch.codecs.dialect import ForwardingMetadata, ReportedLoad
from cuminhatch.codecs.http1 import Header, RequestHead, ResponseHead
from cuminhatch.decisions.credentials import digest_credential
from cuminhatch.platform.headers import DIALECT, parse_load


def request_head(*headers):
    return RequestHead(b"GET", b"/a/1", tuple(Header(*pair) for pair in headers))


HEAD = request_head(
    (b"host", b"Jepu9.example:8080"),
    (b"attempt-id", b"9c41"),
    (b"request-deadline", b"1200"),
    (b"expected-instance", b"forged"),
    (b"x-other", b"kept"),
)


def test_request_is_read():
    """Guards against a wrong host, request id or request timeout."""
    facts = DIALECT.read_request(HEAD)
    assert (facts.request_id, facts.budget_ms) == (b"9c41", 1200.0)
    assert facts.host == "jepu9.example"


def test_forwarded_head_has_remaining_time_and_expected_server():
    """Guards against a stale timeout and a server id set by the client."""
    facts = DIALECT.read_request(HEAD)
    head = DIALECT.forward_request(HEAD, facts, ForwardingMetadata("i-7", 812.9))
    names = [header.name for header in head.headers]
    assert names.count(b"request-deadline") == names.count(b"expected-instance") == 1
    assert Header(b"request-deadline", b"812") in head.headers
    assert Header(b"expected-instance", b"i-7") in head.headers
    assert Header(b"x-other", b"kept") in head.headers
    assert Header(b"host", b"Jepu9.example:8080") in head.headers
    assert (head.method, head.target) == (b"GET", b"/a/1")


@pytest.mark.parametrize("value", [b"", b"soon", b"-5", b"nan", b"1e99"])
def test_malformed_deadline_is_none(value):
    """Guards against a request that fails due to a malformed timeout."""
    facts = DIALECT.read_request(request_head((b"request-deadline", value)))
    assert facts.budget_ms is None


@pytest.mark.parametrize(
    ("status", "headers", "is_not_executed", "is_misdirected"),
    [
        (200, ((b"response-seal", b"s"),), False, False),
        (503, ((b"not-executed", b"1"),), True, False),
        (503, (), False, False),
        (500, ((b"response-seal", b"s"),), False, False),
        (421, ((b"instance-id", b"i-9"),), True, True),
    ],
)
def test_not_executed_needs_header_or_status_421(
    status, headers, is_not_executed, is_misdirected
):
    """Guards against a resend or refusal of a request that has run."""
    head = ResponseHead(status, b"", tuple(Header(*pair) for pair in headers))
    facts = DIALECT.read_response(head)
    assert facts.is_not_executed is is_not_executed
    assert facts.is_misdirected is is_misdirected


def test_seal_is_forwarded_and_load_is_not():
    """Guards against a response that its client can't accept as valid."""
    head = ResponseHead(
        200,
        b"OK",
        (
            Header(b"attempt-id", b"9c41"),
            Header(b"response-seal", b"3e1b"),
            Header(b"backend-load", b"3,1,8,250"),
        ),
    )
    facts = DIALECT.read_response(head)
    assert facts.is_authenticated
    assert facts.request_ids == (b"9c41",)
    assert facts.load == ReportedLoad(3, 1, 8, 2.5)
    assert [header.name for header in facts.headers] == [
        b"attempt-id",
        b"response-seal",
    ]


@pytest.mark.parametrize(
    ("value", "load"),
    [
        (b"3,0,8", ReportedLoad(3, 0, 8, 1.0)),
        (b"3,0,8,400", ReportedLoad(3, 0, 8, 4.0)),
        (b"3,0,8,0", None),
        (b"3,0,8,1e-323", None),
        (b"3,0,8,nan", None),
        (b"3,0,8,1e300", None),
        (b"3,0", None),
        (b"a,b,c", None),
        (b"", None),
    ],
)
def test_load_is_parsed(value, load):
    """Guards against a malformed load header that fails a response."""
    assert parse_load(value) == load


@pytest.mark.parametrize(("status", "is_healthy"), [(200, True), (503, False)])
def test_health_response_identifies_its_server(status, is_healthy):
    """Guards against load that is attributed to another server."""
    facts = DIALECT.read_health(status, (Header(b"instance-id", b"i-7"),))
    assert (facts.server_id, facts.is_healthy, facts.load) == ("i-7", is_healthy, None)


KEY = b"key-1"


@pytest.mark.parametrize(
    ("values", "is_read"),
    [
        ((KEY,), True),
        ((b" \tkey-1\t ",), True),
        ((), False),
        ((b"",), False),
        ((b" \t",), False),
        ((b"KEY-1",), False),
        ((b"key-1\x0b",), False),
        ((b"key-1, key-1",), False),
        ((KEY, KEY), False),
        ((KEY, b"other"), False),
        ((b"", KEY), False),
        ((KEY * 2000,), False),
    ],
)
def test_only_a_single_credential_counts(values, is_read):
    """Guards against a credential that is chosen among several, or altered."""
    facts = DIALECT.read_request(request_head(*((b"credential", v) for v in values)))
    assert (facts.key_digest == digest_credential(KEY)) is is_read
    if not values or not values[0].strip(b" \t") or len(values) > 1:
        assert facts.key_digest == b""
    assert KEY not in repr(facts).encode()


TEAM_HEAD = request_head(
    (b"credential", KEY), (b"tenant-name", b"forged"), (b"x-other", b"kept")
)


@pytest.mark.parametrize("team_id", ["", "red"])
def test_team_is_written_in_place_of_the_credential(team_id):
    """Guards against a credential or a forged team name at a server."""
    facts = DIALECT.read_request(TEAM_HEAD)
    forwarding = ForwardingMetadata("i-7", 812.9, team_id, True)
    head = DIALECT.forward_request(TEAM_HEAD, facts, forwarding)
    names = [value for name, value in head.headers if name == b"tenant-name"]
    assert names == ([team_id.encode()] if team_id else [])
    assert b"credential" not in dict(head.headers)
    assert (b"x-other", b"kept") in head.headers
    assert DIALECT.drop_team_headers(TEAM_HEAD).headers == TEAM_HEAD.headers[2:]


def test_team_headers_are_forwarded_without_teams():
    """Guards against a change for deployments without teams."""
    facts = DIALECT.read_request(TEAM_HEAD)
    head = DIALECT.forward_request(TEAM_HEAD, facts, ForwardingMetadata("i-7", 812.9))
    assert head.headers[:3] == TEAM_HEAD.headers


@pytest.mark.parametrize(
    ("value", "left_ms"),
    [(b"0", 0.0), (b" 1500 ", 1500.0), (b"soon", None), (b"-1", None), (b"", None)],
)
def test_health_response_tells_the_remaining_warm_up(value, left_ms):
    """Guards against a malformed value that makes a cold server warm."""
    facts = DIALECT.read_health(503, (Header(b"warmup-remaining", value),))
    assert facts.warmup_left_ms == left_ms
    assert DIALECT.read_health(200, ()).warmup_left_ms is None
