"""Entries of a configuration that several tests start from."""

from cuminhatch.decisions.configuration import BackendServer

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
