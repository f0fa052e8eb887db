"""Sends requests while backends answer some of them without end."""

import os
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from standins.deployment import (
    Daemon,
    find_free_port,
    make_configuration,
    make_folder,
    make_registration,
    make_route,
    remove_folder,
)
from standins.record import Record
from standins.store import Store
from standins.wire import call

FOLDER = Path(__file__).resolve().parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
IS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "history.example"
SERVICE = "archive"
BACKENDS = 4
# ``garble`` with its default share 0.5; 0.05 of the answers, its largest x in
# the site file.
FAULTY_BACKENDS = 2
ENDLESS_EVERY = 20
REQUESTS = 480
CLIENTS = 8
# The figures of ``history-pull``.
TIMEOUT_MS = 3000
DEADLINE_MS = 5000
TARGET_MS = 1500
# The rule: eight or more, and over a quarter of those that last longer.
SLACK_MS = 500
BROKEN_MIN = 8
BROKEN_SHARE = 0.25


def start_backends(store, folder):
    """Start the backends, and register them in the store."""
    processes = []
    for number in range(BACKENDS):
        server_id, port = f"i-{number}", find_free_port()
        is_faulty = IS_TROUBLE and number < FAULTY_BACKENDS
        every = ENDLESS_EVERY if is_faulty else 0
        command = [FOLDER.parent / "standins/backend.py", server_id, str(port)]
        command += [folder / "backends.txt", "0", "0", str(every)]
        processes.append(subprocess.Popen([sys.executable, *command]))
        entry = make_registration(SERVICE, f"127.0.0.1:{port}", "a")
        store.put("servers", server_id, entry)
    return processes


def send(daemon, record, number):
    """Send one request; return when it had its final answer, in ms."""
    attempt_id = f"{number:016x}"
    sent_s = time.monotonic()
    answer = call(
        daemon.address,
        "GET",
        "/history/1",
        HOST,
        attempt_id,
        DEADLINE_MS,
        None,
        ("X-Size: 1500", "X-Work-Ms: 20"),
    )
    took_ms = (time.monotonic() - sent_s) * 1000
    record.write(
        "client",
        f"{attempt_id}: status {answer.status} after {took_ms:.0f} ms"
        f"{', ' + answer.error if answer.error else ''}",
    )
    return took_ms


def run(record, folder):
    """Play the case; return the exit status."""
    store = Store()
    processes = start_backends(store, folder)
    daemon = Daemon(
        "front-a-1",
        "127.0.0.1",
        "a",
        store.address,
        ["127.0.0.1"],
        find_free_port(),
        folder,
    )
    try:
        route = make_route(
            "history", HOST, "/history/", "safe", SERVICE, TIMEOUT_MS, TARGET_MS
        )
        store.put("op", "config", make_configuration(1, [route], [SERVICE]))
        daemon.start()
        daemon.wait_until_ready()
        time.sleep(0.5)
        with ThreadPoolExecutor(CLIENTS) as executor:
            took_ms = list(
                executor.map(lambda n: send(daemon, record, n), range(REQUESTS))
            )
    finally:
        daemon.stop()
        for process in processes:
            process.kill()
            process.wait()
    for line in (folder / "backends.txt").read_text().splitlines():
        record.write("backend", line)
    long = [ms for ms in took_ms if ms > TIMEOUT_MS]
    late = [ms for ms in long if ms > TIMEOUT_MS + SLACK_MS]
    summary = (
        f"{REQUESTS} requests, {len(long)} lasted longer than timeout-ms,"
        f" {len(late)} had no final answer {SLACK_MS} ms after it (CONFIG)"
    )
    record.write("script", summary)
    print(summary)
    if len(long) > REQUESTS / 2:
        return NOT_RUN
    is_broken = len(late) >= BROKEN_MIN and len(late) > BROKEN_SHARE * len(long)
    return BROKEN if is_broken else HELD


def main():
    """Play the case and end with its exit status."""
    record, folder = Record(FOLDER / "record.txt"), make_folder()
    try:
        status = run(record, folder)
    except Exception as error:
        record.write("script", f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        status = NOT_RUN
    remove_folder(folder)
    sys.exit(status)


if __name__ == "__main__":
    main()
