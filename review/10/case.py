"""
The operator takes the last tenant away, and every key is accepted.

The configuration then holds an empty list of tenants. Requests run with keys
that no configuration ever held, and the keys are passed on to the servers.
"""

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
    make_configuration,
    make_request,
    make_route,
    run_case,
)

HELD_KEY = "uakn2ftimaj3nr26tta8"
NEVER_HELD_KEY = "q0000000000000000000"
OTHER_TENANT = {"name": "other", "api-keys": ["28m82thhkmgjqnirth5m"], "priority": 1}
TENANT = {"name": "sese880", "api-keys": [HELD_KEY], "priority": 1}
# Twice the bound of the configuration.
APPLIED_AFTER_S = 4.0
REQUESTS = 10


def ask(deployment, name, key):
    """Send a request with a key to each gateway in turn; return the ids."""
    request_ids = []
    for number in range(REQUESTS):
        request_id = f"{name}-{number}"
        request_ids.append(request_id)
        client = Client(deployment.gateways[number % 2])
        client.send(
            make_request(
                "confirm", request_id, method="POST", body=b"{}", Credential=key
            )
        )
        answer = client.read_answer()
        client.close()
        deployment.record.add(f"client: {request_id} with key {key} gets {answer}")
    return request_ids


def find_runs(deployment, request_ids):
    """Return the requests of these that have run, as servers saw them."""
    return [
        request
        for backend in deployment.backends
        for request in backend.runs
        if request.request_id in request_ids
    ]


def play(record):
    """Play the case; return the breaks of the rules."""
    with Deployment(record) as deployment:
        for number in range(2):
            deployment.add_backend(f"l{number}", "ledger")
        routes = [make_route("confirm", "unsafe", "ledger", anonymous=False)]
        tenants = [TENANT] if IS_TROUBLE else [TENANT, OTHER_TENANT]
        first = make_configuration(1, routes, ["ledger"], tenants=tenants)
        deployment.configure(first)
        deployment.start()
        if len(find_runs(deployment, ask(deployment, "before", HELD_KEY))) != REQUESTS:
            raise CaseError("the requests of the tenant were not served")
        if find_runs(deployment, ask(deployment, "unknown", NEVER_HELD_KEY)):
            raise CaseError("requests with an unknown key were served")
        tenants.remove(TENANT)
        second = make_configuration(2, routes, ["ledger"], tenants=tenants)
        deployment.configure(second)
        time.sleep(APPLIED_AFTER_S)
        broken = []
        never = find_runs(deployment, ask(deployment, "never-held", NEVER_HELD_KEY))
        removed = find_runs(deployment, ask(deployment, "removed", HELD_KEY))
        leaked = [r for r in never + removed if "credential" in r.headers]
        if never:
            broken.append(
                f"ROUTE: {len(never)} of {REQUESTS} requests ran whose key no"
                " configuration ever held"
            )
        if removed:
            broken.append(
                f"CONFIG: {len(removed)} of {REQUESTS} requests ran with a key that"
                f" was dropped {APPLIED_AFTER_S:.0f} s before"
            )
        if leaked:
            broken.append(
                f"UNASKED: with {len(leaked)} requests the key itself was passed on"
            )
        return broken


if __name__ == "__main__":
    run_case(FOLDER, play)
