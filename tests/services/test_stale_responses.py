"""
Backend servers that write earlier responses again, over real connections.

The services that handle requests run with the real ``backends``; the server is
a listening socket that the test writes to byte by byte.
"""

import pytest

from cuminhatch.messages import ResponseAborted, ResponseStarted
from cuminhatch.outcomes import Outcome
from cuminhatch.services.forwarding._responses import RESPONSE_BUFFER_MAX_BYTES
from tests.services._loopback import run_until
from tests.services.front_ends import Daemon, Gateway, is_not_run


@pytest.fixture(params=[Gateway, Daemon])
def front_end(request):
    front_end = request.param()
    yield front_end
    front_end.close()


@pytest.fixture
def daemon():
    daemon = Daemon()
    yield daemon
    daemon.close()


@pytest.fixture
def gateway():
    gateway = Gateway()
    yield gateway
    gateway.close()


def finish_on_new_connection(front_end, body):
    """Answer the request that was sent again on a new connection."""
    peer = front_end.accept()
    peer.send(front_end.success(front_end.receive(peer), body))
    return front_end.take_final()


@pytest.mark.parametrize("repeated", ["success", "refusal"])
def test_repetition_on_an_idle_connection_closes_it(front_end, repeated):
    """Guards against the use of a connection that holds unread bytes."""
    peer, first_id = front_end.serve_first(front_end.success)
    peer.send(getattr(front_end, repeated)(first_id))
    front_end.request("read")
    final = finish_on_new_connection(front_end, b"second")
    assert final.data == b"second"
    peer.run_until(lambda: peer.is_closed)


@pytest.mark.parametrize("has_id", [True, False])
@pytest.mark.parametrize("repeated", ["success", "refusal"])
@pytest.mark.parametrize("is_answer_behind", [False, True])
def test_repetition_is_not_taken_for_the_next_response(
    front_end, repeated, has_id, is_answer_behind
):
    """Guards against a response or a not-run of another request."""
    peer, first_id = front_end.serve_first(front_end.success)
    front_end.request("read")
    second_id = front_end.receive(peer)
    assert second_id != first_id
    data = getattr(front_end, repeated)(first_id if has_id else None)
    if is_answer_behind:
        data += front_end.success(second_id, b"second")
    peer.send(data)
    final = finish_on_new_connection(front_end, b"sent again")
    assert final.data == b"sent again"
    peer.run_until(lambda: peer.is_closed)


def test_response_with_two_ids_belongs_to_no_request(front_end):
    """Guards against a response that names its own and another request."""
    peer, first_id = front_end.serve_first(front_end.success)
    front_end.request("read")
    second_id = front_end.receive(peer)
    other = front_end.id_header + b": " + first_id
    peer.send(
        front_end.response(second_id, b"", 503, (other, front_end.refusal_header))
    )
    assert finish_on_new_connection(front_end, b"third").data == b"third"


def test_interim_response_before_the_own_one_is_skipped(front_end):
    """Guards against an interim response that ends or replaces a request."""
    peer, _ = front_end.serve_first(front_end.success)
    front_end.request("read")
    second_id = front_end.receive(peer)
    peer.send(b"HTTP/1.1 103 Early\r\nx: y\r\n\r\n")
    peer.send(front_end.success(second_id, b"second"))
    assert front_end.take_final().data == b"second"


def test_write_is_unknown_after_the_refusal_of_an_earlier_request(daemon):
    """Guards against a not-run of a write that is running (REFUSED)."""
    peer, first_id = daemon.serve_first(daemon.success)
    daemon.request("write")
    assert daemon.receive(peer) != first_id
    peer.send(daemon.refusal(first_id))
    final = daemon.take_final()
    assert not is_not_run(final)
    assert final.outcome is Outcome.UNKNOWN
    assert not daemon.has_new_connection()


@pytest.mark.parametrize("given_id", [b"999", None])
def test_write_is_not_sent_again_after_a_refusal_of_another_request(gateway, given_id):
    """Guards against a second run of a write (TWICE), and a false not-run."""
    gateway.request("write")
    peer = gateway.accept()
    own_id = gateway.receive(peer)
    answer = gateway.refusal(own_id) + gateway.success(own_id)
    peer.send(gateway.refusal(given_id) if given_id else answer)
    assert not is_not_run(gateway.take_final())
    assert not gateway.has_new_connection()


