"""
A backend server breaks an answer off and sends an earlier answer behind it.

Both travel on the same connection, a moment apart. The gateway must not hand
the caller a success whose body holds the bytes of another answer.
"""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from harness import (  # noqa: E402
    IS_TROUBLE,
    Client,
    Deployment,
    body_of,
    make_answer,
    make_configuration,
    make_request,
    make_route,
    run_case,
)

SERVERS = 4
# Half of the servers are faulty, and these spoil two answers in a hundred.
FAULTY = ("b0", "b1")
SPOILED_EVERY = 50
FIRST_SPOILED = 10
BODY_BYTES = 2_000
# Sent of the body before the answer breaks off.
SENT_SHARE = 0.75
PAUSE_S = 0.03
CLIENTS = 8
REQUESTS_PER_CLIENT = 100


class Spoiler:
    """The answers of all servers, and which of them are spoiled."""

    def __init__(self, record):
        self._record = record
        self._counts = {}
        self._earlier = {}
        self._lock = threading.Lock()

    def answer(self, backend, sock, request):
        """Answer a request; a spoiled answer ends early, another follows."""
        whole = make_answer(
            200,
            backend.headers_of(request),
            body_of(request.request_id, BODY_BYTES),
        )
        time.sleep(backend.work_s)
        server_id = backend.server_id
        with self._lock:
            count = self._counts[server_id] = self._counts.get(server_id, 0) + 1
            earlier_id, earlier = self._earlier.get(server_id, ("", b""))
            self._earlier[server_id] = request.request_id, whole
        is_due = count % SPOILED_EVERY == FIRST_SPOILED
        if not (IS_TROUBLE and is_due and server_id in FAULTY and earlier):
            sock.sendall(whole)
            return True
        self._record.add(
            f"{server_id}: breaks off its answer to {request.request_id} and"
            f" sends its answer to {earlier_id} behind it"
        )
        sock.sendall(whole[: len(whole) - int(BODY_BYTES * (1 - SENT_SHARE))])
        time.sleep(PAUSE_S)
        sock.sendall(earlier)
        return True


def send_requests(deployment, number, broken):
    """Send requests one after the other, as one client does."""
    client = None
    for index in range(REQUESTS_PER_CLIENT):
        request_id = f"c{number}-{index:010d}"
        if client is None:
            client = Client(deployment.gateways[number % 2])
        client.send(make_request("status", request_id))
        answer = client.read_answer()
        deployment.record.add(f"client: {request_id} gets {answer}")
        if answer.error:
            client.close()
            client = None
        elif answer.status == 200 and answer.body != body_of(request_id, BODY_BYTES):
            broken.append(
                f"MIXED: {request_id} got 200, seal"
                f" {answer.headers.get('response-seal')}, and in its body"
                f" {answer.body[int(BODY_BYTES * SENT_SHARE) :][:160]!r}"
            )


def play(record):
    """Play the case; return the breaks of the rule."""
    broken = []
    with Deployment(record) as deployment:
        spoiler = Spoiler(record)
        for number in range(SERVERS):
            deployment.add_backend(f"b{number}", "board", spoiler.answer)
        routes = [make_route("status", "safe", "board")]
        deployment.configure(make_configuration(1, routes, ["board"]))
        deployment.start()
        threads = [
            threading.Thread(
                target=send_requests, args=(deployment, n, broken), daemon=True
            )
            for n in range(CLIENTS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    return broken


if __name__ == "__main__":
    run_case(FOLDER, play)
