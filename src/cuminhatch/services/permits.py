"""
Acquires, keeps and releases permits for other services.

A permit is the exclusive right of one instance to probe a backend server, or
to use one of its slots for long requests.
"""

from collections.abc import Iterator
from itertools import count
from typing import NamedTuple

from cuminhatch.decisions.configuration import EMPTY_CONFIGURATION
from cuminhatch.decisions.permits import (
    IDLE_PERMIT_MS,
    LONG,
    UNHELD,
    Holder,
    Permit,
    PermitDecisions,
    PermitStep,
    PermitView,
    PermitWrite,
    is_idle,
    is_release_due,
    long_slot_count,
    permit_row_key,
    permit_row_value,
    return_permit,
    use_permit,
)
from cuminhatch.decisions.platform import (
    InstanceList,
    RowCheck,
    RowPut,
    TableTransaction,
    TableUnavailable,
)
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    ConfigurationChanged,
    CounterIncremented,
    InstanceListReplied,
    InstanceListRequested,
    MembershipChanged,
    PermitGranted,
    PermitRefused,
    PermitReleaseRequested,
    PermitRequested,
    PermitReturned,
    RemotePermitNeeded,
    TableReadReplied,
    TableReadRequested,
    TableTransactReplied,
    TableTransactRequested,
)

INSTANCE_LIST_INTERVAL_MS = 1000.0
RETRY_BACKOFF_MS = 50.0
RETRY_BACKOFF_LIMIT_MS = 800.0
# Limits the rows that a request reads, and the notices it sends to holders, at
# each retry: a service may have thousands of backend servers.
MAX_MESSAGES_PER_RETRY = 4

_RequestKey = tuple[str, int]


class _ListDue(NamedTuple):
    """The instance list is due to be read again."""


class _RetryDue(NamedTuple):
    """The backoff of a request has passed."""

    request_key: _RequestKey


class _DeadlinePassed(NamedTuple):
    """The deadline of a request has passed."""

    request_key: _RequestKey


class _IdleDue(NamedTuple):
    """A permit may have been idle long enough to be released."""

    permit: Permit


class _WriteDue(NamedTuple):
    """The backoff of a row write has passed."""

    permit: Permit
    write: PermitWrite


class _PendingRequest:
    """A request for a permit that has not been granted or refused."""

    def __init__(self, request: PermitRequested, deadline_timer: int) -> None:
        self.request = request
        self.deadline_timer = deadline_timer
        self.permit_in_progress: Permit | None = None
        self.retry_count = 0
        self.read_offset = 0
        self.is_retry_due = False
        self.is_store_unavailable = False


