"""
A server leaves while a gateway is cut off from the store.

The server says in all its answers that it leaves. The gateway passes these
answers on, and goes on sending until the server ends with requests at work.
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
    make_configuration,
    make_request,
    make_route,
    run_case,
)

SERVERS = 8
CLIENTS = 16
WORK_S = 0.18
DRAIN_S = 2.0
CUT_S = 5.5
# The server leaves soon after the cut, and ends this long after the store has
# accepted its report.
LEAVES_AFTER_S = 0.3
ENDS_AFTER_S = 4.5
WARM_UP_S = 3.0


class Traffic:
    """Clients that confirm one thing after the other."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._is_stopped = False
        # By request id: when it was sent, when it was answered, the answer.
        self.requests = {}
        self._threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True)
            for n in range(CLIENTS)
        ]
        for thread in self._threads:
            thread.start()

    def _run(self, number):
        client = None
        index = 0
        while not self._is_stopped:
            request_id = f"c{number}-{index:08d}"
            index += 1
            if client is None:
                client = Client(self._deployment.gateways[0])
            sent_s = time.monotonic()
            client.send(
                make_request("confirm", request_id, 1_500, method="POST", body=b"{}")
            )
            answer = client.read_answer()
            self.requests[request_id] = sent_s, time.monotonic(), answer
            self._deployment.record.add(f"client: {request_id} gets {answer}")
            if answer.error or answer.headers.get("connection") == "close":
                client.close()
                client = None

    def stop(self):
        """End all clients."""
        self._is_stopped = True
        for thread in self._threads:
            thread.join()


def find_breaks(requests, leaving):
    """Return the breaks of the rule, and what was lost by them."""
    passed_on_s = min(
        (
            answered_s
            for _, answered_s, answer in requests.values()
            if "server-leaving" in answer.headers
        ),
        default=None,
    )
    if passed_on_s is None:
        return []
    reached = {request.request_id for request in leaving.runs}
    late = [
        (request_id, answer)
        for request_id, (sent_s, _, answer) in requests.items()
        if request_id in reached and sent_s > passed_on_s + DRAIN_S
    ]
    if not late:
        return []
    broken = [
        f"DRAIN: {len(late)} requests that clients sent later than {DRAIN_S} s after"
        f" the gateway had passed on an answer with Server-Leaving reached"
        f" {leaving.server_id}"
    ]
    broken += [
        f"{request_id}, one of these, was at work when the server ended, and got"
        f" {answer}"
        for request_id, answer in late
        if answer.status != 200
    ]
    return broken


def play(record):
    """Play the case; return the breaks of the rule."""
    with Deployment(record, gateways=1) as deployment:
        for number in range(SERVERS):
            backend = deployment.add_backend(f"l{number}", "ledger", slots=3)
            backend.work_s = WORK_S
        routes = [make_route("confirm", "unsafe", "ledger")]
        deployment.configure(make_configuration(1, routes, ["ledger"]))
        deployment.start()
        traffic = Traffic(deployment)
        time.sleep(WARM_UP_S)
        if IS_TROUBLE:
            deployment.links[0].is_cut = True
            record.add("the gateway is cut off from the store")
        time.sleep(LEAVES_AFTER_S)
        leaving = deployment.backends[0]
        leaving.state = "draining"
        leaving.is_leaving = True
        deployment.register(leaving)
        record.add(f"the store accepts that {leaving.server_id} is draining")
        time.sleep(ENDS_AFTER_S)
        deployment.backends.remove(leaving)
        leaving.close()
        deployment.store.write("servers", leaving.server_id, None)
        record.add(f"{leaving.server_id} has ended")
        time.sleep(CUT_S - LEAVES_AFTER_S - ENDS_AFTER_S)
        deployment.links[0].is_cut = False
        record.add("the cut is over")
        traffic.stop()
        return find_breaks(traffic.requests, leaving)


if __name__ == "__main__":
    run_case(FOLDER, play)
