"""Tests of the client of the metadata store, with a fake HTTP client."""

import json
from base64 import b64encode

import pytest

from cuminhatch import ManualClock
from cuminhatch.address import Address
from cuminhatch.codecs.http1 import Header
from cuminhatch.decisions.store_version import StoreVersion
from cuminhatch.kernel import SUPERVISOR, HandlerFailed, Kernel
from cuminhatch.messages import HttpReplied, HttpRequested
from cuminhatch.messages.catalog import (
    ConfigurationRead,
    ConfigurationRequested,
    InstanceRecordsRead,
    InstanceRecordsRequested,
    RegistrationsRead,
    RegistrationsRequested,
    StoreUnavailable,
)
from cuminhatch.platform import store as store_module
from cuminhatch.platform.store import PlatformStore
from tests.platform.test_documents import SERVER
from tests.support import Recorder, run_ticks

REPLIES = (RegistrationsRead, ConfigurationRead, InstanceRecordsRead, StoreUnavailable)


class StoreWorld:
    """The store client, its requester, and the calls that it makes."""

    def __init__(self, has_evacuations=False):
        self.kernel = Kernel(ManualClock())
        store = PlatformStore(
            self.kernel, Address("127.0.0.1", 1), has_evacuations=has_evacuations
        )
        self.kernel.register(store)
        self.requester = self.kernel.register(
            Recorder(self.kernel, "catalog", *REPLIES)
        )
        self.http_client = self.kernel.register(
            Recorder(self.kernel, "http_client", HttpRequested)
        )
        self.supervisor = self.kernel.register(
            Recorder(self.kernel, SUPERVISOR, HandlerFailed)
        )

    def request_registrations(self):
        self.kernel.send("store", RegistrationsRequested("catalog", 1))
        run_ticks(self.kernel, 3)

    def request_configuration(self):
        self.kernel.send("store", ConfigurationRequested("catalog", 2))
        run_ticks(self.kernel, 3)

    def reply(self, body, era=None):
        """Answer the oldest call."""
        request = self.http_client.received.pop(0)
        data = json.dumps(body).encode()
        headers = () if era is None else (Header(b"store-era", b"%d" % era),)
        self.kernel.send("store", HttpReplied(request.token, 200, headers, data))
        run_ticks(self.kernel, 3)
        assert not self.supervisor.received

    def take(self):
        """Return the only message that the requester has received."""
        (message,) = self.requester.received
        self.requester.received.clear()
        return message


@pytest.fixture
def world():
    return StoreWorld()


def make_row(key, version, table="servers"):
    value = b64encode(json.dumps(SERVER).encode()).decode()
    return {"table": table, "part": "", "key": key, "value": value, "ver": version}


def make_page(version, *rows, has_more=False):
    return {"rows": list(rows), "has-more": has_more, "ver": version, "now-ms": 1}


def test_read_of_several_pages_has_the_version_of_its_first_page(world):
    """
    Guards against a removed server that is in use again.

    A row of the first page may be removed before the second page is read, and
    another reader may have told so.
    """
    world.request_registrations()
    world.reply(make_page(100, make_row("a", 90), has_more=True))
    world.reply(make_page(110, make_row("b", 105)))
    read = world.take()
    assert read.version == StoreVersion(0, 100)
    assert list(read.registrations) == ["a", "b"]


def test_second_copy_of_another_response_is_refused(world):
    """Guards against a configuration taken for an empty list of servers."""
    world.request_configuration()
    configuration = make_page(100, make_row("config", 90, table="op"))
    world.reply(configuration)
    assert isinstance(world.take(), ConfigurationRead)
    world.request_registrations()
    world.reply(configuration)
    assert isinstance(world.take(), StoreUnavailable)


def test_second_copy_of_an_older_response_is_refused(world):
    """Guards against servers as they were before they left."""
    old = make_page(100, make_row("a", 90))
    world.request_registrations()
    world.reply(old)
    world.take()
    world.request_registrations()
    world.reply(make_page(103, make_row("b", 102)))
    world.take()
    world.request_registrations()
    world.reply(old)
    assert isinstance(world.take(), StoreUnavailable)


