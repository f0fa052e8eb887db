"""Tests of gateways as processes, with a store and backend servers."""

from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPException
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from socket import SOCK_DGRAM, create_connection, socket
from subprocess import PIPE

import pytest

from tests.support import (
    http_request,
    start_program,
    stop_process,
    wait_until,
)
from tests.system.gateways import PEERS_PORT, running_gateways

# Requests that a server of the cluster runs at the same time.
SERVER_SLOTS = 3


@pytest.fixture
def cluster():
    with running_gateways() as cluster:
        yield cluster


def get_status(gateway, route, attempt_id, body=None):
    """Return the status, or 0 if the connection closed without a response."""
    try:
        return gateway.send_request(route, attempt_id, body=body).status
    except (OSError, HTTPException):
        return 0


def confirm_many(cluster, count, gateways=None, callers=8):
    """Send confirmations concurrently and return their statuses by id."""
    targets = gateways or cluster.gateways
    ids = [f"c{n}" for n in range(count)]

    def confirm(n):
        gateway = targets[n % len(targets)]
        return ids[n], get_status(gateway, "confirm", ids[n], b"restored")

    with ThreadPoolExecutor(callers) as pool:
        return dict(pool.map(confirm, range(count)))


def check_runs(cluster, statuses):
    """Check the statuses of responses against the recorded runs."""
    runs = Counter(cluster.runs())
    for attempt_id, status in statuses.items():
        assert runs[attempt_id] <= 1, f"{attempt_id} ran twice"
        if status == 200:
            assert runs[attempt_id] == 1
        if status in (408, 421, 429, 503):
            assert runs[attempt_id] == 0, f"{attempt_id} was refused and ran"


def test_request_is_forwarded_unchanged(cluster):
    """Guards against a request that is modified on its way to the server."""
    response = cluster.gateways[0].send_request("confirm", "a1", body=b"restored")
    assert (response.status, response.body) == (200, b"answer to a1")
    assert response.headers["response-seal"] == "seal.a1"
    (run,) = [
        run
        for server in cluster.servers.values()
        for run in server.request("GET", "/runs").value
    ]
    assert (run["method"], run["path"], run["body"]) == (
        "POST",
        "/confirm/7",
        "restored",
    )


def test_confirmations_run_at_most_once_under_server_faults(cluster):
    """Guards against second runs and against refusals of requests that ran."""
    cluster.servers["l1"].set_faults(reset=5, foreign=3, unsealed=2, errors=2)
    cluster.servers["l2"].set_faults(shed=True)
    statuses = confirm_many(cluster, 60)
    check_runs(cluster, statuses)
    assert Counter(statuses.values())[200] >= 30


def test_repeated_refusals_are_not_believed(cluster):
    """Guards against REFUSED and TWICE after an earlier refusal."""
    for name in ("l1", "l2"):
        cluster.servers[name].set_faults(stale=True)
    statuses = confirm_many(cluster, 60)
    check_runs(cluster, statuses)
    assert set(statuses.values()) <= {200, 502, 504}
    for name in ("l1", "l2"):
        cluster.servers[name].set_faults(stale=False)
    statuses = {
        f"after-{n}": get_status(cluster.gateways[n % 2], "confirm", f"after-{n}", b"x")
        for n in range(20)
    }
    check_runs(cluster, statuses)
    assert Counter(statuses.values())[200] >= 15


def test_responses_without_end_leave_other_requests_alone(cluster):
    """Guards against one server whose responses hold the gateways' memory."""
    cluster.servers["b1"].set_faults(endless=True)
    for n in range(20):
        assert (
            cluster.gateways[n % 2].send_request("confirm", f"e{n}", body=b"x").status
        )
    with ThreadPoolExecutor(8) as pool:
        endless = [
            pool.submit(get_status, cluster.gateways[n % 2], "status", f"f{n}")
            for n in range(8)
        ]
        for n in range(20):
            gateway = cluster.gateways[n % 2]
            assert get_status(gateway, "confirm", f"g{n}", b"x") == 200
        cluster.servers["b1"].set_faults(endless=False)
        statuses = [future.result() for future in endless]
    assert set(statuses) <= {0, 200, 502, 504}
    for gateway in cluster.gateways:
        assert gateway.program.process.poll() is None


