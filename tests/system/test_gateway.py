"""Tests of gateways as real processes, beside a store and servers."""

from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPException
from signal import SIGKILL, SIGTERM
from subprocess import PIPE

import pytest

from tests.support import (
    http_request,
    start_program,
    stop_process,
    wait_until,
)
from tests.system.gateways import running_site


@pytest.fixture
def site():
    with running_site() as made:
        yield made


def ask_quietly(gateway, kind, attempt_id, body=None):
    """Return the status, 0 where the connection ended without an answer."""
    try:
        return gateway.ask(kind, attempt_id, body=body).status
    except (OSError, HTTPException):
        return 0


def confirm_many(site, count, gateways=None):
    """Send confirmations side by side and return their statuses by id."""
    chosen = gateways or site.gateways
    ids = [f"c{n}" for n in range(count)]

    def confirm(n):
        gateway = chosen[n % len(chosen)]
        return ids[n], ask_quietly(gateway, "confirm", ids[n], b"restored")

    with ThreadPoolExecutor(8) as pool:
        return dict(pool.map(confirm, range(count)))


def check_runs(site, statuses):
    """Check what the answers say against what ran."""
    runs = Counter(site.runs())
    for attempt_id, status in statuses.items():
        assert runs[attempt_id] <= 1, f"{attempt_id} ran twice"
        if status == 200:
            assert runs[attempt_id] == 1
        if status in (408, 421, 429, 503):
            assert runs[attempt_id] == 0, f"{attempt_id} was refused and ran"


def test_request_passes_unchanged(site):
    """Guards against a request that a server sees in another form."""
    answer = site.gateways[0].ask("confirm", "a1", body=b"restored")
    assert (answer.status, answer.body) == (200, b"answer to a1")
    assert answer.headers["response-seal"] == "seal.a1"
    (run,) = [
        run
        for server in site.servers.values()
        for run in server.request("GET", "/runs").value
    ]
    assert (run["method"], run["path"], run["body"]) == (
        "POST",
        "/confirm/7",
        "restored",
    )


def test_confirmations_run_at_most_once_whatever_servers_do(site):
    """Guards against second runs and false refusals under faults."""
    site.servers["l1"].set_faults(reset=5, foreign=3, unsealed=2, errors=2)
    site.servers["l2"].set_faults(shed=True)
    statuses = confirm_many(site, 60)
    check_runs(site, statuses)
    assert Counter(statuses.values())[200] >= 30


def test_broken_answers_of_idempotent_requests_are_replaced(site):
    """Guards against faults of one server that reach callers."""
    site.servers["b1"].set_faults(reset=3, foreign=3, unsealed=3, errors=3)
    for n in range(20):
        assert site.gateways[n % 2].ask("status", f"s{n}").status == 200


def test_killed_server_is_avoided(site):
    """Guards against failures for as long as a dead server is registered."""
    stop_process(site.servers["l1"].process, SIGKILL)
    statuses = confirm_many(site, 30)
    assert set(statuses.values()) == {200}
    check_runs(site, statuses)


def test_draining_server_gets_nothing_new(site):
    """Guards against requests to a server that is about to end."""
    site.register("b1", state="draining", sequence=2)

    def has_heard(gateway):
        return any(
            line["event"] == "server_changed" and line["is_draining"]
            for line in gateway.lines
        )

    for gateway in site.gateways:
        wait_until(lambda gateway=gateway: has_heard(gateway), "the draining")
    before = len(site.servers["b1"].request("GET", "/runs").value)
    for n in range(20):
        assert site.gateways[n % 2].ask("status", f"d{n}").status == 200
    assert len(site.servers["b1"].request("GET", "/runs").value) == before


def test_malformed_registration_harms_no_other(site):
    """Guards against a row of another writer that ends the reading."""
    site.write("servers", "odd", "{not json")
    site.write("servers", "odd2", {"service": "board", "state": "ready"})
    site.register("b2", state="draining", sequence=2)
    wait_until(
        lambda: any(
            line["event"] == "server_changed" and line["server"] == "b2"
            for line in site.gateways[0].lines
        ),
        "the change of b2",
    )
    assert site.gateways[0].ask("status", "s1").status == 200
    refused = {
        line["server"]
        for gateway in site.gateways
        for line in gateway.lines
        if line["event"] == "registration_refused"
    }
    assert refused == {"odd", "odd2"}


def test_configuration_is_in_force_on_all_instances(site):
    """Guards against an instance that follows an older version."""
    site.configure(4, status=None, board=("safe", "board"))
    for gateway in site.gateways:
        wait_until(
            lambda gateway=gateway: gateway.ask("board", "x").status == 200, "r4"
        )
        assert gateway.ask("status", "y").status == 404


def test_store_outage_stops_nothing(site):
    """Guards against callers who notice that the store is away."""
    site.store.set_faults(outage=True)
    statuses = confirm_many(site, 20)
    assert set(statuses.values()) == {200}
    new = site.start_gateway(3)
    wait_until(lambda: new.is_ready, "readiness without the store")
    assert new.ask("status", "n1").status == 200
    site.store.set_faults(outage=False)
    site.configure(9, extra=("safe", "board"))
    for gateway in site.gateways:
        wait_until(
            lambda gateway=gateway: gateway.ask("extra", "x").status == 200, "r9"
        )


def test_stopped_instance_ends_its_requests(site):
    """Guards against requests that a planned stop cuts off."""
    for server in site.servers.values():
        server.set_faults(slow=400)
    first, second = site.gateways
    with ThreadPoolExecutor(6) as pool:
        asked = [
            pool.submit(ask_quietly, first, "confirm", f"t{n}", b"x") for n in range(6)
        ]
        wait_until(lambda: len(site.runs()) >= 4, "running requests")
        first.program.process.send_signal(SIGTERM)
        wait_until(lambda: not first.is_ready, "the end of readiness")
        statuses = {f"t{n}": answer.result() for n, answer in enumerate(asked)}
    assert 0 not in statuses.values()
    check_runs(site, statuses)
    assert first.program.process.wait(10) == 0
    assert second.ask("status", "s1").status == 200


def test_killed_instances_know_all_after_their_start(site):
    """Guards against what must last being kept in a process only."""
    for gateway in site.gateways:
        stop_process(gateway.program.process, SIGKILL)
    new = site.start_gateway(3)
    wait_until(lambda: new.is_ready, "readiness")
    assert new.ask("status", "s1").status == 200
    assert new.ask("nothing", "s2").status == 404


def test_metrics_count_what_was_answered(site):
    """Guards against a metrics address that serves nothing."""
    gateway = site.gateways[0]
    assert gateway.ask("status", "m1").status == 200
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
    """Guards against a daemon that ignores a word it does not know."""
    variables = {"CUMINHATCH_NODE_FILE": ""}
    process = start_program(
        "cuminhatch.gateway", *arguments, environment=variables, stderr=PIPE, text=True
    )
    _, errors = process.communicate(timeout=30)
    assert process.returncode == 2
    assert named in errors.splitlines()[0]
