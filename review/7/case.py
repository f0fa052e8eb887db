"""
A gateway is stopped while a long download streams to a client.

The client has sent further safe requests behind the download. They have run
and their answers are complete, but the process ends without sending them.
"""

import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from harness import (  # noqa: E402
    IS_TROUBLE,
    CaseError,
    Client,
    Deployment,
    body_of,
    make_answer,
    make_configuration,
    make_request,
    make_route,
    run_case,
)

DOWNLOAD_BYTES = 400_000
# The server sends the download in this time, without a pause.
DOWNLOAD_S = 8.0
DOWNLOAD_PARTS = 80
# Deadline of the clients and timeout of the route of downloads.
DEADLINE_MS = 12_000
STOPPED_AFTER_S = 0.5
BEHIND = 4
GRACE_S = 6.0


def stream_download(backend, sock, request):
    """Send a long answer part by part."""
    body = body_of(request.request_id, DOWNLOAD_BYTES)
    whole = make_answer(200, backend.headers_of(request), body)
    size = len(whole) // DOWNLOAD_PARTS + 1
    for start in range(0, len(whole), size):
        sock.sendall(whole[start : start + size])
        time.sleep(DOWNLOAD_S / DOWNLOAD_PARTS)
    backend.record.add(f"{backend.server_id}: ends {request.request_id}")
    return True


def play(record):
    """Play the case; return the breaks of the rule."""
    with Deployment(record) as deployment:
        for number in range(2):
            deployment.add_backend(f"b{number}", "board")
            deployment.add_backend(f"m{number}", "maps", stream_download)
        routes = [
            make_route("status", "safe", "board"),
            make_route("map", "download", "maps", **{"timeout-ms": DEADLINE_MS}),
        ]
        deployment.configure(make_configuration(1, routes, ["board", "maps"]))
        deployment.start()
        gateway = deployment.gateways[0]
        client = Client(gateway)
        client.send(make_request("status", "first"))
        answer = client.read_answer()
        record.add(f"client: first gets {answer}")
        if answer.status != 200:
            raise CaseError("the first request was not served")
        behind = [f"behind-{number}" for number in range(BEHIND)]
        client.send(make_request("map", "download", DEADLINE_MS))
        for request_id in behind:
            client.send(make_request("status", request_id, DEADLINE_MS))
        time.sleep(STOPPED_AFTER_S)
        begun_s = time.monotonic()
        if IS_TROUBLE:
            gateway.signal(signal.SIGTERM)
            record.add(f"{gateway.name}: SIGTERM")
        download = client.read_answer()
        record.add(f"client: download gets {download}")
        broken = []
        for request_id in behind:
            answer = client.read_answer()
            after_s = time.monotonic() - begun_s
            record.add(f"client: {request_id} gets {answer} after {after_s:.2f} s")
            runs = deployment.runs_of(request_id)
            if runs and (answer.error or not answer.status):
                broken.append(
                    f"LOST: {request_id} has run at {', '.join(runs)}, and got {answer}"
                )
        if IS_TROUBLE:
            status = gateway.process.wait(GRACE_S)
            record.add(f"{gateway.name}: ended with {status}")
        return broken


if __name__ == "__main__":
    run_case(FOLDER, play)
