"""Tests of teams and their keys with gateways as processes."""

import json
from socket import SOCK_DGRAM, create_connection, socket
from urllib.parse import urlencode

import pytest

from cuminhatch.codecs.catalog_thrift import (
    CatalogMember,
    CatalogState,
    Greeting,
    decode_message,
    encode_message,
)
from tests.support import http_request, start_program, stop_process, wait_until
from tests.system.gateways import PEERS_PORT, running_gateways

PEERS_KEY = b"secret"
MARK = "markedkey"
KEY_RED, KEY_BLUE, KEY_NEW = (f"{MARK}-{name}" for name in ("red", "blue", "new"))
UNKNOWN_KEY = f"{MARK}-unknown"
# The platform's bound on the time until a change is in force.
APPLY_S = 2.5


@pytest.fixture
def cluster():
    with running_gateways() as cluster:
        cluster.configure_teams(2, {"red": [KEY_RED], "blue": [KEY_BLUE]}, {"status"})
        for gateway in cluster.gateways:
            wait_until(lambda g=gateway: get_status(g) == 401, "teams in force")
        yield cluster


def get_status(gateway, key=None, route="confirm", attempt_id="t0"):
    more = {} if key is None else {"Credential": key}
    return gateway.send_request(route, attempt_id, body=b"x", **more).status


def list_runs(cluster):
    return {
        run["id"]: run
        for server in cluster.servers.values()
        for run in server.request("GET", "/runs").value
    }


def test_requests_run_for_the_team_of_their_key(cluster):
    """Guards against requests without key, and a team named by the caller."""
    for number, gateway in enumerate(cluster.gateways):
        response = gateway.send_request(
            "confirm",
            f"red{number}",
            body=b"x",
            Credential=KEY_RED,
            Tenant_Name="blue",
        )
        assert response.status == 200
        assert get_status(gateway, UNKNOWN_KEY, attempt_id="no1") == 401
        assert get_status(gateway, attempt_id="no2") == 401
        assert get_status(gateway, KEY_RED.upper(), attempt_id="no3") == 401
        assert get_status(gateway, UNKNOWN_KEY, "status", f"open{number}") == 200
    runs = list_runs(cluster)
    teams = {run_id: run["team"] for run_id, run in runs.items() if run_id != "t0"}
    assert teams == {"red0": "red", "red1": "red", "open0": "", "open1": ""}


def test_keys_change_on_all_instances_in_time(cluster):
    """Guards against a removed key that still runs, or a new one refused."""
    cluster.configure_teams(3, {"red": [KEY_NEW], "blue": [KEY_RED]})
    for gateway in cluster.gateways:
        wait_until(lambda g=gateway: get_status(g, KEY_NEW) == 200, "r3", APPLY_S)
        wait_until(lambda g=gateway: get_status(g, KEY_BLUE) == 401, "r3", APPLY_S)
        assert get_status(gateway, KEY_RED, attempt_id="moved") == 200
    assert list_runs(cluster)["moved"]["team"] == "blue"


def test_each_request_of_a_connection_is_checked(cluster):
    """Guards against a key that counts for later requests, too."""
    heads = [
        (
            f"POST /confirm/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: p{number}"
            f"\r\nRequest-Deadline: 3000\r\n{header}Content-Length: 0\r\n\r\n"
        ).encode()
        for number, header in enumerate(
            [
                f"Credential:  {KEY_RED}\t\r\n",
                "",
                f"credential: {KEY_BLUE}\r\n",
                f"Credential: {KEY_RED}\r\nCredential: {KEY_RED}\r\n",
                "Credential:\r\n",
            ]
        )
    ]
    with create_connection(cluster.gateways[0].program.address, 10.0) as connection:
        connection.sendall(b"".join(heads))
        data = b""
        while data.count(b"HTTP/1.1 ") < len(heads):
            received = connection.recv(65_536)
            assert received, data
            data += received
    statuses = [part[:3] for part in data.split(b"HTTP/1.1 ")[1:]]
    assert statuses == [b"200", b"401", b"200", b"401", b"401"]
    runs = list_runs(cluster)
    assert (runs["p0"]["team"], runs["p2"]["team"]) == ("red", "blue")