def test_bytes_that_are_no_protocol_end_no_process(cluster):
    """Guards against one malformed message that takes a process down."""
    gateway = cluster.gateways[0]
    junk = [b"\0" * 2_000, b"GET", bytes(range(256)) * 4, b"\x80\x01{}[]" * 100]
    with socket(type=SOCK_DGRAM) as datagrams:
        for data in junk:
            datagrams.sendto(data[:1_200], ("127.0.0.1", PEERS_PORT))
    for address in (gateway.program.address, gateway.readiness, gateway.metrics):
        for data in junk:
            with create_connection(address, timeout=5) as connection:
                connection.sendall(data)
    cluster.write("servers", "odd", '{"address": "10.0.0.1:\u00b2"}')
    cluster.write("servers", "odd2", "[" * 5_000)
    cluster.write("instances", "front-9", "\x00\xff:99999999999")
    for n in range(20):
        assert cluster.gateways[n % 2].send_request("status", f"j{n}").status == 200
    assert gateway.program.process.poll() is None


def test_idempotent_requests_are_resent_after_faulty_responses(cluster):
    """Guards against faults of one server that callers see."""
    cluster.servers["b1"].set_faults(reset=3, foreign=3, unsealed=3, errors=3)
    for n in range(20):
        assert cluster.gateways[n % 2].send_request("status", f"s{n}").status == 200


def test_killed_server_is_avoided(cluster):
    """Guards against failures for as long as a dead server is registered."""
    stop_process(cluster.servers["l1"].process, SIGKILL)
    # More callers than the other server has slots may truly find it full.
    statuses = confirm_many(cluster, 30, callers=SERVER_SLOTS)
    assert set(statuses.values()) == {200}
    check_runs(cluster, statuses)


def test_draining_server_gets_no_new_requests(cluster):
    """Guards against requests to a server that is about to exit."""
    cluster.register("b1", state="draining", sequence=2)

    def has_seen_draining(gateway):
        return any(
            line["event"] == "server_changed" and line["is_draining"]
            for line in gateway.lines
        )

    for gateway in cluster.gateways:
        wait_until(lambda gateway=gateway: has_seen_draining(gateway), "the draining")
    before = len(cluster.servers["b1"].request("GET", "/runs").value)
    for n in range(20):
        assert cluster.gateways[n % 2].send_request("status", f"d{n}").status == 200
    assert len(cluster.servers["b1"].request("GET", "/runs").value) == before


def test_malformed_registration_affects_no_other(cluster):
    """Guards against an invalid row that stops the reading of others."""
    cluster.write("servers", "odd", "{not json")
    cluster.write("servers", "odd2", {"service": "board", "state": "ready"})
    cluster.register("b2", state="draining", sequence=2)
    wait_until(
        lambda: any(
            line["event"] == "server_changed" and line["server"] == "b2"
            for line in cluster.gateways[0].lines
        ),
        "the change of b2",
    )
    assert cluster.gateways[0].send_request("status", "s1").status == 200
    refused = {
        line["server"]
        for gateway in cluster.gateways
        for line in gateway.lines
        if line["event"] == "registration_refused"
    }
    assert refused == {"odd", "odd2"}


def test_configuration_is_applied_on_all_instances(cluster):
    """Guards against an instance that stays on an older version."""
    cluster.configure(4, status=None, board=("safe", "board"))
    for gateway in cluster.gateways:
        wait_until(
            lambda gateway=gateway: gateway.send_request("board", "x").status == 200,
            "r4",
        )
        assert gateway.send_request("status", "y").status == 404


def is_reader(gateway):
    """Tell whether an instance reads the store for all."""
    text = http_request(gateway.metrics, "GET", "/metrics").body.decode()
    return "cuminhatch_store_reader 1" in text


