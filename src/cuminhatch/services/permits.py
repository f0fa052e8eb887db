"""Takes, keeps and releases permits for the other services."""

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
    PermitNeeded,
    PermitRefused,
    PermitRequested,
    PermitReturned,
    PermitWanted,
    TableReadReplied,
    TableReadRequested,
    TableTransactReplied,
    TableTransactRequested,
)

LIST_INTERVAL_MS = 1000.0
RETRY_BACKOFF_MS = 50.0
RETRY_BACKOFF_LIMIT_MS = 800.0
# Bounds the reads of one request per retry, since a service may have
# thousands of backend servers.
READS_PER_RETRY = 4

_RequestKey = tuple[str, int]


class _ListDue(NamedTuple):
    pass


class _RetryDue(NamedTuple):
    request_key: _RequestKey


class _DeadlinePassed(NamedTuple):
    request_key: _RequestKey


class _IdleDue(NamedTuple):
    permit: Permit


class _WriteDue(NamedTuple):
    permit: Permit
    write: PermitWrite


class _Pending:
    """A request for a permit that waits."""

    def __init__(self, request: PermitRequested, deadline_timer: int) -> None:
        self.request = request
        self.deadline_timer = deadline_timer
        self.taking: Permit | None = None
        self.tries = 0
        self.read_offset = 0
        self.is_retry_due = False
        self.has_outage = False


