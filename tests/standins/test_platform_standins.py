"""Tests of the stand-ins for the platform's services over HTTP."""

import json

import pytest

from cuminhatch import ManualClock
from cuminhatch.kernel import Kernel, Service
from cuminhatch.messages import ResponseStarted
from cuminhatch_standins._answers import WholeRequest
from cuminhatch_standins._front import FaultsChanged
from cuminhatch_standins.instance_list import InstanceListStandin
from tests.support import is_closed_without_answer, running_standin, wait_until


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


def test_table_speaks_the_protocol_of_the_design(table):
    """Guards against a client and a table that share one mistake."""
    answer = table.request("POST", "/transact", transaction("a/b"))
    version = answer.value["versions"]["a/b"]
    assert answer.status == 200
    assert version >= 1
    answer = table.request("POST", "/transact", transaction("a/b"))
    row = {"version": version, "value": {}}
    assert (answer.status, answer.value) == (409, {"mismatches": {"a/b": row}})
    assert table.request("GET", "/rows/a%2Fb").value == row
    assert table.request("GET", "/rows/none").status == 404
    rows = table.request("GET", "/rows?after=a&before=b&limit=5").value
    assert rows == {"rows": [{"key": "a/b", **row}]}
    answer = table.request("POST", "/transact", transaction("none", 3))
    assert answer.value == {"mismatches": {"none": {"version": 0, "value": None}}}
    assert table.request("POST", "/transact", "{}").status == 400
    assert table.request("GET", "/rows?limit=x").status == 400


def test_late_write_takes_effect_with_checks_of_its_own_time(table):
    """Guards against a late write that overwrites the void that won."""
    table.set_faults(late={"count": 2, "ms": 50})
    for key in ("late/1", "late/2"):
        body = transaction(key)
        assert is_closed_without_answer(table.address, "POST", "/transact", body)
    won = table.request("POST", "/transact", transaction("late/2"))
    wait_until(lambda: table.request("GET", "/rows/late%2F1").status == 200)
    # Both late writes are due in order, so the second has been decided too
    # after one more that was due later.
    table.set_faults(late={"count": 1, "ms": 50})
    body = transaction("late/3")
    assert is_closed_without_answer(table.address, "POST", "/transact", body)
    wait_until(lambda: table.request("GET", "/rows/late%2F3").status == 200)
    row = table.request("GET", "/rows/late%2F2").value
    assert won.status == 200
    assert row["version"] == won.value["versions"]["late/2"]


def test_lost_replies_take_effect_as_often_as_asked(table):
    """Guards against a lost reply whose write is lost as well."""
    table.set_faults(reply_lost=2)
    for key in ("lost/1", "lost/2"):
        body = transaction(key)
        assert is_closed_without_answer(table.address, "POST", "/transact", body)
        assert table.request("GET", "/rows/" + key.replace("/", "%2F")).status == 200
    assert table.request("POST", "/transact", transaction("lost/3")).status == 200
    table.set_faults(reply_lost=1.0)
    body = transaction("lost/4")
    assert is_closed_without_answer(table.address, "POST", "/transact", body)
    table.set_faults(reply_lost=0)


def test_outage_and_counts(table):
    """Guards against an outage that still writes, and wrong counts."""
    before = table.request("GET", "/stats").value
    table.set_faults(outage=True)
    body = transaction("outage")
    assert is_closed_without_answer(table.address, "POST", "/transact", body)
    assert is_closed_without_answer(table.address, "GET", "/rows/outage")
    table.set_faults(outage=False, slow=1)
    assert table.request("GET", "/rows/outage").status == 404
    assert table.request("POST", "/transact", body).status == 200
    table.set_faults(slow=0)
    after = table.request("GET", "/stats").value
    assert after["reads"] - before["reads"] == 1
    assert after["writes"] - before["writes"] == 1


def test_objects_are_kept_whole_unless_torn_or_missing(objects):
    """Guards against a torn snapshot that no test meets."""
    data = bytes(range(200))
    assert objects.request("GET", "/objects/a%2Fb").status == 404
    assert objects.request("PUT", "/objects/a%2Fb", data).status == 200
    objects.set_faults(torn=1)
    assert objects.request("GET", "/objects/a%2Fb").body == data[:100]
    assert objects.request("GET", "/objects/a%2Fb").body == data
    objects.set_faults(missing=True)
    assert objects.request("GET", "/objects/a%2Fb").status == 404
    objects.set_faults(missing=False, outage=True)
    assert is_closed_without_answer(objects.address, "GET", "/objects/a%2Fb")
    objects.set_faults(outage=False)
    assert objects.request("DELETE", "/objects/a%2Fb").status == 200
    assert objects.request("GET", "/objects/a%2Fb").status == 404


class Recorder(Service):
    """Takes the place of the listener and keeps the last answer."""

    name = "callers"

    def message_handlers(self):
        return {ResponseStarted: self._on_started}

    def _on_started(self, message):
        self.answer = message


class ListBed:
    """The list of instances with a manual clock, without HTTP."""

    def __init__(self, lag_ms):
        self.kernel = Kernel(ManualClock())
        self.recorder = self.kernel.register(Recorder(self.kernel))
        self.kernel.register(InstanceListStandin(self.kernel, lag_ms))

    def send(self, message):
        self.kernel.send("instance_list", message)
        for _ in range(4):
            self.kernel.tick()

    def request(self, method, path, value=None):
        body = json.dumps(value).encode()
        self.send(WholeRequest(1, method, path, {}, (), body, 0.0))
        return self.recorder.answer.head.status

    def put(self, instance_id, state="live"):
        value = {"address": "10.0.0.1:1", "kind": "backend", "state": state}
        return self.request("PUT", f"/instances/{instance_id}", value)

    def states(self):
        self.request("GET", "/instances")
        instances = json.loads(self.recorder.answer.data)["instances"]
        return {instance["id"]: instance["state"] for instance in instances}


def test_list_lags_behind_the_truth():
    """Guards against a list that is always right."""
    bed = ListBed(lag_ms=100.0)
    assert bed.put("b1") == 200
    bed.kernel.clock.advance(60)
    assert bed.put("b1", "leaving") == 200
    bed.kernel.clock.advance(39)
    assert bed.states() == {}
    bed.kernel.clock.advance(1)
    assert bed.states() == {"b1": "live"}
    bed.request("DELETE", "/instances/b1")
    bed.kernel.clock.advance(60)
    assert bed.states() == {"b1": "leaving"}
    bed.kernel.clock.advance(40)
    assert bed.states() == {}
    assert bed.put("b2", "gone") == 400


def test_stale_list_stays_as_it_was():
    """Guards against a stale list that follows the truth."""
    bed = ListBed(lag_ms=0.0)
    bed.put("b1")
    bed.send(FaultsChanged(frozenset({"stale"}), {"stale": True}))
    bed.put("b2")
    assert bed.states() == {"b1": "live"}
    bed.send(FaultsChanged(frozenset({"stale"}), {"stale": False}))
    assert bed.states() == {"b1": "live", "b2": "live"}
