"""Backend servers and their records, as used by several tests."""

from cuminhatch.decisions.configuration import BackendServer
from cuminhatch.decisions.server_records import ServerLoad, ServerRecord

NOW_MS = 1_000.0

SERVER_FIELDS = {
    "service_id": "desk",
    "host": "127.0.0.1",
    "port": 9101,
    "failure_domain": "Leith",
    "slots": 3,
    "connections": 30,
}


def make_server(server_id="b", slots=3, port=80):
    return BackendServer(server_id, "s", "127.0.0.1", port, "a", slots, 200)


def make_record(name, running=0, waiting=0, slowdown=1.0, is_near=True, slots=3):
    """Return the record of a server with a recent load report."""
    server = BackendServer(name, "s", "10.0.0.1", 80, "here", slots, 200)
    record = ServerRecord(server, is_near, 0.0)
    record.load = ServerLoad(running, waiting, slots, slowdown, NOW_MS - 2.0)
    return record
