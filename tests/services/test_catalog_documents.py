"""Tests of documents and entries that the catalog service can't use."""

import json

import pytest

from cuminhatch.codecs.catalog_thrift import CatalogState
from cuminhatch.decisions.credentials import digest_credential
from cuminhatch.messages import GaugesReported, GaugesRequested
from cuminhatch.platform.documents import (
    decode_configuration,
    redact_configuration,
)
from cuminhatch.services.catalog import _refused_documents
from tests.services.test_catalog import Harness, configuration_at
from tests.support import Recorder

KEY = "uakn2ftimaj3nr26tta8"
SERVICE = {"name": "s", "health-path": "/health", "max-conns": 200}
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 1_000_000,
    "header-timeout-ms": 3_000,
    "idle-timeout-ms": 15_000,
}


def make_document(version, **fields):
    """Return the operator's document as it is stored."""
    document = {
        "version": f"r{version}",
        "routes": [],
        "services": [SERVICE],
        "limits": LIMITS,
        "tenants": [{"name": "red", "api-keys": [KEY]}],
    }
    return json.dumps(document | fields).encode()


@pytest.fixture
def harness():
    harness = Harness()
    harness.view.decode_configuration = decode_configuration
    harness.view.redact_configuration = redact_configuration
    yield harness
    harness.kernel.close()


@pytest.fixture
def warnings(monkeypatch):
    """Return the texts of warnings, formatted."""
    texts = []

    class Log:
        def warning(self, text, *values):
            texts.append(text.format(*values))

    monkeypatch.setattr(_refused_documents, "logger", Log())
    return texts


def read(harness, document):
    """Have the document read from the store, as its client returns it."""
    harness.store.document = redact_configuration(document)
    harness.advance(2_000.0)


def pull_document(harness, document, version, era=1):
    """Announce a version, and reply to the pulls that follow."""
    requests = harness.received("http_client")
    requests.clear()
    harness.receive_news(11, configuration=version, era=era)
    pulls = 0
    while requests and pulls < 10:
        state = CatalogState(None, False, configuration_at(version, era), document)
        pulls += 1
        harness.reply(requests.pop(), state)
    return pulls


def list_refused(harness):
    return [
        event.details
        for event in harness.received("event_log")
        if event.name == "configuration_entry_refused"
    ]


def test_refused_entry_is_recorded_once_for_each_version(harness):
    """Guards against disabled entries that operators don't hear of."""
    teams = [{"name": "red", "api-keys": [KEY], "burst": "much"}]
    read(harness, make_document(2, tenants=teams, routes=[{"name": "r-1"}]))
    refused = list_refused(harness)
    assert [(e["version"], e["kind"], e["name"]) for e in refused] == [
        (2, "rule", "r-1"),
        (2, "team", "red"),
    ]
    assert refused[1]["reason"] == "burst: expected a number"
    harness.store.era = 2
    read(harness, make_document(2, tenants=teams, routes=[{"name": "r-1"}], x=1))
    assert harness.view.document_era == 2
    assert len(list_refused(harness)) == 2
    read(harness, make_document(3, tenants=teams))
    assert [e["version"] for e in list_refused(harness)] == [2, 2, 3]


def test_refused_entries_are_counted(harness):
    """Guards against a gauge that misses the entries in force."""
    reports = harness.kernel.register(
        Recorder(harness.kernel, "metrics", GaugesReported)
    )
    for version, fields in ((2, {"routes": [{"name": "r-1"}]}), (3, {})):
        read(harness, make_document(version, **fields))
        harness.kernel.send("catalog", GaugesRequested("metrics", 1))
        harness.run()
    counts = [
        gauge.value
        for report in reports.received
        for gauge in report.gauges
        if gauge.name == "configuration_entries_refused"
    ]
    assert counts == [1, 0]


def test_unreadable_document_is_logged_once(harness, warnings):
    """Guards against a warning for each of many reads, and a fallback."""
    read(harness, make_document(2))
    for document in (b"{", b"{", make_document(3, routes=7), b"{"):
        read(harness, document)
        assert harness.configuration.sequence == 2
    assert len(warnings) == 2
    assert not any(KEY in text for text in warnings)
    read(harness, make_document(3))
    assert harness.configuration.sequence == 3


def test_document_of_an_earlier_release_is_redacted(harness):
    """
    Guards against keys that are kept, and pulls that go on without end.

    Instances of the release before relay the document as it is stored.
    """
    read(harness, make_document(2))
    assert pull_document(harness, make_document(3), 3) == 1
    assert KEY.encode() not in harness.view.document_bytes
    assert KEY.encode() not in harness.pull().configuration
    digests = harness.configuration.team_ids_by_key
    assert digests == {digest_credential(KEY.encode()): "red"}
    # The same document in a later era, and read by this instance itself.
    assert pull_document(harness, make_document(3), 3, era=2) == 1
    harness.store.era = 2
    read(harness, make_document(3))
    assert harness.view.configuration_version == configuration_at(3, 2)
    assert pull_document(harness, make_document(3), 3, era=2) == 0
    assert harness.pull(configuration=3, era=2).configuration == b""


def test_older_set_of_keys_never_comes_back(harness):
    """Guards against a key in use again after it was removed."""
    read(harness, make_document(4, tenants=[{"name": "red", "api-keys": ["new"]}]))
    keys = harness.configuration.team_ids_by_key
    read(harness, make_document(3))
    pull_document(harness, make_document(3), 3)
    harness.store.era = 2
    read(harness, make_document(3))
    assert pull_document(harness, make_document(3), 3, era=2) == 0
    assert harness.configuration.team_ids_by_key == keys
    assert harness.view.configuration_version.number == 4


def test_unreadable_document_of_a_peer_is_not_pulled_again(harness):
    """Guards against pulls without end of a version that can't be read."""
    read(harness, make_document(2))
    unreadable = make_document(3, tenants=7)
    assert pull_document(harness, unreadable, 3) == 1
    assert pull_document(harness, unreadable, 3) == 0
    assert pull_document(harness, make_document(4), 4) == 1
    assert harness.configuration.sequence == 4