@pytest.mark.parametrize("status", [503, 421])
def test_own_refusal_is_believed(gateway, status):
    """Guards against callers that are told less than the server said."""
    gateway.request("write")
    for _ in range(2):
        peer = gateway.accept()
        given_id = gateway.receive(peer)
        peer.send(gateway.response(given_id, b"", status, (gateway.refusal_header,)))
    assert is_not_run(gateway.take_final())


def test_connection_of_a_server_that_returns_no_ids_is_not_reused(daemon):
    """Guards against repetitions that nothing tells apart."""
    peer, _ = daemon.serve_first(lambda given_id: daemon.success(None))
    daemon.request("read")
    assert finish_on_new_connection(daemon, b"second").data == b"second"


def without_length(data):
    """Return a response whose body ends with the connection."""
    head, _, body = data.partition(b"\r\n\r\n")
    lines = [x for x in head.split(b"\r\n") if not x.startswith(b"content-length")]
    return b"\r\n".join([*lines, b"", body])


def begin_read(front_end):
    """Send a read and return its connection and the id that it carries."""
    front_end.request("read")
    peer = front_end.accept()
    return peer, front_end.receive(peer)


@pytest.mark.parametrize("copied_id", [None, b"999"])
def test_copy_behind_a_response_without_length_is_no_body(front_end, copied_id):
    """Guards against a body with a second response in it (MIXED)."""
    peer, own_id = begin_read(front_end)
    first = without_length(front_end.success(own_id, b"first"))
    peer.send(first + front_end.success(copied_id or own_id))
    peer.sock.close()
    assert finish_on_new_connection(front_end, b"sent again").data == b"sent again"


@pytest.mark.parametrize("left_out", [1, 10, 20])
def test_cut_copy_behind_a_response_without_length_is_no_body(gateway, left_out):
    """Guards against the begin of a second response in a body (MIXED)."""
    peer, own_id = begin_read(gateway)
    first = without_length(gateway.success(own_id, b"first"))
    peer.send(first + gateway.success(own_id, b"")[:-left_out])
    peer.sock.close()
    assert finish_on_new_connection(gateway, b"sent again").data == b"sent again"


def test_cut_copy_behind_a_forwarded_response_aborts_it(daemon):
    """Guards against the begin of a second response in a body (MIXED)."""
    peer, own_id = begin_read(daemon)
    first = without_length(daemon.success(own_id, b"first"))
    peer.send(first + daemon.success(None, b"")[:-1])
    peer.sock.close()
    received = daemon.world.received["callers"]
    run_until(daemon.kernel, lambda: ResponseAborted in map(type, received))
    assert not any(getattr(message, "is_complete", False) for message in received)


def test_copy_does_not_fill_the_rest_of_a_response(front_end):
    """Guards against a body that stops and goes on with a copy (MIXED)."""
    peer, own_id = begin_read(front_end)
    whole = front_end.success(own_id, b"x" * 300)
    peer.send(whole[:-200] + whole)
    assert finish_on_new_connection(front_end, b"sent again").data == b"sent again"
    peer.run_until(lambda: peer.is_closed)


def test_begin_of_a_copy_does_not_fill_the_rest_of_a_response(front_end):
    """Guards against a copy whose id lies behind the end of a body (MIXED)."""
    peer, own_id = begin_read(front_end)
    whole = front_end.success(own_id, b"x" * 300)
    peer.send(whole[:-25] + whole)
    assert finish_on_new_connection(front_end, b"sent again").data == b"sent again"
    peer.run_until(lambda: peer.is_closed)


def break_off(front_end, missing_bytes):
    """Begin a read, and let its response break off before the given bytes."""
    peer, own_id = begin_read(front_end)
    whole = front_end.success(own_id, b"x" * 300)
    peer.send(whole[:-missing_bytes])
    for _ in range(5):
        front_end.kernel.tick(0)
    return peer


