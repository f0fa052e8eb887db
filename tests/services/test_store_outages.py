"""Tests of what the catalog concludes about outages of the store."""

import pytest

from cuminhatch.codecs.catalog_thrift import CatalogMember, CatalogNews, ReadReport
from cuminhatch.decisions.catalog import EXPIRY_GRACE_MS, CatalogChange
from cuminhatch.decisions.reader_selection import READ_INTERVAL_MS, should_yield
from cuminhatch.messages import EventRecorded
from cuminhatch.services.catalog._pulls import on_news
from tests.services.test_catalog import Harness, at, configuration_at, make_rows

OWN_ID = "front-1"
OTHERS = tuple(CatalogMember(f"front-{n}", "127.0.0.1", n) for n in range(2, 30))
# Instances that come before and after this one in the order of readers.
EARLIER = next(m for m in OTHERS if should_yield(OWN_ID, m.instance_id))
LATER = next(m for m in OTHERS if not should_yield(OWN_ID, m.instance_id))
LONG_MS = 60_000


@pytest.fixture
def harness():
    """Return an instance that has read the store for some seconds."""
    harness = Harness()
    harness.store.set_rows(make_rows("a", "b"))
    harness.advance(5_000.0)
    return harness


def receive_reads(harness, sender, age_ms, span_ms):
    """Receive a message that tells of reads, without a change."""
    version = harness.store.version
    change = CatalogChange(at(version), at(version), (), ())
    reads = ReadReport(age_ms, span_ms)
    news = CatalogNews(sender, change, configuration_at(1), False, 2, reads)
    on_news(harness.view, news)
    harness.run()


def cut_off(harness, duration_ms, reader=None):
    """Keep the instance from the store, and perhaps from another reader."""
    rows, harness.store.rows = harness.store.rows, None
    while duration_ms > 0.0:
        harness.advance(READ_INTERVAL_MS)
        duration_ms -= READ_INTERVAL_MS
        if reader is not None:
            receive_reads(harness, reader, 0, LONG_MS)
    harness.store.rows = rows


def list_servers(harness):
    return sorted(harness.configuration.servers)


def list_events(harness):
    events = [e for e in harness.received("event_log") if type(e) is EventRecorded]
    names = [event.name for event in events]
    return [name for name in names if name.startswith("store_outage")]


@pytest.mark.parametrize("reader", [EARLIER, LATER], ids=["earlier", "later"])
@pytest.mark.parametrize("duration_ms", [1_500.0, 3_000.0])
def test_cut_of_one_instance_is_no_outage_of_the_store(harness, reader, duration_ms):
    """Guards against servers in use that left after a cut of the reader."""
    cut_off(harness, duration_ms, reader)
    # It reads again: the other one has stopped.
    harness.advance(2_000.0)
    harness.store.set_rows(make_rows("a"))
    harness.advance(READ_INTERVAL_MS + 100.0)
    assert list_servers(harness) == ["a"]
    assert list_events(harness) == []


def test_old_failure_is_no_outage_of_the_store(harness):
    """Guards against an outage assumed for a read that failed long ago."""
    cut_off(harness, 500.0, EARLIER)
    for _ in range(20):
        harness.advance(READ_INTERVAL_MS)
        receive_reads(harness, EARLIER, 0, LONG_MS)
    harness.store.set_rows(make_rows("a"))
    harness.advance(2_000.0)
    assert list_servers(harness) == ["a"]
    assert list_events(harness) == []


@pytest.mark.parametrize("duration_ms", [2_000.0, 4_000.0])
def test_instance_cut_off_from_all_is_told_of_reads_in_its_gap(harness, duration_ms):
    """Guards against an outage assumed by the only one that did not read."""
    cut_off(harness, duration_ms)
    harness.store.set_rows(make_rows("a"))
    harness.advance(1_200.0)
    assert list_events(harness) == ["store_outage_assumed"]
    assert list_servers(harness) == ["a", "b"]
    receive_reads(harness, LATER, 100, LONG_MS)
    harness.advance(READ_INTERVAL_MS + 100.0)
    assert list_events(harness) == ["store_outage_assumed", "store_outage_refuted"]
    assert list_servers(harness) == ["a"]


def test_reads_before_an_outage_do_not_refute_it(harness):
    """Guards against servers dropped that expired while the store was down."""
    cut_off(harness, 4_000.0)
    harness.store.set_rows(make_rows("a"))
    harness.advance(1_200.0)
    receive_reads(harness, LATER, 5_000, LONG_MS)
    harness.advance(READ_INTERVAL_MS)
    assert list_events(harness) == ["store_outage_assumed"]
    assert list_servers(harness) == ["a", "b"]


def test_reader_that_knows_a_shorter_span_is_answered(harness):
    """Guards against a reader that is not told that the store was up."""
    harness.sent.clear()
    receive_reads(harness, EARLIER, 0, 0)
    told = [m for m in harness.sent if isinstance(m, CatalogNews)]
    assert len(told) == 1
    assert told[0].reads.latest_age_ms <= READ_INTERVAL_MS
    assert told[0].reads.span_ms >= 4_000
    assert told[0].change.version < harness.view.catalog.version, "no later read"
    harness.sent.clear()
    receive_reads(harness, EARLIER, 0, LONG_MS)
    assert not harness.sent


def test_grace_period_goes_on_if_another_instance_takes_over(harness):
    """Guards against servers dropped by the second reader after an outage."""
    cut_off(harness, 4_000.0)
    receive_reads(harness, LATER, 0, 0)
    harness.store.set_rows(make_rows("a"))
    harness.advance(2_000.0)
    assert list_servers(harness) == ["a", "b"]
    harness.advance(EXPIRY_GRACE_MS - 2_000.0 + READ_INTERVAL_MS)
    assert list_servers(harness) == ["a"]


def test_reads_told_a_little_later_do_not_refute_an_outage(harness):
    """Guards against a grace period that ends by the delays of messages."""
    cut_off(harness, 4_000.0)
    receive_reads(harness, LATER, 0, 0)
    harness.advance(READ_INTERVAL_MS)
    receive_reads(harness, LATER, 0, int(READ_INTERVAL_MS) + 20)
    assert list_events(harness) == ["store_outage_assumed"]
    receive_reads(harness, LATER, 0, LONG_MS)
    assert list_events(harness) == ["store_outage_assumed", "store_outage_refuted"]


def test_instance_that_starts_in_an_outage_keeps_servers_after_it():
    """Guards against servers dropped that expire soon after an outage."""
    harness = Harness(is_store_down=True)
    harness.advance(3_000.0)
    harness.store.set_rows(make_rows("a", "b"))
    harness.advance(1_200.0)
    harness.store.set_rows(make_rows("a"))
    harness.advance(READ_INTERVAL_MS + 100.0)
    assert list_servers(harness) == ["a", "b"]
    # An instance that has read all the while tells of it.
    receive_reads(harness, LATER, 100, LONG_MS)
    harness.advance(READ_INTERVAL_MS + 100.0)
    assert list_servers(harness) == ["a"]


def test_message_without_reads_counts_as_one_read(harness):
    """Guards against outages assumed beside an earlier version."""
    rows, harness.store.rows = harness.store.rows, None
    for _ in range(6):
        harness.advance(READ_INTERVAL_MS)
        harness.receive_news(harness.store.version)
    harness.store.rows = rows
    harness.store.set_rows(make_rows("a"))
    harness.advance(2_000.0)
    assert list_servers(harness) == ["a"]
    assert list_events(harness) == []