class Permits(Service):
    """
    Owns the permits of this instance and what it knows of the others.

    ``probes`` asks for as many backend servers as it is due and keeps the
    permits; long work returns each permit when it has ended.
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
        Start without permits.

        :param kernel: kernel of the process.
        :param instance_id: id of this instance.
        :param incarnation: number of this process among those of the
            instance.
        :param list_lag_ms: longest lag of the platform's list.
        :param decisions: replaces the decisions, for tests.
        """
        super().__init__(kernel)
        self._me = Holder(instance_id, incarnation)
        self._list_lag_ms = list_lag_ms
        self._decisions = decisions or PermitDecisions()
        self._configuration = EMPTY_CONFIGURATION
        self._numbers = count(1)
        self._views: dict[Permit, PermitView] = {}
        self._pending: dict[_RequestKey, _Pending] = {}
        self._permit_by_token: dict[int, Permit] = {}
        self._list_asked: dict[int, float] = {}
        self._incarnations: dict[str, int] = {}
        self._is_listed = False

    def message_handlers(self) -> MessageTable:
        """Return the messages of users, peers, notes and platform."""
        return {
            ConfigurationChanged: self._on_configuration_changed,
            MembershipChanged: self._on_membership_changed,
            PermitRequested: self._on_permit_requested,
            PermitReturned: self._on_permit_returned,
            PermitWanted: self._on_permit_wanted,
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
        """Begin to follow the platform's list."""
        self._on_list_due(_ListDue())

    # What is known of the other instances

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
        self.call_after(LIST_INTERVAL_MS, message)
        # The list matters only to a request that waits; proof of absence
        # that has been begun stays valid in between.
        if self._is_listed and not self._pending:
            return
        token = next(self._numbers)
        self._list_asked[token] = self.kernel.clock.now_ms
        self.send("platform", InstanceListRequested(self.name, token))

    def _on_list_replied(self, message: InstanceListReplied) -> None:
        asked_ms = self._list_asked.pop(message.token, None)
        if asked_ms is None or not isinstance(message.result, InstanceList):
            return
        listed_ids = {entry.instance_id for entry in message.result.instances}
        self._is_listed = self._is_listed or self._me.instance_id in listed_ids
        now_ms = self.kernel.clock.now_ms
        # Noting the list on all of 10,000 known permits took 10 ms, close to
        # the 1.4% of a core that control may use.
        wanted = {
            permit
            for pending in self._pending.values()
            for permit in self._candidates(pending.request)
        }
        for permit in wanted & self._views.keys():
            self._views[permit] = self._decisions.on_list_read(
                self._views[permit], listed_ids, asked_ms, now_ms, self._list_lag_ms
            )
        self._serve_all()

    # From the users of permits

    def _on_permit_requested(self, message: PermitRequested) -> None:
        request_key = (message.reply_to, message.token)
        timer = self.kernel.call_at(
            message.deadline_ms, self.name, _DeadlinePassed(request_key)
        )
        self._pending[request_key] = _Pending(message, timer)
        self._serve(request_key)

    def _on_permit_returned(self, message: PermitReturned) -> None:
        view = self._views.get(message.permit)
        if view is None or not view.is_used:
            return
        view = return_permit(view, self.kernel.clock.now_ms)
        self._views[message.permit] = view
        if message.permit.kind != LONG or not self._is_offered(message.permit):
            self._release(message.permit)
            return
        self._watch_idle(message.permit)
        self._serve_all()

    def _on_permit_wanted(self, message: PermitWanted) -> None:
        for permit, view in self._views.items():
            is_asked = (permit.kind, permit.server_id) == message[1:]
            if is_asked and is_idle(view):
                self._release(permit)
                return

    # Requests

    def _serve_all(self) -> None:
        for request_key in list(self._pending):
            self._serve(request_key)

    def _serve(self, request_key: _RequestKey) -> None:
        """Grant an idle permit, or start to take one, or wait."""
        pending = self._pending.get(request_key)
        if pending is None:
            return
        request = pending.request
        now_ms = self.kernel.clock.now_ms
        if now_ms >= request.deadline_ms:
            # After a freeze the permit would come too late to be used.
            self._refuse(request_key)
            return
        permits = list(self._candidates(request))
        for permit in permits:
            view = self._views.get(permit)
            if view is not None and is_idle(view):
                self._views[permit] = use_permit(view)
                self._end(request_key)
                self.send(request.reply_to, PermitGranted(request.token, permit))
                return
        if pending.taking is not None:
            return
        if not pending.is_retry_due:
            for permit in permits:
                view = self._views.get(permit) or PermitView(permit)
                if self._decisions.may_take(
                    view, self._me, self._incarnations, self._is_listed
                ):
                    pending.taking = permit
                    self._take_step(self._decisions.begin_take(view, self._me))
                    return
            self._ask_holders(permits)
        self._retry_later(request_key, pending)

    def _candidates(self, request: PermitRequested) -> Iterator[Permit]:
        for server_id in request.server_ids:
            for number in range(self._permit_count(request.kind, server_id)):
                yield Permit(request.kind, server_id, number)

    def _permit_count(self, kind: str, server_id: str) -> int:
        server = self._configuration.servers.get(server_id)
        spec = server and self._configuration.services.get(server.service_id)
        if server is None or spec is None:
            return 0
        return long_slot_count(spec, server) if kind == LONG else 1

    def _is_offered(self, permit: Permit) -> bool:
        return permit.number < self._permit_count(permit.kind, permit.server_id)

    def _ask_holders(self, permits: list[Permit]) -> None:
        needs = {
            PermitNeeded(view.holder.instance_id, permit.kind, permit.server_id): None
            for permit in permits
            if (view := self._views.get(permit)) is not None
            and view.phase == UNHELD
            and view.holder is not None
        }
        for need in list(needs)[:READS_PER_RETRY]:
            self.send("peers", need)

    def _retry_later(self, request_key: _RequestKey, pending: _Pending) -> None:
        if pending.is_retry_due:
            return
        pending.is_retry_due = True
        delay_ms = RETRY_BACKOFF_MS * 2 ** min(pending.tries, 16)
        pending.tries += 1
        self.call_after(min(delay_ms, RETRY_BACKOFF_LIMIT_MS), _RetryDue(request_key))

    def _on_retry_due(self, message: _RetryDue) -> None:
        pending = self._pending.get(message.request_key)
        if pending is None:
            return
        pending.is_retry_due = False
        # A release by another instance shows only in the row.
        held_elsewhere = [
            permit
            for permit in self._candidates(pending.request)
            if (view := self._views.get(permit)) is not None
            and view.phase == UNHELD
            and view.holder is not None
        ]
        for index in range(min(READS_PER_RETRY, len(held_elsewhere))):
            offset = (pending.read_offset + index) % len(held_elsewhere)
            self._read(held_elsewhere[offset])
        pending.read_offset += READS_PER_RETRY
        self._serve(message.request_key)

    def _on_deadline_passed(self, message: _DeadlinePassed) -> None:
        if message.request_key in self._pending:
            self._refuse(message.request_key)

    def _end(self, request_key: _RequestKey) -> _Pending:
        pending = self._pending.pop(request_key)
        self.kernel.cancel(pending.deadline_timer)
        return pending

    def _refuse(self, request_key: _RequestKey) -> None:
        pending = self._end(request_key)
        if pending.has_outage:
            reason = "store-outage"
        else:
            reason = "no-permit-free" if self._is_listed else "not-listed"
        request = pending.request
        self.send(request.reply_to, PermitRefused(request.token, reason))

    # Rows

    def _take_step(self, step: PermitStep) -> None:
        permit = step.view.permit
        self._views[permit] = step.view
        if step.write is None:
            return
        if step.write.delay_ms > 0:
            self.call_after(step.write.delay_ms, _WriteDue(permit, step.write))
        else:
            self._write(permit, step.write)

    def _on_write_due(self, message: _WriteDue) -> None:
        self._write(message.permit, message.write)

    def _write(self, permit: Permit, write: PermitWrite) -> None:
        token = next(self._numbers)
        self._permit_by_token[token] = permit
        key = permit_row_key(permit)
        self.send("metrics", CounterIncremented("permit_writes_total", {}))
        transaction = TableTransaction(
            f"{self._me.instance_id}.{self._me.incarnation}-permit-{token}",
            (RowCheck(key, write.version),),
            (RowPut(key, permit_row_value(write.holder)),),
        )
        self.send("platform", TableTransactRequested(self.name, token, transaction))

    def _read(self, permit: Permit) -> None:
        token = next(self._numbers)
        self._permit_by_token[token] = permit
        self.send("metrics", CounterIncremented("permit_reads_total", {}))
        self.send(
            "platform", TableReadRequested(self.name, token, permit_row_key(permit))
        )

    def _on_transact_replied(self, message: TableTransactReplied) -> None:
        permit = self._permit_by_token.pop(message.token, None)
        view = self._views.get(permit) if permit is not None else None
        if view is None:
            return
        now_ms = self.kernel.clock.now_ms
        step = self._decisions.on_write_result(view, message.result, self._me, now_ms)
        self._take_step(step)
        is_outage = isinstance(message.result, TableUnavailable)
        for request_key, pending in list(self._pending.items()):
            if pending.taking == permit:
                pending.has_outage = is_outage
                if step.write is None:
                    pending.taking = None
                    if is_outage:
                        self._retry_later(request_key, pending)
        if is_idle(step.view):
            self._watch_idle(permit)
        self._serve_all()

    def _on_read_replied(self, message: TableReadReplied) -> None:
        permit = self._permit_by_token.pop(message.token, None)
        view = self._views.get(permit) if permit is not None else None
        if view is None:
            return
        now_ms = self.kernel.clock.now_ms
        self._views[permit] = self._decisions.on_row_read(view, message.result, now_ms)
        self._serve_all()

    # Idle permits

    def _watch_idle(self, permit: Permit) -> None:
        self.call_after(IDLE_PERMIT_MS, _IdleDue(permit))

    def _on_idle_due(self, message: _IdleDue) -> None:
        view = self._views.get(message.permit)
        if view is not None and is_release_due(view, self.kernel.clock.now_ms):
            self._release(message.permit)

    def _release(self, permit: Permit) -> None:
        self._take_step(self._decisions.begin_release(self._views[permit]))