def make_other_response(front_end, shape):
    """Return an earlier response to another request."""
    other = front_end.success(b"999", b"y" * 300)
    return without_length(other) if shape == "until end" else other


# The response of the other request ends within the first bytes that are
# missing, in its status line, its head or its body.
@pytest.mark.parametrize("missing_bytes", [3, 12, 30, 45, 200])
@pytest.mark.parametrize("shape", ["length", "until end"])
def test_later_response_of_another_request_is_no_body(gateway, shape, missing_bytes):
    """Guards against a body that goes on with another caller's (MIXED)."""
    peer = break_off(gateway, missing_bytes)
    peer.send(make_other_response(gateway, shape))
    assert finish_on_new_connection(gateway, b"sent again").data == b"sent again"
    peer.run_until(lambda: peer.is_closed)


@pytest.mark.parametrize("missing_bytes", [3, 12, 30, 45, 200])
@pytest.mark.parametrize("shape", ["length", "until end"])
def test_later_response_of_another_request_aborts_a_forwarded_one(
    daemon, shape, missing_bytes
):
    """Guards against a response that looks whole with another in it."""
    peer = break_off(daemon, missing_bytes)
    peer.send(make_other_response(daemon, shape))
    received = daemon.world.received["callers"]
    run_until(daemon.kernel, lambda: ResponseAborted in map(type, received))
    assert not any(getattr(message, "is_complete", False) for message in received)
    peer.run_until(lambda: peer.is_closed)


@pytest.mark.parametrize("step", [1, 7, 100])
def test_later_response_of_another_request_in_pieces_is_no_body(gateway, step):
    """Guards against a body whose end meets the end of a part read (MIXED)."""
    peer = break_off(gateway, 200)
    peer.send(make_other_response(gateway, "length"), step=step)
    assert finish_on_new_connection(gateway, b"sent again").data == b"sent again"
    peer.run_until(lambda: peer.is_closed)


def test_write_that_breaks_off_before_another_response_is_unknown(gateway):
    """Guards against a second run, or a not-run, of a write that ran."""
    gateway.request("write")
    peer = gateway.accept()
    peer.send(gateway.success(gateway.receive(peer), b"x" * 300)[:-200])
    for _ in range(5):
        gateway.kernel.tick(0)
    peer.send(make_other_response(gateway, "length"))
    final = gateway.take_final()
    assert final.outcome is Outcome.UNKNOWN
    assert not is_not_run(final)
    assert not gateway.has_new_connection()


@pytest.mark.parametrize("shape", ["length", "until end"])
def test_streamed_response_with_another_response_in_it_is_aborted(front_end, shape):
    """Guards against a long response that ends with another caller's."""
    peer, own_id = begin_read(front_end)
    whole = front_end.success(own_id, b"x" * (RESPONSE_BUFFER_MAX_BYTES + 1000))
    received = front_end.world.received["callers"]
    peer.send(whole[:-200])
    run_until(front_end.kernel, lambda: ResponseStarted in map(type, received))
    peer.send(make_other_response(front_end, shape))
    run_until(front_end.kernel, lambda: ResponseAborted in map(type, received))
    assert not any(getattr(message, "is_complete", False) for message in received)
    peer.run_until(lambda: peer.is_closed)


def test_whole_response_before_another_one_is_returned(front_end):
    """Guards against a whole body that is rejected for what follows it."""
    peer, own_id = begin_read(front_end)
    # It ends like the begin of a status line.
    body = b"x" * 100 + b"HTTP/1."
    peer.send(
        front_end.success(own_id, body) + make_other_response(front_end, "length")
    )
    assert front_end.take_final().data == body


@pytest.mark.parametrize("step", [1, 7])
@pytest.mark.parametrize("has_length", [True, False])
def test_copy_in_pieces_is_no_body(gateway, has_length, step):
    """Guards against a copy that is missed at the ends of the parts read."""
    peer, own_id = begin_read(gateway)
    whole = gateway.success(own_id, b"x" * 300)
    first = whole[:-200] if has_length else without_length(whole)
    peer.send(first + whole, step=step)
    assert finish_on_new_connection(gateway, b"sent again").data == b"sent again"
    peer.run_until(lambda: peer.is_closed)


