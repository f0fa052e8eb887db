"""Tests of decoding the platform's documents."""

import json

import pytest

from cuminhatch.codecs.catalog_thrift import (
    CatalogMember,
    CatalogState,
    decode_message,
    encode_message,
)
from cuminhatch.decisions.catalog import CatalogChange
from cuminhatch.decisions.configuration import Team, TrafficPart
from cuminhatch.decisions.credentials import (
    UNKNOWN_CREDENTIAL,
    AccessDenied,
    AccessGranted,
    check_access,
    digest_credential,
)
from cuminhatch.decisions.store_version import (
    NO_VERSION,
    ConfigurationVersion,
    StoreVersion,
)
from cuminhatch.platform.documents import (
    DocumentError,
    decode_configuration,
    decode_registration,
    redact_configuration,
)

ROUTE = {
    "name": "r-1",
    "host": "Jepu9.example",
    "prefix": "/lepu/",
    "kind": "safe",
    "timeout-ms": 1200,
    "target-latency-ms": 400,
    "priority": 2,
    "service": "huvo",
    "max-attempts": 2,
}
CONFIGURATION = {
    "version": "r7",
    "routes": [ROUTE],
    "services": [
        {
            "name": "huvo",
            "health-path": "/health",
            "max-conns": 220,
            "protocol": "h1",
            "tls": False,
        }
    ],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 67108864,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
    "base-version": "r5",
}
SERVER = {
    "service": "huvo",
    "address": "10.128.0.9:8080",
    "zone": "kingston",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "warmup-left-ms": 0,
    "sequence": 4,
}


def decode_server(server_id, data):
    return decode_registration(server_id, data, StoreVersion(1, 41)).server


def decode(route=None, **fields):
    document = CONFIGURATION | fields
    if route is not None:
        document["routes"] = [ROUTE | route]
    return decode_configuration(json.dumps(document).encode())


def test_configuration_is_decoded():
    """Guards against a value that is read into the wrong field."""
    document = decode()
    configuration = document.configuration
    rule = configuration.rules["r-1"]
    assert configuration.sequence == 7
    assert (rule.host, rule.path_prefix) == ("jepu9.example", "/lepu/")
    assert rule.is_idempotent
    assert (rule.timeout_ms, rule.target_latency_ms) == (1200.0, 400.0)
    assert (rule.priority, rule.servers_max) == (2, 2)
    assert configuration.services["huvo"].health_path == "/health"
    assert configuration.caller_limits.idle_ms == 15000.0
    assert document.connections == {"huvo": 220}


@pytest.mark.parametrize(
    ("kind", "is_idempotent"), [("safe", True), ("download", True), ("unsafe", False)]
)
def test_kind_determines_idempotency(kind, is_idempotent):
    """Guards against a second run of a request that isn't idempotent."""
    rule = decode({"kind": kind}).configuration.rules["r-1"]
    assert rule.is_idempotent is is_idempotent


def test_traffic_split_is_decoded():
    """Guards against a traffic split that uses only one service."""
    parts = [{"service": "huvo", "weight": 90}, {"service": "kafi", "weight": 10}]
    route = {"traffic-split": parts}
    rule = decode(route).configuration.rules["r-1"]
    assert rule.parts == (TrafficPart("huvo", 90.0), TrafficPart("kafi", 10.0))


@pytest.mark.parametrize(
    "fields",
    [
        {"version": "7"},
        {"version": 7},
        {"version": "rx"},
        {"routes": None},
        {"limits": {}},
        {"routes": {}},
        {"services": None},
        {"services": {}},
        {"tenants": {"name": "t"}},
        {"tenants": None},
        {"tenants": False},
    ],
)
def test_malformed_configuration_is_rejected(fields):
    """Guards against an incomplete configuration that is applied."""
    with pytest.raises(DocumentError):
        decode(**fields)


def test_route_of_unknown_kind_is_disabled():
    """Guards against wrong retries of requests of an unknown kind."""
    document = decode({"kind": "keyed"})
    rule = document.configuration.rules["r-1"]
    assert rule.fault
    assert not rule.is_idempotent
    assert [entry[:2] for entry in document.refused] == [("rule", "r-1")]


