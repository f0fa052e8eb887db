"""
Which registrations tell that a server has become cold again.

The remaining warm-up of a cold server falls from read to read of the store, so
it is no news to other instances. A rise is news: under the same start nothing
else of the registration changes.
"""

from collections.abc import Iterable, Mapping

from cuminhatch.decisions.configuration import BackendServer


def read_warmups(servers: Iterable[BackendServer]) -> dict[str, float]:
    """
    Return the remaining warm-up of the cold servers, by server id.

    :param servers: servers as read from the store.
    """
    return {
        server.server_id: server.warmup_left_ms
        for server in servers
        if server.warmup_left_ms > 0.0
    }


def has_become_cold(
    server: BackendServer,
    known: BackendServer,
    warmups_read_ms: Mapping[str, float] | None,
) -> bool:
    """
    Tell whether a server has become cold since the latest read.

    :param server: the server as read.
    :param known: the server as sent to other instances last. For an instance
        that has not read before it tells whether the others know.
    :param warmups_read_ms: remaining warm-ups in the latest read by this
        instance, None if it has not read before.
    """
    before_ms = known.warmup_left_ms
    if warmups_read_ms is not None:
        before_ms = warmups_read_ms.get(server.server_id, 0.0)
    return server.warmup_left_ms > before_ms