def test_response_of_a_restored_store_is_read(world):
    """Guards against readings refused until the versions have caught up."""
    world.request_registrations()
    world.reply(make_page(100, make_row("a", 90)), era=1)
    world.take()
    world.request_registrations()
    world.reply(make_page(60, make_row("b", 55)), era=2)
    assert list(world.take().registrations) == ["b"]


def test_response_to_a_call_made_before_a_newer_one_counts(world):
    """Guards against a response refused because another call was faster."""
    world.request_registrations()
    world.request_configuration()
    registrations = world.http_client.received.pop(0)
    world.reply(make_page(105, make_row("config", 90, table="op")))
    world.take()
    world.http_client.received.insert(0, registrations)
    world.reply(make_page(103, make_row("a", 90)))
    assert world.take().version == StoreVersion(0, 103)


@pytest.mark.parametrize("rows", [[], [make_row("a", 90)]])
def test_pages_without_end_are_refused(world, monkeypatch, rows):
    """Guards against a store in trouble that fills the memory."""
    monkeypatch.setattr(store_module, "ROWS_PER_TABLE_MAX", 3)
    world.request_registrations()
    for _ in range(5):
        if world.requester.received:
            break
        world.reply(make_page(100, *rows, has_more=True))
    assert isinstance(world.take(), StoreUnavailable)


def test_rows_without_end_are_refused(world, monkeypatch):
    """Guards against a store in trouble that fills the memory."""
    monkeypatch.setattr(store_module, "ROWS_PER_TABLE_MAX", 3)
    world.request_registrations()
    for number in range(4):
        world.reply(make_page(100, make_row(f"a{number}", 90), has_more=True))
    assert isinstance(world.take(), StoreUnavailable)


def encode_value(data):
    return b64encode(data).decode()


def make_odd_row(**fields):
    """Return a row with other fields than a sound one; None drops one."""
    row = make_row("odd", 95) | fields
    return {name: value for name, value in row.items() if value is not None}


def make_odd_value(**fields):
    return make_odd_row(value=encode_value(json.dumps(SERVER | fields).encode()))


ODD_ROWS = [
    make_odd_value(slots=2**31),
    make_odd_value(slots=1e300),
    make_odd_value(born=1e30),
    make_odd_value(address="10.128.0.9:99999"),
    make_odd_value(zone="z" * 2**20),
    make_odd_row(value=encode_value(b"[" * 100_000)),
    make_odd_row(value=encode_value(b'{"slots": NaN}')),
    make_odd_row(value="not base64"),
    make_odd_row(value="\u00fc"),
    make_odd_row(value=7),
    make_odd_row(value=None),
    make_odd_row(ver=-1),
    make_odd_row(ver=2**63),
    make_odd_row(ver=1e300),
    make_odd_row(ver=float("inf")),
    make_odd_row(ver="95"),
    make_odd_row(ver=None),
    make_odd_row(key="o" * 201),
    make_odd_row(key="odd\r\nx: y"),
    make_odd_row(key="odd\0"),
    make_odd_row(key="odd\u0142"),
    make_odd_row(key="odd\ud800"),
    make_odd_row(key=None),
    make_odd_row(key=7),
    make_odd_row(table=None),
]


@pytest.mark.parametrize("odd", ODD_ROWS, ids=range(len(ODD_ROWS)))
def test_one_odd_row_leaves_the_others_in_force(world, odd):
    """
    Guards against one row of another writer that stops the reading of all.

    The refused row is reported, with an id and a reason that can be logged.
    """
    world.request_registrations()
    world.reply(make_page(100, make_row("a", 90), odd, make_row("p", 90)))
    read = world.take()
    assert isinstance(read, RegistrationsRead)
    assert list(read.registrations) == ["a", "p"]
    (refused,) = read.refused
    assert refused.server_id.isascii()
    assert refused.server_id.isprintable()
    assert len(refused.server_id) <= 200
    assert 0 < len(refused.reason) < 200


@pytest.mark.parametrize("odd", ODD_ROWS, ids=range(len(ODD_ROWS)))
def test_odd_row_at_the_end_of_a_page_does_not_end_the_reading(world, odd):
    """Guards against a next page that can't be asked for."""
    world.request_registrations()
    world.reply(make_page(100, make_row("a", 90), odd, has_more=True))
    world.reply(make_page(100, make_row("p", 90)))
    read = world.take()
    assert isinstance(read, RegistrationsRead)
    assert list(read.registrations) == ["a", "p"]


