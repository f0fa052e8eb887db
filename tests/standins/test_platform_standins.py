"""Tests of the stand-ins for the platform's services."""

import json
from random import Random

import pytest

from cuminhatch import ManualClock
from cuminhatch.kernel import Kernel
from cuminhatch.messages import ResponseAborted, ResponseStarted
from cuminhatch_standins._fault_injector import FaultsChanged
from cuminhatch_standins._responses import CompleteRequest
from cuminhatch_standins.instance_list import InstanceListStandin
from cuminhatch_standins.table_service import TableService
from tests.support import (
    Recorder,
    is_closed_without_response,
    run_ticks,
    running_standin,
)


@pytest.fixture(scope="module")
def table():
    with running_standin("table_service") as table:
        yield table


@pytest.fixture(scope="module")
def objects():
    with running_standin("object_store") as objects:
        yield objects


def transaction(key, version=0):
    checks, puts = [{"key": key, "version": version}], [{"key": key, "value": {}}]
    return json.dumps({"id": "t", "checks": checks, "puts": puts, "deletes": []})


def is_reply_lost(table, body):
    return is_closed_without_response(table.address, "POST", "/transact", body)


def test_table_follows_the_protocol_of_the_design(table):
    """Guards against a protocol error that client and stand-in share."""
    response = table.request("POST", "/transact", transaction("a/b"))
    version = response.value["versions"]["a/b"]
    assert response.status == 200
    assert version >= 1
    response = table.request("POST", "/transact", transaction("a/b"))
    row = {"version": version, "value": {}}
    assert (response.status, response.value) == (409, {"mismatches": {"a/b": row}})
    assert table.request("GET", "/rows/a%2Fb").value == row
    assert table.request("GET", "/rows/none").status == 404
    rows = table.request("GET", "/rows?after=a&before=b&limit=5").value
    assert rows == {"rows": [{"key": "a/b", **row}]}
    response = table.request("POST", "/transact", transaction("none", 3))
    assert response.value == {"mismatches": {"none": {"version": 0, "value": None}}}
    assert table.request("POST", "/transact", "{}").status == 400
    assert table.request("GET", "/rows?limit=x").status == 400


def test_reply_is_lost_as_often_as_asked_and_the_write_applies(table):
    """Guards against a lost reply whose write has no effect either."""
    table.set_faults(reply_lost=2)
    for key in ("lost/1", "lost/2"):
        assert is_reply_lost(table, transaction(key))
        assert table.request("GET", "/rows/" + key.replace("/", "%2F")).status == 200
    assert table.request("POST", "/transact", transaction("lost/3")).status == 200
    table.set_faults(reply_lost=1.0)
    assert is_reply_lost(table, transaction("lost/4"))
    table.set_faults(reply_lost=0)


def test_outage_and_counts(table):
    """Guards against an outage that still writes, and against wrong counts."""
    before = table.request("GET", "/stats").value
    table.set_faults(outage=True)
    body = transaction("outage")
    assert is_reply_lost(table, body)
    assert is_closed_without_response(table.address, "GET", "/rows/outage")
    table.set_faults(outage=False, slow=1)
    assert table.request("GET", "/rows/outage").status == 404
    assert table.request("POST", "/transact", body).status == 200
    table.set_faults(slow=0)
    after = table.request("GET", "/stats").value
    assert after["reads"] - before["reads"] == 1
    assert after["writes"] - before["writes"] == 1


def test_objects_are_complete_unless_torn_or_missing(objects):
    """Guards against ``torn`` and ``missing`` faults without effect."""
    data = bytes(range(200))
    assert objects.request("GET", "/objects/a%2Fb").status == 404
    assert objects.request("PUT", "/objects/a%2Fb", data).status == 200
    objects.set_faults(torn=1)
    assert objects.request("GET", "/objects/a%2Fb").body == data[:100]
    assert objects.request("GET", "/objects/a%2Fb").body == data
    objects.set_faults(missing=True)
    assert objects.request("GET", "/objects/a%2Fb").status == 404
    objects.set_faults(missing=False, outage=True)
    assert is_closed_without_response(objects.address, "GET", "/objects/a%2Fb")
    objects.set_faults(outage=False)
    assert objects.request("DELETE", "/objects/a%2Fb").status == 200
    assert objects.request("GET", "/objects/a%2Fb").status == 404


