"""
Malformed input of every decoder, made from valid messages.

Bytes are cut, flipped and repeated, and fields of documents are replaced. A
decoder may raise only the error that its callers handle; any other one would
fail a message handler, and one bad row would hide all the good ones.
"""

import json

import pytest
from hypothesis import HealthCheck, example, given, settings, strategies as st

from cuminhatch.codecs import (
    catalog_thrift,
    claim_json,
    note_json,
    note_toml,
    peers_thrift,
    platform as platform_codec,
    quota_thrift,
)
from cuminhatch.codecs.http1 import Header, RequestHead, ResponseHead
from cuminhatch.codecs.http1_parsers import RequestParser, ResponseParser
from cuminhatch.codecs.signing import sign_payload
from cuminhatch.decisions.store_version import NO_VERSION
from cuminhatch.errors import CodecError
from cuminhatch.platform.documents import decode_configuration, decode_registration
from cuminhatch.platform.headers import DIALECT
from cuminhatch.services.catalog._pull_responses import parse_query
from cuminhatch.services.dispatch._request import parse_request_headers
from cuminhatch.services.dispatch._response_headers import parse_response_headers
from tests.codecs.test_catalog_thrift import MESSAGES as CATALOG_MESSAGES
from tests.codecs.test_peers_thrift import make_heartbeat
from tests.codecs.test_quota_thrift import MESSAGES as QUOTA_MESSAGES
from tests.platform.test_documents import CONFIGURATION, SERVER

FUZZ = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=300,
    suppress_health_check=list(HealthCheck),
)
KEY = b"key"
MAC_BYTES = 32
REQUEST = (
    b"POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nAttempt-Id: 9\r\nRequest-Deadline: 10\r\n"
    b"Idempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
)
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: 9\r\nBackend-Load: 3,0,8,100\r\n"
    b"Load-Report: in_flight=2, queued=1, slots=3\r\nContent-Length: 2\r\n\r\nok"
)
NOTE = b"""id = "n-1"
author = "me"
[[service]]
action = "add"
id = "s"
"""
JUNK = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**63), 2**64 - 1),
    st.floats(),
    st.text(max_size=20),
    st.sampled_from(
        [
            "10.0.0.1:\u00b2",
            "10.0.0.1:" + "9" * 5000,
            "host:80",
            "a\0b:80",
            ":80",
            "r\u00b2",
            "r" + "9" * 5000,
            [],
            {},
            [[]],
            1e308,
        ]
    ),
)


@st.composite
def mutated_bytes(draw, data):
    """Cut, flip and repeat parts of valid bytes."""
    data = bytearray(data)
    for _ in range(draw(st.integers(1, 4))):
        start = draw(st.integers(0, len(data)))
        end = min(len(data), start + draw(st.integers(0, 20)))
        kind = draw(st.sampled_from(["cut", "flip", "repeat", "insert"]))
        if kind == "cut":
            del data[start:end]
        elif kind == "repeat":
            data[start:start] = data[start:end] * draw(st.integers(1, 3))
        elif kind == "insert":
            data[start:start] = draw(st.binary(max_size=6))
        elif data:
            data[start % len(data)] ^= 1 << draw(st.integers(0, 7))
    return bytes(data)


@st.composite
def mutated_document(draw, document):
    """Replace or remove fields of a JSON document, at any depth."""
    document = json.loads(json.dumps(document))
    for _ in range(draw(st.integers(1, 3))):
        target = document
        while True:
            keys = list(target) if isinstance(target, dict) else range(len(target))
            if not keys:
                break
            key = draw(st.sampled_from(list(keys)))
            inner = target[key]
            if isinstance(inner, dict | list) and inner and draw(st.booleans()):
                target = inner
                continue
            if draw(st.integers(0, 4)) == 0:
                del target[key]
            else:
                target[key] = draw(JUNK)
            break
    return document


def to_json(document):
    """Encode a document; numbers that JSON does not have stay as words."""
    return json.dumps(document).encode()


def accept_or_reject(decode, data):
    """Decode; any error but the one that callers handle fails the test."""
    try:
        return decode(data)
    except CodecError:
        return None


@FUZZ
@given(document=mutated_document(SERVER))
@example(document=SERVER | {"address": "10.0.0.1:\u00b2"})
@example(document=SERVER | {"address": "10.0.0.1:" + "9" * 5000})
def test_registration_is_decoded_or_refused(document):
    """Guards against one row of another writer that hides all others."""
    registration = accept_or_reject(
        lambda data: decode_registration("i-1", data, NO_VERSION), to_json(document)
    )
    if registration is not None:
        server = registration.server
        assert 0 < server.port <= 65_535
        # A name would be looked up, which blocks the process.
        parts = server.host.split(".")
        assert len(parts) == 4
        assert all(part.isascii() and part.isdigit() for part in parts)


@FUZZ
@given(document=mutated_document(CONFIGURATION))
@example(document=CONFIGURATION | {"version": "r\u00b2"})
@example(document=CONFIGURATION | {"version": "r" + "9" * 5000})
def test_configuration_is_decoded_or_refused(document):
    """Guards against a reader that ends over one document."""
    accept_or_reject(decode_configuration, to_json(document))


