"""A request that is taken late in a long stop is broken off at its backend."""

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

from world import (  # noqa: E402
    TROUBLE,
    Backend,
    Client,
    Gateway,
    Store,
    make_configuration,
    make_route,
    run_case,
)

GRACE_S = 10
# Seconds after the SIGTERM at which clients send on connections kept open.
SENT_AT_S = (3.6, 4.0, 4.3, 4.6)
WORK_MS = 5_800.0
USUAL_MS = 1_000.0
ROUTE_TIMEOUT_MS = 6_000
DEADLINE_MS = 10_000


async def play(record, stack):
    store = Store()
    await store.start()
    store.put(
        "op",
        "config",
        make_configuration(
            3,
            [make_route("history", "depot", "safe", ROUTE_TIMEOUT_MS, 3_000)],
            ["depot"],
        ),
    )
    backends = [Backend(store, record, f"i-{n}", "depot") for n in range(4)]
    for backend in backends:
        backend.usual_ms = USUAL_MS
        await backend.start()
    gateway = Gateway(record, store.port, **{"grace-s": GRACE_S})
    stack.push_async_callback(gateway.end)
    await gateway.start()
    await gateway.wait_ready()
    clients = [Client(record, gateway.port) for _ in SENT_AT_S]
    # Requests of the usual length, one on each connection, which stays open.
    for number, client in enumerate(clients):
        reply = await client.send("GET", "/history/1", f"first-{number}", DEADLINE_MS)
        assert reply.status == 200, reply.status
    if TROUBLE:
        gateway.signal(signal.SIGTERM)
    began = time.monotonic()

    async def send_late(number, client):
        attempt_id = f"late-{number}"
        for backend in backends:
            backend.work_ms[attempt_id] = WORK_MS
        await asyncio.sleep(SENT_AT_S[number])
        if not client.is_open:
            return attempt_id, None, 0.0
        sent = time.monotonic()
        reply = await client.send("GET", "/history/1", attempt_id, DEADLINE_MS)
        return attempt_id, reply, time.monotonic() - sent

    results = await asyncio.gather(*map(send_late, range(len(clients)), clients))
    record(f"all answered {time.monotonic() - began:.1f} s after the SIGTERM")
    runs = {attempt_id for backend in backends for attempt_id, _ in backend.runs}
    broken = []
    for attempt_id, reply, took_s in results:
        if reply is None or attempt_id not in runs:
            continue
        is_time_over = took_s * 1_000 >= ROUTE_TIMEOUT_MS - 50
        if "response-seal" not in reply.headers and not is_time_over:
            broken.append(
                f"LOST: {attempt_id} was broken off after {took_s:.2f} s with status"
                f" {reply.status} of the gateway's own, while its backend was at work"
            )
    return broken


if __name__ == "__main__":
    run_case(play, HERE)
