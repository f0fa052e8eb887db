"""Answers behind the first long one of a safe route are lost in a stop."""

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

from world import (  # noqa: E402
    BOUNDS,
    HOST_NAME,
    TROUBLE,
    Backend,
    Gateway,
    Store,
    make_configuration,
    make_route,
    read_message,
    run_case,
)

GRACE_S = BOUNDS["grace-s"]
STOP_AT_S = 0.5
TIMEOUT_MS = 12_000
# A long answer, sent evenly in this time.
LONG_BYTES = 400_000
LONG_S = 8.0
PARTS = 80
LONG_ID = "long"
BEHIND = ("behind-0", "behind-1", "behind-2", "behind-3")
USUAL_MS = 20.0


class SteadyBackend(Backend):
    """A backend that sends the long answer part by part."""

    async def _answer(self, reader, start, headers, body):
        if headers.get("attempt-id") != LONG_ID:
            return await super()._answer(reader, start, headers, body)
        self.runs.append((LONG_ID, time.monotonic()))
        self.record(f"{self.server_id} runs {LONG_ID}")
        (writer,) = [w for w in self._writers if self.readers.get(w) is reader]
        head = (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {LONG_ID}\r\n"
            f"Response-Seal: seal.{LONG_ID}\r\nContent-Length: {LONG_BYTES}\r\n\r\n"
        )
        writer.write(head.encode())
        for _ in range(PARTS):
            writer.write(b"x" * (LONG_BYTES // PARTS))
            await writer.drain()
            await asyncio.sleep(LONG_S / PARTS)
        self.record(f"{self.server_id} has answered {LONG_ID}")
        return b""


async def play(record, stack):
    store = Store()
    await store.start()
    routes = [make_route("status", "board", "safe", TIMEOUT_MS, 1_000)]
    store.put("op", "config", make_configuration(3, routes, ["board"]))
    backends = [SteadyBackend(store, record, f"i-{n}", "board") for n in range(4)]
    for backend in backends:
        backend.usual_ms = USUAL_MS
        await backend.start()
    gateway = Gateway(record, store.port)
    stack.push_async_callback(gateway.end)
    await gateway.start()
    await gateway.wait_ready()
    reader, writer = await asyncio.open_connection(gateway.host, gateway.port)
    sent = [LONG_ID, *BEHIND]
    for attempt_id in sent:
        record(f"client sends {attempt_id}")
        writer.write(
            f"GET /status/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            f"Attempt-Id: {attempt_id}\r\nRequest-Deadline: {TIMEOUT_MS}\r\n\r\n".encode()
        )
    if TROUBLE:
        loop = asyncio.get_running_loop()
        loop.call_later(STOP_AT_S, gateway.signal, signal.SIGTERM)
    began = time.monotonic()
    answered = {}
    for attempt_id in sent:
        message = await read_message(reader)
        took_s = time.monotonic() - began
        if message is None:
            record(f"the connection ends after {took_s:.2f} s")
            break
        start, headers, _ = message
        record(f"client gets {start} to {headers.get('attempt-id')} at {took_s:.2f} s")
        answered[attempt_id] = start
    took_s = time.monotonic() - began
    writer.close()
    runs = {attempt_id for backend in backends for attempt_id, _ in backend.runs}
    finished = set().union(*(backend.finished for backend in backends))
    return [
        f"LOST: {attempt_id} ran and was answered by its backend, and its connection"
        f" ended after {took_s:.2f} s without an answer"
        for attempt_id in BEHIND
        if attempt_id in runs and attempt_id in finished and attempt_id not in answered
    ]


if __name__ == "__main__":
    run_case(play, HERE)
