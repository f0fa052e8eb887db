"""A machine that is cut off sends on to backends that are leaving."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

from world import (  # noqa: E402
    BOUNDS,
    TROUBLE,
    Backend,
    Client,
    Gateway,
    Store,
    make_configuration,
    make_route,
    run_case,
)

DRAIN_S = BOUNDS["drain-ms"] / 1000
# The cut, and the seconds after its start at which the backends of a release
# report draining, one after the other. Each ends a little later than drain-ms
# after that.
CUT_S = 12.0
LEAVES_AT_S = (0.5, 1.5)
SERVES_ON_S = DRAIN_S + 3.0
REQUESTS_PER_S = 15
WORK_MS = 180.0


class Link:
    """The link between the machine and the store, which may be cut."""

    def __init__(self, store_port):
        self._store_port = store_port
        self._is_open = asyncio.Event()
        self._is_open.set()
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def cut(self):
        self._is_open.clear()

    def heal(self):
        self._is_open.set()

    async def _serve(self, reader, writer):
        there, here = await asyncio.open_connection("127.0.0.1", self._store_port)
        await asyncio.gather(self._pass(reader, here), self._pass(there, writer))

    async def _pass(self, reader, writer):
        try:
            while data := await reader.read(65_536):
                # Bytes wait in a cut; they are lost if the sender resets.
                await self._is_open.wait()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()


async def play(record, stack):
    store = Store()
    await store.start()
    link = Link(store.port)
    await link.start()
    routes = [make_route("confirm", "ledger", "unsafe", 1_500, 500)]
    store.put("op", "config", make_configuration(3, routes, ["ledger"]))
    backends = [Backend(store, record, f"i-{n}", "ledger") for n in range(2)]
    for backend in backends:
        backend.usual_ms = WORK_MS
        await backend.start()
    gateway = Gateway(record, link.port)
    stack.push_async_callback(gateway.end)
    await gateway.start()
    await gateway.wait_ready()
    replies = {}
    sent = {}
    # When the first answer of a backend with Server-Leaving was passed on.
    announced = {}

    async def confirm(number):
        attempt_id = f"c{number}"
        client = Client(record, gateway.port)
        sent[attempt_id] = time.monotonic()
        reply = await client.send("POST", "/confirm/1", attempt_id, 1_500, b"done")
        replies[attempt_id] = reply
        if "server-leaving" in reply.headers:
            for backend in backends:
                if any(attempt_id == run for run, _ in backend.runs):
                    announced.setdefault(backend.server_id, time.monotonic())
        client.close()

    async def replace(backend, new, at_s):
        await asyncio.sleep(at_s)
        await new.start()
        record(f"{new.server_id} joins, {backend.server_id} is leaving")
        backend.is_leaving = True
        backend.state = "draining"
        backend.write_entry()
        await asyncio.sleep(SERVES_ON_S)
        backend.stop_beats()
        store.remove("servers", backend.server_id)
        record(f"{backend.server_id} ends")
        backend.end()

    tasks = []
    began = time.monotonic() + 2.0
    is_begun = False
    number = 0
    while (now := time.monotonic()) < began + CUT_S + 2.0:
        if not is_begun and now >= began:
            is_begun = True
            if TROUBLE:
                record("the machine is cut from the store")
                link.cut()
                asyncio.get_running_loop().call_later(CUT_S, link.heal)
            for position, at_s in enumerate(LEAVES_AT_S):
                new = Backend(store, record, f"i-new-{position}", "ledger")
                new.usual_ms = WORK_MS
                tasks.append(
                    asyncio.create_task(replace(backends[position], new, at_s))
                )
        tasks.append(asyncio.create_task(confirm(number)))
        number += 1
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    record(str(Counter(reply.status for reply in replies.values())))
    broken = []
    for backend in backends:
        if backend.server_id not in announced:
            continue
        bound = announced[backend.server_id] + DRAIN_S
        late = [
            attempt_id
            for attempt_id, _ in backend.arrivals
            if sent.get(attempt_id, 0.0) > bound
        ]
        lost = [i for i in late if "response-seal" not in replies[i].headers]
        if late:
            broken.append(
                f"DRAIN: {len(late)} requests sent later than {DRAIN_S:.0f} s after"
                f" the first answer with Server-Leaving reached {backend.server_id};"
                f" {len(lost)} of them were lost: {' '.join(lost)}"
            )
    return broken


if __name__ == "__main__":
    run_case(play, HERE)
