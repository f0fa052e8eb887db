"""Lets a backend leave after a cut of the daemon that reads the store."""

import os
import re
import signal
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from standins.deployment import (
    DRAIN_MS,
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
HOST = "confirm.example"
SERVICE = "ledger"
DAEMONS = 3
# One of four leaves: a share of 0.25, the largest of ``scale_in`` in the
# site file.
BACKENDS = 4
LEAVING_ID = "i-0"
DEADLINE_MS = 1500
TARGET_MS = 500
INTERVAL_S = 0.03
CLIENTS = 16
CUT_S = 1.5
CUTS_MAX = 3
# From the end of the cut, by when the daemon has read the store again.
READ_AGAIN_S = 1.2
# Health checks are false for 5 s, the default of the bench.
WATCH_S = 5.0


def start_backends(store, folder):
    """Start the backends, and register them in the store."""
    processes = []
    for number in range(BACKENDS):
        server_id, port = f"i-{number}", find_free_port()
        command = [FOLDER.parent / "standins/backend.py", server_id, str(port)]
        command += [folder / "backends.txt", "0"]
        process = subprocess.Popen([sys.executable, *command])
        process.port = port
        processes.append(process)
        entry = make_registration(SERVICE, f"127.0.0.1:{port}", "a")
        store.put("servers", server_id, entry)
    return processes


def send(daemons, record, number, started_s):
    """Send one request; return its id, and when it was sent."""
    attempt_id = f"{number:016x}"
    time.sleep(max(0.0, started_s + number * INTERVAL_S - time.monotonic()))
    daemon = daemons[number % len(daemons)]
    sent_s = time.monotonic() - started_s
    answer = call(
        daemon.address,
        "POST",
        "/confirm/1",
        HOST,
        attempt_id,
        DEADLINE_MS,
        b"restored",
        ("X-Size: 1500", "X-Work-Ms: 60"),
    )
    record.write(
        "client",
        f"{attempt_id}: sent at {sent_s:.3f} s to {daemon.name},"
        f" status {answer.status}",
    )
    return attempt_id, sent_s


def cut_reader(store, record):
    """
    Cut the daemon that reads the store off from it, for a while.

    Another one reads meanwhile. The first one in the order of readers reads
    again after the cut, the others don't: then the one that reads now is cut.
    """
    for _ in range(CUTS_MAX):
        reader = max(store.last_reads, key=store.last_reads.get)
        record.write("script", f"{reader} is cut off from the store for {CUT_S} s")
        store.cut_off.add(reader)
        time.sleep(CUT_S)
        store.cut_off.remove(reader)
        healed_s = time.monotonic()
        time.sleep(READ_AGAIN_S)
        if store.last_reads[reader] > healed_s:
            record.write("script", f"{reader} has read the store again")
            return


def start_daemons(store, folder):
    """Start daemons with the same peer port on several loopback addresses."""
    hosts = [f"127.0.0.{11 + number}" for number in range(DAEMONS)]
    peer_port = find_free_port(hosts[0])
    daemons = []
    for number, host in enumerate(hosts):
        name = f"front-a-{number + 1}"
        daemons.append(
            Daemon(name, host, "a", store.listen(name), hosts, peer_port, folder)
        )
    return daemons


def run(record, folder):
    """Play the case; return the exit status."""
    store = Store()
    processes = start_backends(store, folder)
    daemons = start_daemons(store, folder)
    try:
        route = make_route(
            "confirm", HOST, "/confirm/", "unsafe", SERVICE, DEADLINE_MS, TARGET_MS
        )
        store.put("op", "config", make_configuration(1, [route], [SERVICE]))
        for daemon in daemons:
            daemon.start()
        for daemon in daemons:
            daemon.wait_until_ready()
        # All are in touch by then.
        time.sleep(3.5)
        if IS_TROUBLE:
            cut_reader(store, record)
            record.write("script", "all backends report themselves ill")
            for process in processes:
                process.send_signal(signal.SIGUSR1)
        record.write("script", f"{LEAVING_ID} leaves, its entry is removed")
        processes[0].send_signal(signal.SIGUSR2)
        store.remove("servers", LEAVING_ID)
        started_s = time.monotonic()
        with ThreadPoolExecutor(CLIENTS) as executor:
            seen = list(
                executor.map(
                    lambda n: send(daemons, record, n, started_s),
                    range(int(WATCH_S / INTERVAL_S)),
                )
            )
    finally:
        for daemon in daemons:
            daemon.stop()
        for process in processes:
            process.kill()
            process.wait()
    lines = (folder / "backends.txt").read_text().splitlines()
    for line in lines:
        record.write("backend", line)
    text = "\n".join(lines)
    reached = set(re.findall(rf"{LEAVING_ID} runs (\S+),", text))
    late = [id_ for id_, sent_s in seen if sent_s > DRAIN_MS / 1000 and id_ in reached]
    summary = (
        f"{len(seen)} requests; {len(late)} that were sent over {DRAIN_MS} ms after"
        f" the removal of {LEAVING_ID} reached it (DRAIN)"
    )
    record.write("script", summary)
    print(summary)
    return BROKEN if late else HELD


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
