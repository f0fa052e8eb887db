"""Tests of faults of daemons, table service and connections."""

from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPException
from itertools import count
from signal import SIGCONT, SIGKILL, SIGSTOP

import pytest

from tests.support import wait_until
from tests.system.deployment import make_note, make_withdrawal, running_deployment

SLOW = "/ledger?ms=1500"


def get_outcome(response):
    return response.headers["cuminhatch-outcome"]


def start_slow_run(deployment, pool, key="k"):
    """Send a slow request to the first daemon; return once it runs."""
    future = pool.submit(deployment.daemons[0].confirm, key, SLOW)
    wait_until(lambda: deployment.runs(key=key), "the run")
    return future


def test_kill_between_claim_and_response_leaves_one_run(deployment):
    """Guards against a second run after a daemon is killed."""
    with ThreadPoolExecutor() as pool:
        future = start_slow_run(deployment, pool)
        deployment.daemons[0].process.send_signal(SIGKILL)
        with pytest.raises((HTTPException, ConnectionError)):
            future.result()
    response = deployment.daemons[1].confirm("k", SLOW, deadline_ms=1000)
    assert (response.status, get_outcome(response)) == (504, "unknown")
    assert len(deployment.runs(key="k")) == 1


def test_pause_between_claim_and_response_leaves_one_run(deployment):
    """Guards against a second run after a pause of the daemon."""
    first, second = deployment.daemons
    with ThreadPoolExecutor() as pool:
        future = start_slow_run(deployment, pool)
        first.process.send_signal(SIGSTOP)
        try:
            response = second.confirm("k", SLOW, deadline_ms=500)
        finally:
            first.process.send_signal(SIGCONT)
        assert (response.status, get_outcome(response)) == (504, "unknown")
        assert (future.result().status, get_outcome(future.result())) == (200, "ran")
    # The response is stored shortly after it has been sent.
    wait_until(lambda: second.confirm("k", SLOW, deadline_ms=1000).status == 200)
    assert len(deployment.runs(key="k")) == 1


def test_table_outage_stops_keyed_requests_only():
    """Guards against a store outage that fails unkeyed requests."""
    with running_deployment(3) as deployment:
        first, _, third = deployment.daemons
        accepted = first.submit(make_note("second", make_withdrawal("status-1")))
        deployment.table.set_faults(outage=True)
        assert accepted.status == 200
        deployment.wait_for_note(2)
        responses = {}
        for key in map(str, count()):
            # Until the daemon detects the outage, a claim may be in progress.
            responses[key] = third.confirm(key, deadline_ms=500)
            if get_outcome(responses[key]) == "not-run":
                break
        assert responses[key].status == 503
        assert responses[key].headers["cuminhatch-reason"] == "store-outage"
        assert {get_outcome(a) for a in responses.values()} <= {"unknown", "not-run"}
        assert deployment.runs(path="/ledger") == []
        for daemon in deployment.daemons:
            assert daemon.get("/status").status == 200


def test_lost_replies_of_the_table_run_once(deployment):
    """Guards against a claim that is stored but taken for failed."""
    # Other writes may consume the fault, so several requests are sent.
    for key in map(str, range(5)):
        deployment.table.set_faults(reply_lost=1)
        response = deployment.daemons[0].confirm(key)
        runs = len(deployment.runs(key=key))
        assert (response.status, get_outcome(response), runs) == (200, "ran", 1)


def test_request_on_silent_connection_has_unknown_outcome(deployment):
    """Guards against a wrong outcome when a connection stays open but dead."""
    first = deployment.daemons[0]
    for number in range(5):
        assert first.get("/status").status == 200
        assert first.confirm(f"before-{number}").status == 200
    deployment.backends[0].set_faults(silent=True)
    response = first.confirm("k", deadline_ms=1000)
    assert (response.status, get_outcome(response)) == (504, "unknown")
    assert len(deployment.runs(key="k")) <= 1
    for _ in range(5):
        assert first.get("/status").status == 200
    assert first.confirm("after").status == 200


def is_response_incomplete(send, *arguments):
    """Tell whether a request gets no complete response; else check for 200."""
    try:
        assert send(*arguments).status == 200
    except (HTTPException, ConnectionError):
        return True
    return False


def test_cut_response_is_incomplete_and_its_outcome_unknown(deployment):
    """Guards against a cut response that is taken for complete or resent."""
    first, second = deployment.daemons
    deployment.backends[0].set_faults(cut=True)
    # The response head has been forwarded already, so only closing the
    # connection can tell the caller that the response is incomplete.
    for _ in range(5):
        is_response_incomplete(first.get, "/status")
    assert is_response_incomplete(first.confirm, "k")
    deployment.backends[0].set_faults(cut=False)
    response = second.confirm("k", deadline_ms=500)
    assert (response.status, get_outcome(response)) == (504, "unknown")
    assert len(deployment.runs(key="k")) == 1
