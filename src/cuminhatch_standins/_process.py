"""What the stand-in programs share: flags, port, faults, answers."""

from collections.abc import Callable
from typing import Any

import orjson
from absl import app, flags

from cuminhatch.codecs.http1 import Header, RequestHead, ResponseHead
from cuminhatch.kernel import Kernel, Service
from cuminhatch.messages import Address, RequestReceived, ResponseStarted
from cuminhatch.services.http_listener import PHRASES, HttpListener

LISTENER = "callers"

flags.DEFINE_string("host", "127.0.0.1", "IP address to listen on.")
flags.DEFINE_integer("port", 0, "TCP port to listen on.")


def json_answer(
    request: RequestReceived,
    status: int,
    value: Any,
    headers: tuple[Header, ...] = (),
) -> ResponseStarted:
    """
    Build a complete answer with a JSON body.

    :param request: request to answer.
    :param status: HTTP status.
    :param value: JSON-serializable value.
    :param headers: further headers.
    """
    return bytes_answer(
        request,
        status,
        orjson.dumps(value),
        (Header(b"content-type", b"application/json"), *headers),
    )


def bytes_answer(
    request: RequestReceived,
    status: int,
    body: bytes,
    headers: tuple[Header, ...] = (),
) -> ResponseStarted:
    """
    Build a complete answer.

    :param request: request to answer.
    :param status: HTTP status.
    :param body: body of the answer.
    :param headers: further headers.
    """
    head = ResponseHead(status, PHRASES[status], headers)
    return ResponseStarted(request.request_id, head, len(body), body, True)


def path_of(head: RequestHead) -> str:
    """
    Return the path of a request without its query.

    :param head: head of the request.
    """
    return head.target.partition(b"?")[0].decode("latin-1")


def run_standin(make_service: Callable[[Kernel], Service]) -> None:
    """
    Run a stand-in program until it is stopped.

    :param make_service: builds the service that answers requests.
    """

    def main(_: list[str]) -> None:
        kernel = Kernel()
        service = kernel.register(make_service(kernel))
        address = Address(flags.FLAGS.host, flags.FLAGS.port)
        kernel.register(HttpListener(kernel, address, service.name))
        kernel.open()
        kernel.run()

    app.run(main)