def test_unusable_entries_leave_the_others_in_force():
    """Guards against a customer without service because of one odd entry."""
    good_service = CONFIGURATION["services"][0]
    good_team = {"name": "t-1", "api-keys": ["k-1"]}
    document = decode(
        routes=[ROUTE, ROUTE | {"name": "r-2", "prefix": "/a/", "kind": 7}, 5, {}],
        services=[good_service, {}, {"name": "kafi"}, None],
        tenants=[good_team, {"name": "t-2", "api-keys": ["k-2"], "burst": "x"}, None],
    )
    configuration = document.configuration
    assert not configuration.rules["r-1"].fault
    assert configuration.rules["r-2"].fault
    assert list(configuration.services) == ["huvo"]
    assert not configuration.teams["t-1"].fault
    assert configuration.teams["t-2"].fault
    assert len(document.refused) == 8


@pytest.mark.parametrize("kinds", [("safe", 7), (7, "safe"), (7, 8)])
def test_disabled_route_leaves_another_of_its_name_in_force(kinds):
    """Guards against 404 for a route that an odd one has the name of."""
    routes = [
        ROUTE | {"prefix": f"/{place}/", "kind": kind}
        for place, kind in enumerate(kinds)
    ]
    rules = decode(routes=routes).configuration.rules
    found = [(rule.path_prefix, bool(rule.fault)) for rule in rules.values()]
    assert found == [(f"/{place}/", kind != "safe") for place, kind in enumerate(kinds)]
    assert all(rule_id == rule.rule_id for rule_id, rule in rules.items())


def test_upload_is_not_idempotent():
    """Guards against an upload that runs twice."""
    rule = decode({"kind": "upload"}).configuration.rules["r-1"]
    assert rule.is_upload
    assert not rule.is_idempotent


def test_teams_are_decoded():
    """Guards against requests that are counted for another team."""
    teams = [
        {"name": "t-1", "api-keys": ["a", "b"], "rate-per-s": 147, "burst": 30},
        {"name": "t-2", "api-keys": ["c"], "priority": 0},
    ]
    configuration = decode(tenants=teams).configuration
    assert configuration.teams["t-1"] == Team("t-1", None, 147.0, 30.0)
    assert configuration.teams["t-2"] == Team("t-2", 0)
    found = {
        key: configuration.team_ids_by_key[digest_credential(key)]
        for key in (b"a", b"b", b"c")
    }
    assert found == {b"a": "t-1", b"b": "t-1", b"c": "t-2"}


def test_document_without_teams_needs_no_credentials():
    """Guards against 401 in deployments that know no teams."""
    assert decode().configuration.teams is None


@pytest.mark.parametrize("key", [b"", b"a", b"removed"])
def test_document_with_an_empty_list_of_teams_knows_no_key(key):
    """Guards against a service that opens with its last team gone (ROUTE)."""
    configuration = decode(tenants=[]).configuration
    rule = configuration.rules["r-1"]
    access = check_access(configuration, rule, digest_credential(key) if key else b"")
    assert access == AccessDenied(401, UNKNOWN_CREDENTIAL)
    anonymous = rule._replace(is_anonymous=True)
    assert check_access(configuration, anonymous, b"") == AccessGranted(None)


def test_redacted_document_is_the_same_configuration_without_keys():
    """Guards against keys of teams in messages between instances."""
    key = "uakn2ftimaj3nr26tta8"
    teams = [{"name": "t-1", "api-keys": [key, 5]}, {"name": "t-2", "api-keys": 5}]
    data = json.dumps(CONFIGURATION | {"tenants": teams}).encode()
    redacted = redact_configuration(data)
    assert key.encode() not in redacted
    before, after = decode_configuration(data), decode_configuration(redacted)
    assert after.configuration == before.configuration
    assert redact_configuration(redacted) == redacted


def test_escaped_field_is_redacted():
    """Guards against keys that are kept if their field has escapes."""
    teams = [{"name": "t-1", "api-keys": ["uakn2ftimaj3nr26tta8"]}]
    data = json.dumps(CONFIGURATION | {"tenants": teams}).encode()
    escaped = data.replace(b"api-keys", b"api\\u002dkeys")
    assert redact_configuration(escaped) == redact_configuration(data)
    assert b"uakn2ftimaj3nr26tta8" not in redact_configuration(escaped)


@pytest.mark.parametrize(
    "fields",
    [
        {"api-keys": [""]},
        {"api-keys": [" \t"]},
        {"key-digests": [""]},
        {"key-digests": ["00"]},
        {"key-digests": ["zz" * 16, None, 7]},
        {"api-keys": 7, "key-digests": ["00" * 16]},
    ],
)
def test_malformed_key_belongs_to_no_team(fields):
    """Guards against a team whose requests need no key, or a short one."""
    found = decode(tenants=[{"name": "t-1", **fields}]).configuration
    assert found.team_ids_by_key == {}


