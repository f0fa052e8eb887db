"""Tests of the start, stop and ports of daemon processes."""

import socket
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection
from signal import SIGKILL, SIGTERM

import pytest

from cuminhatch.codecs.peers_thrift import NotesPull, encode_message
from cuminhatch.messages import Address
from tests.support import WAIT_TIMEOUT_S, free_port, start_program, wait_until
from tests.system.deployment import (
    ANNOUNCE_MS,
    KEYS,
    format_address,
    make_note,
    make_withdrawal,
)

# More than all buffers hold, so that the response is still streaming.
LONG_BYTES = 50_000_000
LATE_REQUESTS = 10
# Still runs when the drain announcement ends.
SLOW = f"/ledger?ms={ANNOUNCE_MS + 1000}"


def test_stop_aborts_no_requests(deployment):
    """Guards against requests that are lost when a daemon is replaced."""
    daemon = deployment.daemons[0]
    connection = HTTPConnection(*daemon.program.address, timeout=WAIT_TIMEOUT_S)
    connection.request("GET", f"/history?bytes={LONG_BYTES}")
    response = connection.getresponse()
    size = len(response.read(1000))
    daemon.process.send_signal(SIGTERM)
    wait_until(lambda: not daemon.is_ready, "the announcement")
    # The instance list lags, so callers still send requests.
    for _ in range(LATE_REQUESTS):
        assert daemon.get("/status").status == 200
    with ThreadPoolExecutor() as pool:
        future = pool.submit(daemon.confirm, "k", SLOW)
        wait_until(lambda: deployment.runs(key="k"), "the run")
        size += len(response.read())
        assert future.result().status == 200
    connection.close()
    assert size == LONG_BYTES
    assert daemon.process.wait(WAIT_TIMEOUT_S) == 0
    # The response was stored before the daemon exited.
    second_response = deployment.daemons[1].confirm("k", SLOW)
    assert (second_response.status, second_response.body) == (200, future.result().body)
    assert len(deployment.runs(key="k")) == 1


def test_daemon_without_notes_is_not_ready(deployment):
    """Guards against a daemon that is ready without a configuration."""
    for daemon in deployment.daemons:
        daemon.process.send_signal(SIGKILL)
        daemon.process.wait()
    deployment.table.set_faults(outage=True)
    daemon = deployment.start_daemon()
    assert not daemon.is_ready
    assert daemon.get("/status").headers["cuminhatch-outcome"] == "not-run"
    deployment.table.set_faults(outage=False)
    wait_until(lambda: daemon.is_ready, "readiness")
    assert daemon.get("/status").status == 200


def pull_notes(address, key):
    """Pull notes as a peer does and return the reply, still encoded."""
    data = encode_message(NotesPull(0, 10), key.encode())
    with socket.create_connection(address, WAIT_TIMEOUT_S) as sock:
        sock.sendall(len(data).to_bytes(4, "big") + data)
        return sock.makefile("rb").read()


def test_wrong_keys_are_refused(deployment):
    """Guards against notes that can be read or changed without the key."""
    assert pull_notes(deployment.peers[0], KEYS["peers"]) != b""
    assert pull_notes(deployment.peers[0], "wrong") == b""
    daemon = deployment.daemons[0]
    wrong = {"Authorization": "Bearer wrong"}
    text = make_note("second", make_withdrawal("status-1"))
    assert daemon.send_operator_request("POST", "/notes", text, wrong).status == 401
    assert daemon.send_operator_request("POST", "/drain", headers=wrong).status == 401
    assert deployment.run_cli("status", key="wrong").returncode == 1
    assert daemon.note_sequence == 1


@pytest.fixture
def settings(tmp_path):
    """Return the sections of a valid settings file, by name."""
    free = {name: f"127.0.0.1:{free_port()}" for name in ("callers", "operators")}
    platform = "\n".join(
        f'{name} = "127.0.0.1:1"' for name in ("table", "objects", "list")
    )
    return {
        "instance": 'id = "entry-1"\nfailure_domain = "Kingston"',
        "callers": f'address = "{free["callers"]}"',
        "operators": f'address = "{free["operators"]}"\nkey = "k"',
        "peers": f'address = "127.0.0.1:{free_port()}"\nkey = "k"',
        "platform": platform,
    }


def run_failing_daemon(file):
    """Run a daemon that cannot start; return its status and error lines."""
    process = start_program("cuminhatch.daemon", f"--settings={file}", stderr=-1)
    _, errors = process.communicate(timeout=WAIT_TIMEOUT_S)
    return process.returncode, errors.decode().splitlines()


def write_settings(tmp_path, sections):
    file = tmp_path / "entry.toml"
    file.write_text("".join(f"[{n}]\n{text}\n" for n, text in sections.items()))
    return file


@pytest.mark.parametrize("section", ["callers", "operators", "peers"])
def test_address_in_use_names_file_and_key(settings, tmp_path, section):
    """Guards against a daemon that runs but cannot be reached."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        used = Address(*sock.getsockname())
        settings[section] = f'address = "{format_address(used)}"\nkey = "k"'
        if section == "callers":
            settings[section] = f'address = "{format_address(used)}"'
        file = write_settings(tmp_path, settings)
        status, lines = run_failing_daemon(file)
    assert (status, len(lines)) == (2, 1)
    assert (
        f"{file}: {section}.address: cannot listen on {format_address(used)}"
        in lines[0]
    )


def test_wrong_settings_name_file_and_key(settings, tmp_path):
    """Guards against misspelt settings that are ignored."""
    settings["instance"] += "\nzone = 1"
    file = write_settings(tmp_path, settings)
    status, lines = run_failing_daemon(file)
    assert (status, len(lines)) == (2, 1)
    assert f"{file}: instance.zone: unknown key" in lines[0]
    status, lines = run_failing_daemon(tmp_path / "missing.toml")
    assert (status, len(lines)) == (2, 1)
    assert "missing.toml: No such file" in lines[0]
