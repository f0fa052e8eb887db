"""Server pools of all services, updated with the configuration."""

from collections.abc import Callable

from cuminhatch.decisions.configuration import (
    EMPTY_CONFIGURATION,
    Configuration,
    Rule,
)
from cuminhatch.decisions.routing import NoRoute, make_router
from cuminhatch.decisions.servers import ServerView
from cuminhatch.services.dispatch._pool import ServerPool


class ServerTable:
    """Routing rules and server pools of the configuration in force."""

    def __init__(self, failure_domain: str) -> None:
        """
        Start with an empty configuration.

        :param failure_domain: failure domain of this instance.
        """
        self._failure_domain = failure_domain
        self._configuration: Configuration = EMPTY_CONFIGURATION
        self._match_rule = make_router(EMPTY_CONFIGURATION)
        self._pools: dict[str, ServerPool] = {}
        self._pool_by_server: dict[str, ServerPool] = {}
        self._listed_as_leaving_ids: frozenset[str] = frozenset()

    @property
    def match_rule(self) -> Callable[[str, str], Rule | NoRoute]:
        """Return the function that maps method and path to a rule."""
        return self._match_rule

    @property
    def sequence(self) -> int:
        """Return the sequence number of the configuration in force."""
        return self._configuration.sequence

    def get_pool(self, service_id: str) -> ServerPool | None:
        """
        Return the pool of a service, None if it is unknown.

        :param service_id: id of the service.
        """
        return self._pools.get(service_id)

    def find_server(self, server_id: str) -> tuple[ServerPool, ServerView] | None:
        """
        Return the pool and view of a backend server, None if unknown.

        :param server_id: id of the backend server.
        """
        pool = self._pool_by_server.get(server_id)
        return None if pool is None else (pool, pool.views[server_id])

    def apply(
        self, new: Configuration, now_ms: float
    ) -> tuple[list[ServerPool], list[ServerPool]]:
        """
        Apply a new configuration by updating only what has changed.

        Most changes touch only a few items, so unchanged ones are skipped.

        :param new: the new configuration; an older one is ignored.
        :param now_ms: current time.
        :returns: changed pools, and pools of removed services.
        """
        old = self._configuration
        if new.sequence < old.sequence:
            return [], []
        self._configuration = new
        if new.rules is not old.rules:
            self._match_rule = make_router(new)
        changed: dict[str, ServerPool] = {}
        withdrawn = self._apply_services(new, old, changed, now_ms)
        self._apply_servers(new, old, changed, now_ms)
        return list(changed.values()), withdrawn

    def _apply_services(
        self,
        new: Configuration,
        old: Configuration,
        changed: dict[str, ServerPool],
        now_ms: float,
    ) -> list[ServerPool]:
        for service_id, spec in new.services.items():
            if old.services.get(service_id) is spec:
                continue
            pool = self._pools.get(service_id)
            if pool is None:
                pool = self._pools[service_id] = ServerPool(spec, now_ms)
            else:
                pool.update_spec(spec, now_ms)
            changed[service_id] = pool
        withdrawn = []
        for service_id in old.services.keys() - new.services.keys():
            pool = self._pools.pop(service_id)
            withdrawn.append(pool)
            for server_id in list(pool.views):
                self._remove_server(server_id, now_ms)
        return withdrawn

    def _apply_servers(
        self,
        new: Configuration,
        old: Configuration,
        changed: dict[str, ServerPool],
        now_ms: float,
    ) -> None:
        # Servers of the first configuration after the start of this daemon
        # are assumed to be running already and to need no slow start.
        has_slow_start = bool(old.servers)
        for server_id in old.servers.keys() - new.servers.keys():
            self._remove_server(server_id, now_ms)
        for server_id, server in new.servers.items():
            before = old.servers.get(server_id)
            if before is server and server.service_id not in changed:
                continue
            if before == server and server_id in self._pool_by_server:
                continue
            pool = self._pools.get(server.service_id)
            is_replaced = before is not None and before[1:4] != server[1:4]
            if pool is None or is_replaced:
                self._remove_server(server_id, now_ms)
            if pool is None:
                continue
            is_near = server.failure_domain == self._failure_domain
            view = pool.add_server(server, is_near, has_slow_start, now_ms)
            self._pool_by_server[server_id] = pool
            changed[server.service_id] = pool
            if server_id in self._listed_as_leaving_ids:
                view.leaving_signs = view.leaving_signs._replace(
                    is_listed_as_leaving=True
                )
                pool.refresh(view, now_ms)

    def _remove_server(self, server_id: str, now_ms: float) -> None:
        pool = self._pool_by_server.pop(server_id, None)
        if pool is not None:
            pool.remove_server(server_id, now_ms)

    def set_leaving_ids(
        self, leaving_ids: frozenset[str], now_ms: float
    ) -> list[ServerPool]:
        """
        Replace the set of servers that the platform lists as leaving.

        :param leaving_ids: ids of the leaving servers.
        :param now_ms: current time.
        :returns: the pools of servers whose listing has changed.
        """
        changed = leaving_ids ^ self._listed_as_leaving_ids
        self._listed_as_leaving_ids = leaving_ids
        pools = []
        for server_id in changed:
            found = self.find_server(server_id)
            if found is not None:
                pool, view = found
                view.leaving_signs = view.leaving_signs._replace(
                    is_listed_as_leaving=server_id in leaving_ids
                )
                pool.refresh(view, now_ms)
                pools.append(pool)
        return pools