def test_white_space_around_a_key_does_not_count():
    """Guards against a key that no header can carry as it is."""
    teams = [{"name": "t-1", "api-keys": [" k 1\t"]}]
    found = decode(tenants=teams).configuration
    assert found.team_ids_by_key == {digest_credential(b"k 1"): "t-1"}


def test_document_that_cannot_be_redacted_is_refused():
    """Guards against keys that are kept, and a store that counts as lost."""
    nested = b"[" * 500 + b"]" * 500
    teams = b'{"version":"r7","tenants":[{"api-keys":["secret"]}],"x":%s}' % nested
    redacted = redact_configuration(teams)
    assert b"secret" not in redacted
    with pytest.raises(DocumentError):
        decode_configuration(redacted)


@pytest.mark.parametrize("data", [b"", b"{", json.dumps(CONFIGURATION).encode()])
def test_document_without_keys_is_kept_as_it_is(data):
    """Guards against a document that differs from the one in the store."""
    assert redact_configuration(data) is data


def test_server_is_decoded():
    """Guards against a registration with wrong fields."""
    server = decode_server("i-7", json.dumps(SERVER | {"born": 1787790800676}).encode())
    assert server.server_id == "i-7"
    assert (server.host, server.port) == ("10.128.0.9", 8080)
    assert (server.failure_domain, server.slots) == ("kingston", 3)
    assert not server.is_draining
    assert server.started_ms == 1787790800676


@pytest.mark.parametrize(
    "change",
    [
        {"service": None},
        {"service": 5},
        {"address": "10.128.0.9"},
        {"address": "10.128.0.9:port"},
        {"address": "10.128.0.9:99999"},
        {"zone": None},
        {"slots": "3"},
        {"slots": 0},
        {"slots": True},
        {"state": "leaving"},
        {"state": None},
        {"sequence": "4"},
        {"warmup-left-ms": "soon"},
        {"born": 1.5},
        {"version": 1},
    ],
)
def test_malformed_registration_is_rejected(change):
    """Guards against requests that are sent to an invalid server."""
    fields = {k: v for k, v in (SERVER | change).items() if v is not None}
    with pytest.raises(DocumentError):
        decode_server("i-7", json.dumps(fields).encode())


@pytest.mark.parametrize("data", [b"", b"\xff\x00", b"[]", b"7", b'{"service":'])
def test_invalid_json_of_a_registration_is_rejected(data):
    """Guards against one invalid row that fails the read of all rows."""
    with pytest.raises(DocumentError):
        decode_server("i-7", data)


DEEPLY_NESTED = b'{"service":' + b"[" * 100_000


@pytest.mark.parametrize(
    "change",
    [
        {"slots": 2**31},
        {"slots": 1e300},
        {"slots": -1},
        {"warmup-left-ms": 2**31},
        {"warmup-left-ms": 1e300},
        {"born": 1e30},
        {"born": 2**63},
        {"sequence": 10**30},
        {"address": "10.128.0.9:0"},
        {"address": "10.128.0.9:65536"},
        {"address": "10.128.0.9:-1"},
        {"address": "10.128.0.9:\u00b2"},
        {"service": "s" * 2**20},
        {"zone": "z" * 2**20},
        {"zone": "\u00fc" * 101},
    ],
)
def test_registration_that_no_message_can_carry_is_rejected(change):
    """
    Guards against one row that keeps all instances from following the list.

    A value out of the range of its field in messages between instances raised
    an error when the change was sent on, and when others pulled it.
    """
    with pytest.raises(DocumentError) as raised:
        decode_server("i-7", json.dumps(SERVER | change).encode())
    assert len(str(raised.value)) < 200


def test_registration_with_the_highest_values_can_be_sent_on():
    """Guards against limits above those of messages between instances."""
    fields = {
        "service": "s" * 200,
        "zone": "z" * 200,
        "slots": 2**31 - 1,
        "warmup-left-ms": 2**31 - 1,
        "born": 2**63 - 1,
        "sequence": 2**63 - 1,
    }
    version = StoreVersion(999_999_999, 2**63 - 1)
    data = json.dumps(SERVER | fields).encode()
    registration = decode_registration("i" * 200, data, version)
    change = CatalogChange(NO_VERSION, version, (registration,), ())
    member = CatalogMember("i", "10.0.0.1", 9)
    state = CatalogState(change, True, ConfigurationVersion(7, 1), b"", (member,))
    received = decode_message(encode_message(state, b"key"), b"key")
    assert received.change.changed[0] == registration