def collect_datagrams(address, wait_s=2.0):
    """Join as another instance, and return the datagrams that follow."""
    received = []
    with socket(type=SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.9", 0))
        member = CatalogMember("front-9", *sock.getsockname(), "here")
        greeting = encode_message(Greeting(member, (), True), PEERS_KEY)
        sock.sendto(greeting, address)
        sock.settimeout(wait_s)
        while len(received) < 5:
            received.append(repr(decode_message(sock.recv(65_536), PEERS_KEY)))
    return received


def pull_state(address):
    """Return the response to a pull of all that an instance knows."""
    query = urlencode({"instance": "front-9", "domain": "here", "direct": 1})
    body = http_request(address, "GET", f"/catalog?{query}").body
    return decode_message(body, PEERS_KEY)


def write_unusable_documents(cluster):
    """Write documents with a key that can't be used, then one that can."""
    team = {"name": "green", "api-keys": [KEY_RED]}
    documents = (
        json.dumps({"version": "r3", "tenants": [team]})[:-1],
        {"version": "r3", "tenants": [team]},
        {"version": [KEY_RED], "tenants": [team]},
    )
    for number, document in enumerate(documents, 1):
        cluster.write("op", "config", document)
        wait_until(
            lambda number=number: count_lines(cluster, "refused:") >= number,
            "the refusal of a document",
        )
    cluster.configure_teams(4, {"red": [KEY_RED], "": [KEY_BLUE]})
    wait_until(
        lambda: count_lines(cluster, "configuration_entry_refused") >= 2,
        "the refused team on both instances",
    )


def count_lines(cluster, text):
    """Return how many lines of all logs hold a text."""
    return sum(gateway.log.read_text().count(text) for gateway in cluster.gateways)


def test_key_is_in_nothing_that_leaves_a_gateway(cluster):
    """Guards against keys in logs, metrics, messages and requests."""
    for server in cluster.servers.values():
        server.set_faults(reset=1, errors=1, slow=30)
    for gateway in cluster.gateways:
        for number in range(12):
            get_status(gateway, KEY_RED, attempt_id=f"a{number}")
            get_status(gateway, KEY_BLUE, "status", f"b{number}")
            get_status(gateway, UNKNOWN_KEY, attempt_id=f"c{number}")
        with create_connection(gateway.program.address, 10.0) as connection:
            lines = f"GET / HTTP/1.1\r\nCredential: {KEY_RED}\r\nbad line\r\n\r\n"
            connection.sendall(lines.encode())
            assert MARK.encode() not in connection.recv(65_536)
    write_unusable_documents(cluster)
    left = {}
    for number, gateway in enumerate(cluster.gateways, 1):
        peer = (f"127.0.0.{number}", PEERS_PORT)
        state = pull_state(peer)
        assert isinstance(state, CatalogState)
        assert state.configuration, "no document was pulled"
        left[f"pull {number}"] = repr(state)
        left[f"datagrams {number}"] = repr(collect_datagrams(peer))
        metrics = http_request(gateway.metrics, "GET", "/metrics").body.decode()
        assert "unknown-credential" in metrics
        left[f"metrics {number}"] = metrics
        left[f"log {number}"] = gateway.log.read_text()
        assert '"unknown-credential"' in left[f"log {number}"]
        explained = start_program(
            "cuminhatch.cli", "explain", "c1", gateway.log, stdout=-1, text=True
        )
        left[f"explain {number}"] = explained.communicate(timeout=30)[0]
        assert "unknown-credential" in left[f"explain {number}"]
        stop_process(gateway.program.process)
        left[f"log at the end {number}"] = gateway.log.read_text()
    for server_id, server in cluster.servers.items():
        left[server_id] = json.dumps(server.request("GET", "/heads").value)
    assert '"red"' in left["l1"] + left["l2"]
    assert [name for name, text in left.items() if MARK in text] == []