@pytest.mark.parametrize("has_length", [True, False])
def test_streamed_response_with_a_copy_in_it_is_aborted(front_end, has_length):
    """Guards against a long response that looks complete with a copy in it."""
    peer, own_id = begin_read(front_end)
    whole = front_end.success(own_id, b"x" * (RESPONSE_BUFFER_MAX_BYTES + 1000))
    first = whole[:-900] if has_length else without_length(whole)
    received = front_end.world.received["callers"]
    peer.send(first)
    run_until(front_end.kernel, lambda: ResponseStarted in map(type, received))
    peer.send(front_end.success(own_id, b"y" * 2000), step=50)
    run_until(front_end.kernel, lambda: ResponseAborted in map(type, received))
    assert not any(getattr(message, "is_complete", False) for message in received)
    peer.run_until(lambda: peer.is_closed)


def test_body_about_responses_is_returned(front_end):
    """Guards against whole responses that are rejected."""
    peer, own_id = begin_read(front_end)
    body = front_end.success(b"999") + b"id " + own_id + b" HTTP/1.1 200 OK"
    peer.send(front_end.success(own_id, body))
    assert front_end.take_final().data == body


def test_write_with_a_copy_in_its_body_is_not_sent_again(gateway):
    """Guards against a second run (TWICE) and a body with a copy (MIXED)."""
    gateway.request("write")
    peer = gateway.accept()
    copy = gateway.success(gateway.receive(peer))
    peer.send(without_length(copy) + copy)
    peer.sock.close()
    final = gateway.take_final()
    assert final.outcome is Outcome.UNKNOWN
    assert not gateway.has_new_connection()


def test_refusal_without_length_before_a_success_proves_nothing(gateway):
    """Guards against a not-run of a request that the same server answers."""
    gateway.request("write")
    peer = gateway.accept()
    own_id = gateway.receive(peer)
    peer.send(without_length(gateway.refusal(own_id)) + gateway.success(own_id))
    assert not is_not_run(gateway.take_final())
    assert not gateway.has_new_connection()


@pytest.mark.parametrize("size", [1, 20, 50])
def test_copy_that_begins_on_an_idle_connection_closes_it(front_end, size):
    """Guards against the rest of a copy taken for the next response."""
    peer, first_id = front_end.serve_first(front_end.success)
    copy = front_end.success(first_id)
    # Not read before the next request is placed.
    peer.sock.send(copy[:size])
    front_end.request("read")
    peer.send(copy[size:])
    assert finish_on_new_connection(front_end, b"second").data == b"second"
    peer.run_until(lambda: peer.is_closed)


@pytest.mark.parametrize("step", [1, 30])
def test_copy_in_pieces_is_not_taken_for_the_next_response(front_end, step):
    """Guards against a late copy whose head arrives in parts (MIXED)."""
    peer, first_id = front_end.serve_first(front_end.success)
    front_end.request("read")
    front_end.receive(peer)
    peer.send(front_end.success(first_id), step=step)
    assert finish_on_new_connection(front_end, b"second").data == b"second"
    peer.run_until(lambda: peer.is_closed)


@pytest.mark.parametrize("is_first_in_time", [True, False])
def test_connection_used_again_before_a_rejection(gateway, is_first_in_time):
    """
    Guards against a response that meets the next request of its connection.

    A copy completes the second request, whose connection is idle until the
    copy is rejected; the third request may get it meanwhile.
    """
    peer, first_id = gateway.serve_first(gateway.success)
    gateway.request("read")
    second_id = gateway.receive(peer)
    peer.sock.send(gateway.success(first_id, b"copy"))
    if is_first_in_time:
        gateway.kernel.tick(0)
    gateway.request("read")
    peer.send(gateway.success(second_id, second_id))
    received = gateway.world.received["callers"]
    for _ in range(2):
        if sum(type(m) is ResponseStarted for m in received) < 2:
            other = gateway.accept()
            own_id = gateway.receive(other)
            other.send(gateway.success(own_id, own_id))
    run_until(
        gateway.kernel,
        lambda: sum(type(m) is ResponseStarted for m in received) == 2,
    )
    for message in received:
        assert message.data == b"%d" % message.request_id
