"""Cost of teams and credentials: ``python -m bench.credentials``."""

import json
import time
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from cuminhatch.codecs.catalog_thrift import CatalogState, encode_message
from cuminhatch.codecs.http1 import Header, RequestHead
from cuminhatch.decisions.credentials import check_access
from cuminhatch.decisions.store_version import ConfigurationVersion
from cuminhatch.platform.documents import decode_configuration, redact_configuration
from cuminhatch.platform.headers import DIALECT

KEYS_PER_TEAM = 2
KEY_CHARACTERS = 20
# Nearly a head of the greatest length.
LONG_KEY_BYTES = 16_000
US_PER_S = 1e6
# The lowest of several averages is the least disturbed by other processes.
REPETITIONS = 7
HEAD = RequestHead(
    b"GET",
    b"/p1/x",
    (
        Header(b"host", b"h1.example"),
        Header(b"attempt-id", b"9c41"),
        Header(b"request-deadline", b"1200"),
        Header(b"accept", b"*/*"),
    ),
)


class DocumentSize(NamedTuple):
    """Numbers of entries in the operators' document."""

    teams: int
    services: int
    routes: int


# Without teams, with those of the tenders, and at the size planned for.
SIZES = (DocumentSize(0, 3, 8), DocumentSize(74, 3, 8), DocumentSize(2_000, 520, 2_000))


def make_document(size: DocumentSize, rng: Random) -> bytes:
    """
    Return a document as operators store it.

    :param size: numbers of its entries.
    :param rng: source of the keys.
    """
    routes = [
        {
            "name": f"r-{number}",
            "host": f"h{number % 7}.example",
            "prefix": f"/p{number}/",
            "kind": "safe",
            "timeout-ms": 1200,
            "target-latency-ms": 400,
            "priority": 2,
            "service": f"s{number % size.services}",
            "max-attempts": 2,
        }
        for number in range(size.routes)
    ]
    services = [
        {"name": f"s{number}", "health-path": "/health", "max-conns": 220}
        for number in range(size.services)
    ]
    teams = [
        {
            "name": f"t-{number}",
            "api-keys": [make_key(rng) for _ in range(KEYS_PER_TEAM)],
            "priority": number % 3,
            "rate-per-s": 12.5,
            "burst": 20,
        }
        for number in range(size.teams)
    ]
    limits = {
        "max-header-bytes": 16384,
        "max-body-bytes": 1_000_000,
        "header-timeout-ms": 3_000,
        "idle-timeout-ms": 15_000,
    }
    document = {
        "version": "r7",
        "routes": routes,
        "services": services,
        "limits": limits,
        "tenants": teams,
    }
    return json.dumps(document).encode()


def make_key(rng: Random) -> str:
    """Return a random key."""
    return "".join(
        rng.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=KEY_CHARACTERS)
    )


def measure_us(call: Callable[[], object], count: int) -> float:
    """
    Return the time of a call in microseconds.

    :param call: the call to measure.
    :param count: number of calls of each repetition.
    """
    averages = []
    for _ in range(REPETITIONS):
        started = time.perf_counter()
        for _ in range(count):
            call()
        averages.append((time.perf_counter() - started) / count)
    return min(averages) * US_PER_S


def print_document_costs(size: DocumentSize, rng: Random) -> None:
    """Print the bytes of a document, and the time to redact and decode it."""
    stored = make_document(size, rng)
    kept = redact_configuration(stored)
    state = CatalogState(None, False, ConfigurationVersion(7, 1), kept, ())
    print(
        f"{size.teams} teams: {len(stored)} bytes stored, {len(kept)} kept, "
        f"{len(encode_message(state, b'k'))} in a pull response; "
        f"redacted in {measure_us(lambda: redact_configuration(stored), 20):.0f} us, "
        f"decoded in {measure_us(lambda: decode_configuration(kept), 5):.0f} us"
    )


def print_request_costs(rng: Random) -> None:
    """Print the time that credentials take for each request."""
    document = json.loads(make_document(SIZES[-1], rng))
    configuration = decode_configuration(json.dumps(document).encode()).configuration
    key = document["tenants"][5]["api-keys"][0].encode()
    head = HEAD._replace(headers=(*HEAD.headers, Header(b"credential", key)))
    long_key = Header(b"credential", b"x" * LONG_KEY_BYTES)
    long_head = HEAD._replace(headers=(*HEAD.headers, long_key))
    rule = configuration.rules["r-1"]
    digest = DIALECT.read_request(head).key_digest
    measured = {
        "head without key": measure_us(lambda: DIALECT.read_request(HEAD), 5_000),
        "head with key": measure_us(lambda: DIALECT.read_request(head), 5_000),
        "head with longest key": measure_us(
            lambda: DIALECT.read_request(long_head), 2_000
        ),
        "check": measure_us(lambda: check_access(configuration, rule, digest), 20_000),
        "strip": measure_us(lambda: DIALECT.drop_team_headers(head), 5_000),
    }
    parts = (f"{name} {time_us:.2f} us" for name, time_us in measured.items())
    print("request: " + ", ".join(parts))


def main() -> None:
    """Print all costs."""
    rng = Random(1)
    for size in SIZES:
        print_document_costs(size, rng)
    print_request_costs(rng)


if __name__ == "__main__":
    main()