@pytest.mark.parametrize("version", [-1, 2**63, 1e300, float("inf"), "100", None, True])
def test_page_with_an_odd_version_is_refused(world, version):
    """
    Guards against a version so high that every later page looks old.

    An infinite one also raised an error that left the call unanswered.
    """
    world.request_registrations()
    world.reply(make_page(version, make_row("a", 90)))
    assert isinstance(world.take(), StoreUnavailable)
    world.request_registrations()
    world.reply(make_page(100, make_row("a", 90)))
    assert isinstance(world.take(), RegistrationsRead)


@pytest.mark.parametrize("row", [{"value": 7}, {"value": None}, {"ver": "x"}])
def test_unreadable_configuration_is_refused(world, row):
    """Guards against a process that fails on an odd row, or applies none."""
    world.request_configuration()
    world.reply(make_page(100, make_odd_row(table="op", key="config", **row)))
    assert isinstance(world.take(), StoreUnavailable)


@pytest.mark.parametrize(
    ("key", "address"),
    [
        ("i" * 201, "10.0.0.1:80"),
        ("i\ud800", "10.0.0.1:80"),
        ("i-1", "10.0.0.1:65536"),
        ("i-1", "example:80"),
    ],
)
def test_odd_instance_record_names_no_instance(world, key, address):
    """Guards against an address that no datagram can be sent to."""
    world.kernel.send("store", InstanceRecordsRequested("catalog", 3))
    run_ticks(world.kernel, 3)
    value = encode_value(address.encode())
    sound = encode_value(b"10.0.0.2:80")
    world.reply(
        make_page(
            100,
            make_odd_row(table="instances", key="a", value=sound),
            make_odd_row(table="instances", key=key, value=value),
        )
    )
    assert dict(world.take().members) == {"a": ("10.0.0.2", 80)}


def test_keys_of_teams_leave_the_store_client_as_digests(world):
    """Guards against keys in the document that instances keep and relay."""
    document = {"tenants": [{"name": "red", "api-keys": ["marked-key"]}]}
    value = b64encode(json.dumps(document).encode()).decode()
    world.request_configuration()
    row = make_row("config", 90, table="op") | {"value": value}
    world.reply(make_page(100, row))
    read = world.take()
    assert b"key-digests" in read.document
    assert b"marked-key" not in read.document


def make_evacuation_rows(*names):
    return [make_row(f"evacuate/{name}", 95, table="op") for name in names]


def test_evacuated_domains_are_read_with_the_configuration():
    """Guards against another charged call, and against a missed row."""
    world = StoreWorld(has_evacuations=True)
    world.request_configuration()
    (call,) = world.http_client.received
    assert b"from=config&to=evacuate0&" in call.target
    config = make_row("config", 90, table="op")
    between = make_row("config-old", 91, table="op") | {"value": 7}
    # The second page begins within the rows of evacuations.
    world.reply(
        make_page(100, config, between, *make_evacuation_rows("", "a"), has_more=1)
    )
    malformed = make_evacuation_rows("b")[0] | {"value": "?", "ver": -1}
    unusable = make_evacuation_rows("c" * 201, "\ud800")
    world.reply(make_page(104, malformed, *unusable))
    read = world.take()
    assert read.document
    assert read.evacuation == (StoreVersion(0, 100), {"a", "b"})


def test_evacuation_holds_without_a_usable_configuration():
    """Guards against a malformed configuration that hides an evacuation."""
    world = StoreWorld(has_evacuations=True)
    world.request_configuration()
    config = make_row("config", 90, table="op") | {"value": 7}
    world.reply(make_page(100, config, *make_evacuation_rows("a")))
    read, unavailable = world.requester.received
    assert (read.document, read.evacuation.domains) == (b"", {"a"})
    assert isinstance(unavailable, StoreUnavailable)


def test_deployment_without_evacuations_reads_only_the_configuration(world):
    """Guards against rows that are read and charged for nothing."""
    world.request_configuration()
    (call,) = world.http_client.received
    assert b"from=config&to=config%00&" in call.target
    world.reply(make_page(100, make_row("config", 90, table="op")))
    assert world.take().evacuation is None
