"""
A gateway behind a link of 5 Mbit/s is stopped, and closes idle connections.

The end of a connection waits in the link behind answers to other clients. A
request that its client sends meanwhile is read by the gateway and dropped.
"""

import random
import signal
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
    SlowLink,
    body_of,
    make_answer,
    make_configuration,
    make_request,
    make_route,
    run_case,
)

LINK_MBPS = 5.0
DELAY_S = 0.003
DOWNLOAD_BYTES = 146_000
DOWNLOADING = 4
KEPT = 60
PAUSE_S = (0.2, 1.0)
CALM_S = 4.0
GRACE_S = 6.0
LOSS_SLACK_S = 0.2


def send_download(backend, sock, request):
    """Answer with a long body."""
    body = body_of(request.request_id, DOWNLOAD_BYTES)
    sock.sendall(make_answer(200, backend.headers_of(request), body))
    return True


class Traffic:
    """Clients of one gateway, which reach it over its slow link."""

    def __init__(self, deployment, link):
        self._record = deployment.record
        self._link = link
        self._is_stopped = False
        # The gateway is not ready any more.
        self.is_stopping = False
        # Of each request without an answer: id, when sent, when ended.
        self.unanswered = []
        self.answered = 0
        names = [("map", n) for n in range(DOWNLOADING)]
        names += [("status", n) for n in range(KEPT)]
        self._threads = [
            threading.Thread(target=self._run, args=name, daemon=True) for name in names
        ]
        for thread in self._threads:
            thread.start()

    def _run(self, route, number):
        rng = random.Random(f"{route}-{number}")
        client = None
        index = 0
        while not self._is_stopped:
            if route == "status":
                time.sleep(rng.uniform(*PAUSE_S))
            if client is not None and client.is_ended:
                # Closed while idle; nothing was sent.
                client.close()
                client = None
            if client is None:
                if self.is_stopping:
                    # New connections go to other machines.
                    return
                client = Client(None, address=self._link.address)
            index += 1
            request_id = f"{route}-{number}-{index}"
            sent_s = time.monotonic()
            try:
                client.send(make_request(route, request_id, 4_000))
            except OSError:
                client.close()
                client = None
                continue
            answer = client.read_answer()
            ended_s = time.monotonic()
            self._record.add(
                f"client: {request_id} gets {answer} after {ended_s - sent_s:.3f} s"
            )
            if answer.error:
                self.unanswered.append((request_id, sent_s, ended_s, answer.error))
            else:
                self.answered += 1
            if answer.error or answer.headers.get("connection") == "close":
                client.close()
                client = None

    def stop(self):
        """End all clients."""
        self._is_stopped = True
        for thread in self._threads:
            thread.join(timeout=10.0)


def play(record):
    """Play the case; return the breaks of the rule."""
    with Deployment(record) as deployment:
        for number in range(3):
            deployment.add_backend(f"b{number}", "board")
            deployment.add_backend(f"m{number}", "maps", send_download)
        routes = [
            make_route("status", "safe", "board"),
            make_route("map", "download", "maps"),
        ]
        deployment.configure(make_configuration(1, routes, ["board", "maps"]))
        deployment.start()
        gateway = deployment.gateways[0]
        link = SlowLink(gateway.front, mbps=LINK_MBPS, delay_s=DELAY_S)
        traffic = Traffic(deployment, link)
        time.sleep(CALM_S)
        stopped_s = time.monotonic()
        if IS_TROUBLE:
            gateway.signal(signal.SIGTERM)
            record.add(f"{gateway.name}: SIGTERM")
            traffic.is_stopping = True
        time.sleep(GRACE_S + 0.5)
        traffic.stop()
        link.close()
        record.add(f"longest wait of a byte for the link: {link.longest_wait_s:.3f} s")
        record.add(f"answered: {traffic.answered}")
        return [
            f"LOST: {request_id} was sent {sent_s - stopped_s:.3f} s after SIGTERM, its"
            f" connection ended {ended_s - sent_s:.3f} s later: {error}; it ran at"
            f" {deployment.runs_of(request_id)}"
            for request_id, sent_s, ended_s, error in traffic.unanswered
            if sent_s >= stopped_s and ended_s - sent_s > LOSS_SLACK_S
        ]


if __name__ == "__main__":
    run_case(FOLDER, play)
