"""Tests of documents and entries that the catalog service can't use."""

import json

import pytest

from cuminhatch.codecs.catalog_thrift import CatalogState
from cuminhatch.decisions.credentials import digest_credential
from cuminhatch.platform.documents import (
    decode_configuration,
    redact_configuration,
)
from tests.services.test_catalog import Harness, configuration_at

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
