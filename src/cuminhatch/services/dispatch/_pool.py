"""State per service: server views, admission queues, retry budget."""

from cuminhatch.decisions.admission import AdmissionQueue
from cuminhatch.decisions.configuration import BackendServer, ServiceSpec
from cuminhatch.decisions.limits import connection_share
from cuminhatch.decisions.retries import RetryBudget
from cuminhatch.decisions.servers import (
    ServerView,
    end_ejection,
    load_score,
    may_take_long,
    may_take_short,
)

# Servers listed in one permit request.
PERMIT_CANDIDATES_MAX = 8
# Shorter than the default queue: a waiting long request keeps its record and
# its body in memory for longer.
LONG_QUEUE_MAX = 200


class ServerPool:
    """
    State of one service and its backend servers.

    ``open_views`` lists the available servers, which may take a short request
    now. It is updated as servers change, so a request costs the same with 10
    servers and with 1000.
    """

    def __init__(self, spec: ServiceSpec, now_ms: float) -> None:
        """
        Start without backend servers.

        :param spec: specification of the service.
        :param now_ms: current time.
        """
        self.spec = spec
        self.views: dict[str, ServerView] = {}
        self.open_views: list[ServerView] = []
        self.ejected_ids: set[str] = set()
        # Servers that get no new requests: they report draining, the platform
        # lists them as leaving, or they refuse connections.
        self._leaving_ids: set[str] = set()
        # Views of servers that the configuration no longer contains, kept
        # while they have requests in flight and used again if a later
        # configuration restores the server.
        self._withdrawn_views: dict[str, ServerView] = {}
        self.short_queue = AdmissionQueue()
        self.long_queue = AdmissionQueue(LONG_QUEUE_MAX)
        self.retry_budget = RetryBudget(now_ms)
        self.latency_ms = 0.0

    def get_queue(self, work_class: str) -> AdmissionQueue:
        """
        Return the admission queue of a work class.

        :param work_class: ``short`` or ``long``.
        """
        return self.long_queue if work_class == "long" else self.short_queue

    def update_spec(self, spec: ServiceSpec, now_ms: float) -> None:
        """
        Apply a changed specification of the service.

        :param spec: specification of the service.
        :param now_ms: current time.
        """
        self.spec = spec
        for view in self.views.values():
            share = connection_share(view.server.connections, spec.instances_max)
            view.window.set_share(share)
            self.refresh(view, now_ms)

    def add_server(
        self, server: BackendServer, is_near: bool, has_slow_start: bool, now_ms: float
    ) -> ServerView:
        """
        Add or update a backend server.

        :param server: the backend server.
        :param is_near: whether it is in this instance's failure domain.
        :param has_slow_start: whether the load on a new server increases
            gradually; False for the servers of the first configuration after
            the start of this daemon, which are assumed to be running already.
        :param now_ms: current time.
        """
        server_id = server.server_id
        share = connection_share(server.connections, self.spec.instances_max)
        view = self.views.get(server_id) or self._withdrawn_views.pop(server_id, None)
        if view is None or view.server[2:4] != server[2:4]:
            since_ms = now_ms if has_slow_start else float("-inf")
            view = ServerView(server, share, is_near, since_ms, self.spec.slow_start_ms)
            if has_slow_start:
                # Without latency samples a new server would otherwise have
                # the best score.
                view.latency_ms = self.latency_ms
                view.latency_at_ms = now_ms
        else:
            # Requests still in flight count against the new limits.
            view.server = server
            view.slots = max(1, server.slots)
            view.is_near = is_near
            view.leaving_signs = view.leaving_signs._replace(is_withdrawn=False)
            view.window.set_share(share)
        self.views[server_id] = view
        self.refresh(view, now_ms)
        return view

    def remove_server(self, server_id: str, now_ms: float) -> None:
        """
        Remove a server that the configuration no longer contains.

        Its requests in flight continue.

        :param server_id: id of the backend server.
        :param now_ms: current time.
        """
        view = self.views[server_id]
        view.leaving_signs = view.leaving_signs._replace(is_withdrawn=True)
        self.refresh(view, now_ms)
        del self.views[server_id]
        self.ejected_ids.discard(server_id)
        self._leaving_ids.discard(server_id)
        self._enforce_ejection_limit(now_ms)
        self._withdrawn_views = {
            key: old for key, old in self._withdrawn_views.items() if old.in_flight
        }
        if view.in_flight:
            self._withdrawn_views[server_id] = view

    def refresh(self, view: ServerView, now_ms: float) -> None:
        """
        Update the list of available servers after a view has changed.

        :param view: the backend server.
        :param now_ms: current time.
        """
        server_id = view.server.server_id
        if self.views.get(server_id) is not view:
            return
        if view.is_leaving != (server_id in self._leaving_ids):
            self._leaving_ids ^= {server_id}
            self._enforce_ejection_limit(now_ms)
        is_open = may_take_short(view, now_ms)
        if is_open == view.is_open:
            return
        view.is_open = is_open
        views = self.open_views
        if is_open:
            view.open_index = len(views)
            views.append(view)
            return
        last = views.pop()
        if last is not view:
            views[view.open_index] = last
            last.open_index = view.open_index

    def may_eject(self, server_id: str) -> bool:
        """
        Return whether one more server may be ejected.

        At most half of the servers that are not leaving are ejected.

        :param server_id: id of the backend server.
        """
        if server_id in self.ejected_ids:
            return True
        ejected = len(self.ejected_ids - self._leaving_ids)
        return (ejected + 1) * 2 <= len(self.views) - len(self._leaving_ids)

    def _enforce_ejection_limit(self, now_ms: float) -> None:
        """End ejections beyond the limit, after servers have left."""
        staying = len(self.views) - len(self._leaving_ids)
        ejected = self.ejected_ids - self._leaving_ids
        while len(ejected) * 2 > staying:
            # The server whose ejection ends first has failed least.
            server_id = min(
                ejected, key=lambda i: (self.views[i].ejected_until_ms or 0.0, i)
            )
            ejected.discard(server_id)
            self.ejected_ids.discard(server_id)
            view = self.views[server_id]
            end_ejection(view)
            self.refresh(view, now_ms)

    def add_latency_sample(self, latency_ms: float) -> None:
        """
        Add a sample to the average latency of short requests.

        :param latency_ms: time from sending to the response head.
        """
        if self.latency_ms == 0.0:
            self.latency_ms = latency_ms
        self.latency_ms += (latency_ms - self.latency_ms) / 32

    def find_long_candidates(self, now_ms: float) -> list[ServerView]:
        """
        Return the servers that may take a long request now.

        Long requests are rare, so a scan of all servers costs little.

        :param now_ms: current time.
        """
        limit = self.spec.long_slots
        return [v for v in self.views.values() if may_take_long(v, now_ms, limit)]

    def rank_permit_candidates(
        self, avoided: ServerView | None, now_ms: float
    ) -> tuple[str, ...]:
        """
        Return the ids of the servers to request permits for, best first.

        :param avoided: server of the last attempt, listed last.
        :param now_ms: current time.
        """
        views = self.find_long_candidates(now_ms) or [
            view for view in self.views.values() if not view.is_leaving
        ]
        views.sort(key=lambda view: (view is avoided, load_score(view, now_ms)))
        return tuple(view.server.server_id for view in views[:PERMIT_CANDIDATES_MAX])