class Harness:
    """Runs the service of a stand-in with a manual clock, without HTTP."""

    def __init__(self, make_service):
        self.kernel = Kernel(ManualClock())
        callers = Recorder(self.kernel, "callers", ResponseStarted, ResponseAborted)
        self.responses = self.kernel.register(callers).received
        self.service = self.kernel.register(make_service(self.kernel))

    def send(self, message):
        self.kernel.send(self.service.name, message)
        self.advance(0)

    def advance(self, ms):
        self.kernel.clock.advance(ms)
        run_ticks(self.kernel, 4)

    def request(self, method, path, body=""):
        self.send(CompleteRequest(1, method, path, {}, (), body.encode(), 0.0))
        return self.responses[-1]

    def value(self, path):
        return json.loads(self.request("GET", path).data)


def test_late_write_is_checked_when_it_is_applied():
    """Guards against a late write that overwrites the void of its claim."""
    harness = Harness(lambda kernel: TableService(kernel, Random(1)))
    late = {"reply_lost": 0, "late": {"count": 2, "ms": 50}}
    harness.send(FaultsChanged(frozenset({"late"}), late))
    for key in ("lone", "beaten"):
        response = harness.request("POST", "/transact", transaction(key))
        assert isinstance(response, ResponseAborted)
    assert harness.request("GET", "/rows/lone").head.status == 404
    won = json.loads(harness.request("POST", "/transact", transaction("beaten")).data)
    harness.advance(49)
    assert harness.request("GET", "/rows/lone").head.status == 404
    harness.advance(1)
    assert harness.request("GET", "/rows/lone").head.status == 200
    assert harness.value("/rows/beaten")["version"] == won["versions"]["beaten"]


class InstanceListHarness(Harness):
    """Runs the stand-in for the instance list."""

    def __init__(self, lag_ms):
        super().__init__(lambda kernel: InstanceListStandin(kernel, lag_ms))

    def put(self, instance_id, state="live"):
        value = {"address": "10.0.0.1:1", "kind": "backend", "state": state}
        path = f"/instances/{instance_id}"
        return self.request("PUT", path, json.dumps(value)).head.status

    def states(self):
        instances = self.value("/instances")["instances"]
        return {instance["id"]: instance["state"] for instance in instances}


def test_returned_list_is_as_old_as_the_lag():
    """Guards against a ``lag_ms`` flag without effect."""
    harness = InstanceListHarness(lag_ms=100.0)
    assert harness.put("b1") == 200
    harness.kernel.clock.advance(60)
    assert harness.put("b1", "leaving") == 200
    harness.kernel.clock.advance(39)
    assert harness.states() == {}
    harness.kernel.clock.advance(1)
    assert harness.states() == {"b1": "live"}
    harness.request("DELETE", "/instances/b1")
    harness.kernel.clock.advance(60)
    assert harness.states() == {"b1": "leaving"}
    harness.kernel.clock.advance(40)
    assert harness.states() == {}
    assert harness.put("b2", "gone") == 400


def test_stale_list_does_not_change():
    """Guards against a stale list that still changes."""
    harness = InstanceListHarness(lag_ms=0.0)
    harness.put("b1")
    harness.send(FaultsChanged(frozenset({"stale"}), {"stale": True}))
    harness.put("b2")
    assert harness.states() == {"b1": "live"}
    harness.send(FaultsChanged(frozenset({"stale"}), {"stale": False}))
    assert harness.states() == {"b1": "live", "b2": "live"}