@pytest.mark.parametrize("change", [{"state": "x" * 2**20}, {"version": ["x" * 999]}])
def test_reason_of_a_rejected_registration_is_short(change):
    """Guards against an event of 1 MB for each reading of an odd row."""
    with pytest.raises(DocumentError) as raised:
        decode_server("i-7", json.dumps(SERVER | change).encode())
    assert len(str(raised.value)) < 200


@pytest.mark.parametrize(
    "server_id",
    ["", "i 7", "i\r\nx: y", "i\x007", "i-\u0142", "i-\u00fc", "i\ud800", "i" * 201],
)
def test_id_that_no_header_can_carry_is_rejected(server_id):
    """Guards against a header that a row's key adds to requests."""
    with pytest.raises(DocumentError):
        decode_server(server_id, json.dumps(SERVER).encode())


@pytest.mark.parametrize(
    "data",
    [
        DEEPLY_NESTED,
        b'{"slots": NaN}',
        b'{"slots": 1e400}',
        b'{"slots": ' + b"9" * 5_000 + b"}",
        b'{"service": "\\ud800"}',
    ],
)
def test_unusual_json_is_rejected(data):
    """Guards against an error of another kind that ends the whole reading."""
    with pytest.raises(DocumentError):
        decode_server("i-7", data)
    with pytest.raises(DocumentError):
        decode_configuration(data)


def change_service(**fields):
    return {"services": [CONFIGURATION["services"][0] | fields]}


def change_limits(**fields):
    return {"limits": CONFIGURATION["limits"] | fields}


@pytest.mark.parametrize(
    "fields",
    [
        {"version": "r" + "9" * 5_000},
        {"version": "r" + "9" * 19},
        {"version": "r\u00b2"},
        {"version": "r\u0663"},
        {"version": "r-3"},
        change_limits(**{"max-header-bytes": 1e300}),
        change_limits(**{"max-body-bytes": -1}),
        change_limits(**{"header-timeout-ms": 1e300}),
        change_limits(**{"idle-timeout-ms": -1}),
    ],
)
def test_configuration_out_of_range_is_rejected(fields):
    """Guards against a configuration that fails where it is used."""
    with pytest.raises(DocumentError) as raised:
        decode(**fields)
    assert len(str(raised.value)) < 200


@pytest.mark.parametrize(
    "fields",
    [
        {"max-conns": 2**31},
        {"max-conns": 1e300},
        {"max-conns": -1},
        {"max-conns": "220"},
        {"health-path": "/a\r\nx: y"},
        {"health-path": 5},
        {"name": 5},
        {"warmup-per-s": "fast"},
        {"warmup-per-s": -1},
    ],
)
def test_service_out_of_range_is_left_out(fields):
    """Guards against a service that fails where it is used."""
    document = decode(**change_service(**fields))
    assert not document.configuration.services
    assert not document.connections
    assert len(document.refused) == 1
    assert len(document.refused[0].reason) < 200


@pytest.mark.parametrize(
    "route",
    [
        {"timeout-ms": 1e300},
        {"timeout-ms": -1},
        {"timeout-ms": "nan"},
        {"timeout-ms": True},
        {"target-latency-ms": "inf"},
        {"target-latency-ms": 0},
        {"target-latency-ms": 1e300},
        {"max-attempts": 1e300},
        {"max-attempts": -1},
        {"max-attempts": 1.5},
        {"priority": 2**31},
        {"service": 5},
        {"anonymous": 1},
        {"kind": "k" * 2**20},
        {"traffic-split": [{"service": "huvo", "weight": 1e300}]},
        {"traffic-split": [{"service": "huvo", "weight": -1}]},
        {"traffic-split": [{"service": "huvo", "weight": "nan"}]},
        {"traffic-split": [{"weight": 1}]},
        {"traffic-split": 5},
    ],
)
def test_route_out_of_range_is_disabled(route):
    """Guards against timers of no length and requests that fail inside."""
    document = decode(route)
    rule = document.configuration.rules["r-1"]
    assert rule.fault
    assert not rule.is_idempotent
    assert len(document.refused) == 1
    assert len(document.refused[0].reason) < 200


@pytest.mark.parametrize("route", [{"prefix": 5}, {"host": 5}])
def test_route_that_no_request_can_match_is_left_out(route):
    """Guards against a rule that matches requests of other routes."""
    document = decode(route)
    assert not document.configuration.rules
    assert len(document.refused) == 1