class Permits(Service):
    """
    Owns the permits of this instance and its view of those held by others.

    ``probes`` requests permits for the backend servers that it is to probe,
    and keeps them. A long request returns its permit when it ends.
    """

    name = "permits"

    def __init__(
        self,
        kernel: Kernel,
        instance_id: str,
        incarnation: int,
        list_lag_ms: float,
        decisions: PermitDecisions | None = None,
    ) -> None:
        """
        Create the service without permits.

        :param kernel: kernel of the process.
        :param instance_id: id of this instance.
        :param incarnation: number that rises with each restart of the
            instance.
        :param list_lag_ms: maximum lag of the platform's list of instances.
        :param decisions: decision functions to use instead of the defaults.
        """
        super().__init__(kernel)
        self._holder = Holder(instance_id, incarnation)
        self._list_lag_ms = list_lag_ms
        self._decisions = decisions or PermitDecisions()
        self._configuration = EMPTY_CONFIGURATION
        self._tokens = count(1)
        self._views: dict[Permit, PermitView] = {}
        self._pending_requests: dict[_RequestKey, _PendingRequest] = {}
        self._permits_by_token: dict[int, Permit] = {}
        self._list_requests: dict[int, float] = {}
        self._incarnations: dict[str, int] = {}
        self._is_listed = False

    def message_handlers(self) -> MessageTable:
        """Return the handlers for permit users, peers, notes and platform."""
        return {
            ConfigurationChanged: self._on_configuration_changed,
            MembershipChanged: self._on_membership_changed,
            PermitRequested: self._on_permit_requested,
            PermitReturned: self._on_permit_returned,
            PermitReleaseRequested: self._on_permit_release_requested,
            TableTransactReplied: self._on_transact_replied,
            TableReadReplied: self._on_read_replied,
            InstanceListReplied: self._on_list_replied,
            _ListDue: self._on_list_due,
            _RetryDue: self._on_retry_due,
            _DeadlinePassed: self._on_deadline_passed,
            _IdleDue: self._on_idle_due,
            _WriteDue: self._on_write_due,
        }

    def open(self) -> None:
        """Start to read the platform's list of instances."""
        self._on_list_due(_ListDue())

    # State of other instances

    def _on_configuration_changed(self, message: ConfigurationChanged) -> None:
        self._configuration = message.configuration
        servers = message.configuration.servers
        for permit, view in list(self._views.items()):
            if permit.server_id not in servers and view.phase == UNHELD:
                del self._views[permit]

    def _on_membership_changed(self, message: MembershipChanged) -> None:
        for member in message.members:
            known = self._incarnations.get(member.instance_id, 0)
            self._incarnations[member.instance_id] = max(known, member.incarnation)

    def _on_list_due(self, message: _ListDue) -> None:
        self.call_after(INSTANCE_LIST_INTERVAL_MS, message)
        # Once this instance is listed, only pending requests need the list.
        # A holder found to be absent counts as absent until the list is read
        # again.
        if self._is_listed and not self._pending_requests:
            return
        token = next(self._tokens)
        self._list_requests[token] = self.kernel.clock.now_ms
        self.send("platform", InstanceListRequested(self.name, token))

    def _on_list_replied(self, message: InstanceListReplied) -> None:
        requested_ms = self._list_requests.pop(message.token, None)
        if requested_ms is None or not isinstance(message.result, InstanceList):
            return
        listed_ids = {entry.instance_id for entry in message.result.instances}
        self._is_listed = self._is_listed or self._holder.instance_id in listed_ids
        now_ms = self.kernel.clock.now_ms
        # Only permits that pending requests could use are updated. Updating
        # all of 10,000 known permits takes 10 ms of CPU time each second, and
        # control work may use 1.4% of a core.
        wanted = {
            permit
            for pending in self._pending_requests.values()
            for permit in self._candidate_permits(pending.request)
        }
        for permit in wanted & self._views.keys():
            self._views[permit] = self._decisions.on_list_read(
                self._views[permit], listed_ids, requested_ms, now_ms, self._list_lag_ms
            )
        self._try_grant_all()

    # Messages from users of permits

    def _on_permit_requested(self, message: PermitRequested) -> None:
        request_key = (message.reply_to, message.token)
        timer = self.kernel.call_at(
            message.deadline_ms, self.name, _DeadlinePassed(request_key)
        )
        self._pending_requests[request_key] = _PendingRequest(message, timer)
        self._try_grant(request_key)

    def _on_permit_returned(self, message: PermitReturned) -> None:
        view = self._views.get(message.permit)
        if view is None or not view.is_used:
            return
        view = return_permit(view, self.kernel.clock.now_ms)
        self._views[message.permit] = view
        if message.permit.kind != LONG or not self._is_configured(message.permit):
            self._release_permit(message.permit)
            return
        self._schedule_idle_release(message.permit)
        self._try_grant_all()

    def _on_permit_release_requested(self, message: PermitReleaseRequested) -> None:
        for permit, view in self._views.items():
            is_requested = (permit.kind, permit.server_id) == message[1:]
            if is_requested and is_idle(view):
                self._release_permit(permit)
                return

    # Pending requests

    def _try_grant_all(self) -> None:
        for request_key in list(self._pending_requests):
            self._try_grant(request_key)

    def _try_grant(self, request_key: _RequestKey) -> None:
        """Grant an idle permit, start to acquire one, or schedule a retry."""
        pending = self._pending_requests.get(request_key)
        if pending is None:
            return
        request = pending.request
        now_ms = self.kernel.clock.now_ms
        if now_ms >= request.deadline_ms:
            # After a freeze of the process, a grant would come too late.
            self._refuse_request(request_key)
            return
        permits = list(self._candidate_permits(request))
        for permit in permits:
            view = self._views.get(permit)
            if view is not None and is_idle(view):
                self._views[permit] = use_permit(view)
                self._remove_request(request_key)
                self.send(request.reply_to, PermitGranted(request.token, permit))
                return
        if pending.permit_in_progress is not None:
            return
        if not pending.is_retry_due:
            for permit in permits:
                view = self._views.get(permit) or PermitView(permit)
                if self._decisions.may_acquire(
                    view, self._holder, self._incarnations, self._is_listed
                ):
                    pending.permit_in_progress = permit
                    self._apply_step(self._decisions.begin_acquire(view, self._holder))
                    return
            self._notify_holders(permits)
        self._schedule_retry(request_key, pending)

    def _candidate_permits(self, request: PermitRequested) -> Iterator[Permit]:
        for server_id in request.server_ids:
            for number in range(self._permit_count(request.kind, server_id)):
                yield Permit(request.kind, server_id, number)

    def _permit_count(self, kind: str, server_id: str) -> int:
        server = self._configuration.servers.get(server_id)
        spec = server and self._configuration.services.get(server.service_id)
        if server is None or spec is None:
            return 0
        return long_slot_count(spec, server) if kind == LONG else 1

    def _is_configured(self, permit: Permit) -> bool:
        return permit.number < self._permit_count(permit.kind, permit.server_id)

    def _notify_holders(self, permits: list[Permit]) -> None:
        # UNHELD means not held by this instance; ``holder`` is then another.
        notices = {
            RemotePermitNeeded(
                view.holder.instance_id, permit.kind, permit.server_id
            ): None
            for permit in permits
            if (view := self._views.get(permit)) is not None
            and view.phase == UNHELD
            and view.holder is not None
        }
        for notice in list(notices)[:MAX_MESSAGES_PER_RETRY]:
            self.send("peers", notice)

    def _schedule_retry(
        self, request_key: _RequestKey, pending: _PendingRequest
    ) -> None:
        if pending.is_retry_due:
            return
        pending.is_retry_due = True
        delay_ms = RETRY_BACKOFF_MS * 2 ** min(pending.retry_count, 16)
        pending.retry_count += 1
        self.call_after(min(delay_ms, RETRY_BACKOFF_LIMIT_MS), _RetryDue(request_key))

    def _on_retry_due(self, message: _RetryDue) -> None:
        pending = self._pending_requests.get(message.request_key)
        if pending is None:
            return
        pending.is_retry_due = False
        # Other instances announce no releases, so the row has to be read.
        held_elsewhere = [
            permit
            for permit in self._candidate_permits(pending.request)
            if (view := self._views.get(permit)) is not None
            and view.phase == UNHELD
            and view.holder is not None
        ]
        for index in range(min(MAX_MESSAGES_PER_RETRY, len(held_elsewhere))):
            offset = (pending.read_offset + index) % len(held_elsewhere)
            self._read_row(held_elsewhere[offset])
        pending.read_offset += MAX_MESSAGES_PER_RETRY
        self._try_grant(message.request_key)

    def _on_deadline_passed(self, message: _DeadlinePassed) -> None:
        if message.request_key in self._pending_requests:
            self._refuse_request(message.request_key)

    def _remove_request(self, request_key: _RequestKey) -> _PendingRequest:
        pending = self._pending_requests.pop(request_key)
        self.kernel.cancel(pending.deadline_timer)
        return pending

    def _refuse_request(self, request_key: _RequestKey) -> None:
        pending = self._remove_request(request_key)
        if pending.is_store_unavailable:
            reason = "store-outage"
        else:
            reason = "no-permit-free" if self._is_listed else "not-listed"
        request = pending.request
        self.send(request.reply_to, PermitRefused(request.token, reason))

    # Permit rows

    def _apply_step(self, step: PermitStep) -> None:
        permit = step.view.permit
        self._views[permit] = step.view
        if step.write is None:
            return
        if step.write.delay_ms > 0:
            self.call_after(step.write.delay_ms, _WriteDue(permit, step.write))
        else:
            self._write_row(permit, step.write)

    def _on_write_due(self, message: _WriteDue) -> None:
        self._write_row(message.permit, message.write)

    def _write_row(self, permit: Permit, write: PermitWrite) -> None:
        token = next(self._tokens)
        self._permits_by_token[token] = permit
        key = permit_row_key(permit)
        self.send("metrics", CounterIncremented("permit_writes_total", {}))
        transaction = TableTransaction(
            f"{self._holder.instance_id}.{self._holder.incarnation}-permit-{token}",
            (RowCheck(key, write.version),),
            (RowPut(key, permit_row_value(write.holder)),),
        )
        self.send("platform", TableTransactRequested(self.name, token, transaction))

    def _read_row(self, permit: Permit) -> None:
        token = next(self._tokens)
        self._permits_by_token[token] = permit
        self.send("metrics", CounterIncremented("permit_reads_total", {}))
        self.send(
            "platform", TableReadRequested(self.name, token, permit_row_key(permit))
        )

    def _on_transact_replied(self, message: TableTransactReplied) -> None:
        permit = self._permits_by_token.pop(message.token, None)
        view = self._views.get(permit) if permit is not None else None
        if view is None:
            return
        now_ms = self.kernel.clock.now_ms
        step = self._decisions.on_write_result(
            view, message.result, self._holder, now_ms
        )
        self._apply_step(step)
        is_store_unavailable = isinstance(message.result, TableUnavailable)
        for request_key, pending in list(self._pending_requests.items()):
            if pending.permit_in_progress == permit:
                pending.is_store_unavailable = is_store_unavailable
                if step.write is None:
                    pending.permit_in_progress = None
                    if is_store_unavailable:
                        self._schedule_retry(request_key, pending)
        if is_idle(step.view):
            self._schedule_idle_release(permit)
        self._try_grant_all()

    def _on_read_replied(self, message: TableReadReplied) -> None:
        permit = self._permits_by_token.pop(message.token, None)
        view = self._views.get(permit) if permit is not None else None
        if view is None:
            return
        now_ms = self.kernel.clock.now_ms
        self._views[permit] = self._decisions.on_row_read(view, message.result, now_ms)
        self._try_grant_all()

    # Idle permits

    def _schedule_idle_release(self, permit: Permit) -> None:
        self.call_after(IDLE_PERMIT_MS, _IdleDue(permit))

    def _on_idle_due(self, message: _IdleDue) -> None:
        view = self._views.get(message.permit)
        if view is not None and is_release_due(view, self.kernel.clock.now_ms):
            self._release_permit(message.permit)

    def _release_permit(self, permit: Permit) -> None:
        self._apply_step(self._decisions.begin_release(self._views[permit]))