@FUZZ
@given(data=mutated_bytes(to_json(CONFIGURATION)))
def test_damaged_configuration_is_decoded_or_refused(data):
    """Guards against bytes that are no document."""
    accept_or_reject(decode_configuration, data)
    accept_or_reject(lambda data: decode_registration("i-1", data, NO_VERSION), data)


@pytest.mark.parametrize("index", range(len(CATALOG_MESSAGES)))
@FUZZ
@given(draw=st.data())
def test_catalog_message_is_decoded_or_refused(index, draw):
    """Guards against one datagram that ends the receiver."""
    valid = catalog_thrift.encode_message(CATALOG_MESSAGES[index], KEY)[MAC_BYTES:]
    payload = draw.draw(mutated_bytes(valid))
    signed = sign_payload(payload, KEY)
    accept_or_reject(lambda data: catalog_thrift.decode_message(data, KEY), signed)


@FUZZ
@given(draw=st.data())
def test_peer_message_is_decoded_or_refused(draw):
    """Guards against one heartbeat that ends the receiver."""
    valid = peers_thrift.encode_message(make_heartbeat(), KEY)[MAC_BYTES:]
    signed = sign_payload(draw.draw(mutated_bytes(valid)), KEY)
    accept_or_reject(lambda data: peers_thrift.decode_message(data, KEY), signed)


@FUZZ
@given(draw=st.data(), message=st.sampled_from(QUOTA_MESSAGES))
def test_quota_message_is_decoded_or_refused(draw, message):
    """Guards against one datagram that ends the receiver."""
    valid = quota_thrift.encode_message(message, KEY)[MAC_BYTES:]
    signed = sign_payload(draw.draw(mutated_bytes(valid)), KEY)
    accept_or_reject(lambda data: quota_thrift.decode_message(data, KEY), signed)


@FUZZ
@given(data=mutated_bytes(NOTE))
def test_note_is_parsed_or_refused(data):
    """Guards against a note that ends the command or the daemon."""
    text = data.decode("utf-8", "replace")
    accept_or_reject(lambda text: note_toml.parse_note(text, "note.toml"), text)
    accept_or_reject(note_json.decode_note, data)


JSON_BODY = to_json(
    {
        "id": "t-1",
        "checks": [{"key": "a", "version": 1}],
        "puts": [{"key": "a", "value": {"x": 1}}],
        "deletes": ["b"],
        "versions": {"a": 2},
        "rows": [{"key": "a", "version": 1, "value": {}}],
        "instances": [
            {"id": "i", "address": "10.0.0.1:1", "kind": "entry", "state": "live"}
        ],
        "key": "a",
        "value": {},
        "version": 3,
    }
)


@FUZZ
@given(document=mutated_document(json.loads(JSON_BODY)))
def test_table_and_list_messages_are_decoded_or_refused(document):
    """Guards against a reply of the platform that ends the client."""
    data = to_json(document)
    accept_or_reject(platform_codec.decode_transaction, data)
    accept_or_reject(platform_codec.decode_rows, data)
    accept_or_reject(platform_codec.decode_instances, data)
    accept_or_reject(lambda data: platform_codec.decode_row("a", data), data)
    accept_or_reject(lambda data: platform_codec.decode_instance("i", data), data)


@FUZZ
@given(document=mutated_document({"state": "done", "owner": "i", "response": {}}))
def test_claim_row_is_decoded_or_refused(document):
    """Guards against a claim of another version that ends the service."""
    accept_or_reject(claim_json.decode_claim_row, document)


@FUZZ
@given(data=mutated_bytes(REQUEST), split=st.integers(0, 200))
def test_request_bytes_never_raise(data, split):
    """Guards against a caller that ends the process."""
    parser = RequestParser()
    for part in (data[:split], data[split:]):
        for event in parser.feed(part):
            head = getattr(event, "head", None)
            if isinstance(head, RequestHead):
                DIALECT.read_request(head)
                parse_request_headers(head)
                parse_query(head.target)


@FUZZ
@given(data=mutated_bytes(RESPONSE), split=st.integers(0, 200))
def test_response_bytes_never_raise(data, split):
    """Guards against a server that ends the process."""
    parser = ResponseParser(False)
    for part in (data[:split], data[split:]):
        for event in parser.feed(part):
            head = getattr(event, "head", None)
            if isinstance(head, ResponseHead):
                DIALECT.read_response(head)
                DIALECT.read_health(head.status, head.headers)
                parse_response_headers(head)


@pytest.mark.parametrize("value", [b"\xb2", b"9" * 5000, b"-1", b"nan", b"1e99", b""])
def test_odd_numbers_in_headers_count_as_missing(value):
    """Guards against digits that are no number."""
    names = (
        b"request-deadline",
        b"request-deadline-ms",
        b"backend-load",
        b"load-report",
    )
    headers = tuple(
        Header(name, text)
        for name in names
        for text in (value, value + b",1,1", b"in_flight=%s, queued=1, slots=1" % value)
    )
    DIALECT.read_request(RequestHead(b"GET", b"/", headers))
    parse_request_headers(RequestHead(b"GET", b"/", headers))
    DIALECT.read_response(ResponseHead(200, b"", headers))
    parse_response_headers(ResponseHead(200, b"", headers))
    parse_query(b"/x?version=" + value + b"&configuration=" + value)
