"""Instances that were paused while their requests ran on."""

import pytest

from cuminhatch.messages import ResponseStarted
from tests.services.front_ends import Daemon, Gateway

# Longer than the timeout of a request.
PAUSE_MS = 60_000.0


@pytest.fixture(params=[Gateway, Daemon])
def front_end(request):
    front_end = request.param()
    yield front_end
    front_end.close()


@pytest.mark.parametrize("kind", ["read", "write"])
def test_response_that_arrived_during_a_pause_is_delivered(front_end, kind):
    """Guards against work given up, or started again, after a pause."""
    front_end.request(kind)
    peer = front_end.accept()
    given_id = front_end.receive(peer)
    peer.sock.sendall(front_end.success(given_id, b"own"))
    front_end.kernel.clock.advance(PAUSE_MS)
    final = front_end.take_final()
    assert isinstance(final, ResponseStarted)
    assert final.data == b"own"
    assert not front_end.has_new_connection()
