"""Tests of faults of daemons, the table and connections, as real processes."""

from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPException
from itertools import count
from signal import SIGCONT, SIGKILL, SIGSTOP

import pytest

from tests.support import wait_until
from tests.system.deployment import note, running_deployment, withdrawal

SLOW = "/ledger?ms=1500"


def outcome(answer):
    return answer.headers["cuminhatch-outcome"]


def begin_slow_run(deployment, pool, key="k"):
    """Confirm through the first daemon; return when the work has begun."""
    answer = pool.submit(deployment.daemons[0].confirm, key, SLOW)
    wait_until(lambda: deployment.runs(key=key), "the run")
    return answer


def test_death_between_claim_and_answer_leaves_one_run(deployment):
    """Guards against a second truck after a daemon died in its work."""
    with ThreadPoolExecutor() as pool:
        lost = begin_slow_run(deployment, pool)
        deployment.daemons[0].process.send_signal(SIGKILL)
        with pytest.raises((HTTPException, ConnectionError)):
            lost.result()
    answer = deployment.daemons[1].confirm("k", SLOW, deadline_ms=1000)
    assert (answer.status, outcome(answer)) == (504, "unknown")
    assert len(deployment.runs(key="k")) == 1


def test_pause_between_claim_and_answer_leaves_one_run(deployment):
    """Guards against a paused daemon that runs what another has run."""
    first, second = deployment.daemons
    with ThreadPoolExecutor() as pool:
        paused = begin_slow_run(deployment, pool)
        first.process.send_signal(SIGSTOP)
        try:
            answer = second.confirm("k", SLOW, deadline_ms=500)
        finally:
            first.process.send_signal(SIGCONT)
        assert (answer.status, outcome(answer)) == (504, "unknown")
        assert (paused.result().status, outcome(paused.result())) == (200, "ran")
    # The answer is stored soon after it has been given.
    wait_until(lambda: second.confirm("k", SLOW, deadline_ms=1000).status == 200)
    assert len(deployment.runs(key="k")) == 1


def test_table_outage_stops_keyed_work_only():
    """Guards against an outage of the store that callers notice."""
    with running_deployment(3) as deployment:
        first, _, third = deployment.daemons
        accepted = first.submit(note("second", withdrawal("status-1")))
        deployment.table.set_faults(outage=True)
        assert accepted.status == 200
        deployment.wait_for_note(2)
        answers = {}
        for key in map(str, count()):
            # Until the outage is known, a claim may be on its way.
            answers[key] = third.confirm(key, deadline_ms=500)
            if outcome(answers[key]) == "not-run":
                break
        assert answers[key].status == 503
        assert answers[key].headers["cuminhatch-reason"] == "store-outage"
        assert {outcome(a) for a in answers.values()} <= {"unknown", "not-run"}
        assert deployment.runs(path="/ledger") == []
        for daemon in deployment.daemons:
            assert daemon.get("/status").status == 200


def test_lost_replies_of_the_table_run_once(deployment):
    """Guards against a claim that took effect and seems to have failed."""
    # Other writes take some of the lost replies, so that several are tried.
    for key in map(str, range(5)):
        deployment.table.set_faults(reply_lost=1)
        answer = deployment.daemons[0].confirm(key)
        runs = len(deployment.runs(key=key))
        assert (answer.status, outcome(answer), runs) == (200, "ran", 1)


def test_silent_connections_are_told_truly(deployment):
    """Guards against a connection that the network has lost track of."""
    first = deployment.daemons[0]
    for number in range(5):
        assert first.get("/status").status == 200
        assert first.confirm(f"before-{number}").status == 200
    deployment.backends[0].set_faults(silent=True)
    answer = first.confirm("k", deadline_ms=1000)
    assert (answer.status, outcome(answer)) == (504, "unknown")
    assert len(deployment.runs(key="k")) <= 1
    for _ in range(5):
        assert first.get("/status").status == 200
    assert first.confirm("after").status == 200


def is_broken_off(send, *arguments):
    """Tell whether a request ends without a whole answer; else it is 200."""
    try:
        assert send(*arguments).status == 200
    except (HTTPException, ConnectionError):
        return True
    return False


def test_cut_connection_is_told_truly(deployment):
    """Guards against a cut answer that is taken for whole or sent again."""
    first, second = deployment.daemons
    deployment.backends[0].set_faults(cut=True)
    # The head of the cut answer has been forwarded, so that only the broken
    # connection can tell the caller.
    for _ in range(5):
        is_broken_off(first.get, "/status")
    assert is_broken_off(first.confirm, "k")
    deployment.backends[0].set_faults(cut=False)
    answer = second.confirm("k", deadline_ms=500)
    assert (answer.status, outcome(answer)) == (504, "unknown")
    assert len(deployment.runs(key="k")) == 1