def test_changes_apply_after_the_store_was_restored_from_a_copy(cluster):
    """
    Guards against changes that are ignored for the versions of their rows.

    Both instances have read the versions that the store loses and gives out
    again. The users allow 3 s after an outage of the store, and 2 s until a
    change is in force.
    """
    for version in (2, 3, 4, 5):
        cluster.configure(version, added=("safe", "board"))
    first, second = cluster.gateways
    reader, other = (first, second) if is_reader(first) else (second, first)
    reader.program.process.send_signal(SIGSTOP)
    wait_until(lambda: is_reader(other), "the other reader")
    reader.program.process.send_signal(SIGCONT)
    for gateway in cluster.gateways:
        wait_until(lambda g=gateway: get_status(g, "added", "a1") == 200, "version 5")
    cluster.store.set_faults(outage=True, restored=60_000)
    cluster.store.set_faults(outage=False)
    for server_id in cluster.servers:
        state = "draining" if server_id == "b1" else "ready"
        cluster.register(server_id, state=state, sequence=2)
    cluster.configure(6, added=("safe", "board"), later=("safe", "board"))
    for gateway in cluster.gateways:
        wait_until(
            lambda g=gateway: get_status(g, "later", "a2") == 200, "version 6", 5.0
        )
    before = len(cluster.servers["b1"].request("GET", "/runs").value)
    for n in range(20):
        assert get_status(cluster.gateways[n % 2], "status", f"d{n}") == 200
    assert len(cluster.servers["b1"].request("GET", "/runs").value) == before


def test_store_outage_stops_no_requests_or_starts(cluster):
    """Guards against a store outage that callers notice."""
    cluster.store.set_faults(outage=True)
    statuses = confirm_many(cluster, 20)
    assert set(statuses.values()) == {200}
    new = cluster.start_gateway(3)
    wait_until(lambda: new.is_ready, "readiness without the store")
    assert new.send_request("status", "n1").status == 200
    cluster.store.set_faults(outage=False)
    cluster.configure(9, extra=("safe", "board"))
    for gateway in cluster.gateways:
        wait_until(
            lambda gateway=gateway: gateway.send_request("extra", "x").status == 200,
            "r9",
        )


def test_stopped_instance_ends_its_requests(cluster):
    """Guards against requests that a planned stop aborts."""
    for server in cluster.servers.values():
        server.set_faults(slow=400)
    first, second = cluster.gateways
    with ThreadPoolExecutor(6) as pool:
        futures = [
            pool.submit(get_status, first, "confirm", f"t{n}", b"x") for n in range(6)
        ]
        wait_until(lambda: len(cluster.runs()) >= 4, "running requests")
        first.program.process.send_signal(SIGTERM)
        wait_until(lambda: not first.is_ready, "the end of readiness")
        statuses = {f"t{n}": future.result() for n, future in enumerate(futures)}
    assert 0 not in statuses.values()
    check_runs(cluster, statuses)
    assert first.program.process.wait(10) == 0
    assert second.send_request("status", "s1").status == 200


def test_new_instance_serves_after_all_others_were_killed(cluster):
    """Guards against durable state that is kept in process memory only."""
    for gateway in cluster.gateways:
        stop_process(gateway.program.process, SIGKILL)
    new = cluster.start_gateway(3)
    wait_until(lambda: new.is_ready, "readiness")
    assert new.send_request("status", "s1").status == 200
    assert new.send_request("nothing", "s2").status == 404


def test_metrics_count_completed_requests(cluster):
    """Guards against a metrics address that serves no metrics."""
    gateway = cluster.gateways[0]
    assert gateway.send_request("status", "m1").status == 200
    text = http_request(gateway.metrics, "GET", "/metrics").body.decode()
    assert 'cuminhatch_requests_total{end="answered",service="board"} 1' in text
    assert "cuminhatch_request_duration_ms_bucket" in text
    assert "cuminhatch_probes_total" in text
    assert 'cuminhatch_request_stage_ms_count{rule="status",stage="server"}' in text
    assert "cuminhatch_connect_ms_count" in text
    assert 'cuminhatch_requests_in_progress{stage="waiting"} 0' in text
    assert "cuminhatch_resend_budget_left" in text
    assert "cuminhatch_configuration_version" in text
    assert 'cuminhatch_store_calls_total{result="200"}' in text


@pytest.mark.parametrize(
    ("arguments", "named"),
    [
        (["--setings", "x"], "setings"),
        (["extra"], "extra"),
        (["--settings", "missing.toml"], "missing.toml"),
        ([], "--settings"),
    ],
)
def test_mistake_on_the_command_line_is_named(arguments, named):
    """Guards against unknown arguments that are ignored."""
    variables = {"CUMINHATCH_NODE_FILE": ""}
    process = start_program(
        "cuminhatch.gateway", *arguments, environment=variables, stderr=PIPE, text=True
    )
    _, errors = process.communicate(timeout=30)
    assert process.returncode == 2
    assert named in errors.splitlines()[0]
