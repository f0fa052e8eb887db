"""Harness for the real dispatch between stub services, with an oracle."""

from collections import defaultdict
from types import MappingProxyType

from cuminhatch import ManualClock, messages
from cuminhatch.codecs.http1 import Header, RequestHead, ResponseHead
from cuminhatch.decisions.configuration import (
    BackendServer,
    Configuration,
    Rule,
    ServiceSpec,
)
from cuminhatch.decisions.permits import Permit
from cuminhatch.kernel import SUPERVISOR, HandlerFailed, Kernel, Service
from cuminhatch.messages import (
    AttemptCancelled,
    AttemptFailed,
    AttemptRequested,
    AttemptResponse,
    AttemptResponseBody,
    CallerDisconnected,
    ClaimAbandoned,
    ClaimCompleted,
    ClaimGranted,
    ClaimOutcomeUnknown,
    ClaimRefused,
    ClaimRequested,
    ClaimVoided,
    ConfigurationChanged,
    PermitGranted,
    PermitRefused,
    PermitRequested,
    PermitReturned,
    RequestReceived,
    RequestRefused,
    ResponseAborted,
    ResponseBody,
    ResponseStarted,
)
from cuminhatch.outcomes import ATTEMPT_HEADER, OUTCOME_HEADER, Outcome

ALL_MESSAGES = tuple(
    getattr(messages, name) for name in messages.__all__ if name != "Address"
)
RULES = {
    "read": Rule("read", "s", "GET", "/read"),
    "write": Rule("write", "s", "POST", "/write", is_idempotent=False),
    "put": Rule("put", "s", "PUT", "/put"),
    "pull": Rule("pull", "s", "GET", "/pull", "long", deadline_ms=9000.0),
}


def make_server(number, slots=3, connections=120, domain="a"):
    """Return a backend server of service ``s``."""
    return BackendServer(
        f"b{number}", "s", "127.0.0.1", 9000 + number, domain, slots, connections
    )


def make_configuration(sequence, servers, spec=None):
    """Return a configuration of one service with :data:`RULES`."""
    return Configuration(
        sequence,
        MappingProxyType({"s": spec or ServiceSpec("s")}),
        MappingProxyType({server.server_id: server for server in servers}),
        MappingProxyType(RULES),
    )


class StubService(Service):
    """Passes every message it receives to a function."""

    def __init__(self, kernel, name, handle):
        super().__init__(kernel, name)
        self._handle = handle

    def message_handlers(self):
        return dict.fromkeys((*ALL_MESSAGES, HandlerFailed), self._handle)


class DispatchHarness:
    """Dispatch between stub services that record the messages they receive."""

    def __init__(self, make_dispatch, stub_names):
        self.clock = ManualClock(1000.0)
        self.kernel = Kernel(self.clock)
        self.received = defaultdict(list)
        for name in (*stub_names, SUPERVISOR):
            handle = self._handler(name)
            self.kernel.register(StubService(self.kernel, name, handle))
        self.dispatch = self.kernel.register(make_dispatch(self.kernel))
        self.last_request_id = 0

    def _handler(self, name):
        def handle(message):
            self.received[name].append(message)

        return handle

    def close(self):
        """Close the file descriptors of the kernel."""
        self.kernel.close()

    def deliver(self, message):
        """Deliver a message to dispatch and handle all that follow from it."""
        self.kernel.send("dispatch", message)
        self.run()

    def run(self):
        """Run enough ticks of the kernel to handle all messages."""
        for _ in range(4):
            self.kernel.tick()

    def advance(self, ms):
        """Advance the clock in steps of at most 250 ms."""
        while ms > 0:
            step = min(ms, 250.0)
            self.clock.advance(step)
            ms -= step
            self.run()

    def configure(self, *servers, sequence=1, spec=None):
        """Deliver a configuration with these backend servers."""
        self.deliver(ConfigurationChanged(make_configuration(sequence, servers, spec)))

    def request(self, kind, body=b"", is_complete=True, headers=(), trace_headers=None):
        """Deliver a request of a caller and return its id."""
        self.last_request_id += 1
        if trace_headers is None:
            trace_headers = ((b"x-request-id", b"%d" % self.last_request_id),)
        rule = RULES[kind]
        head = RequestHead(
            rule.method.encode(),
            rule.path_prefix.encode(),
            (
                Header(b"host", b"test"),
                *(Header(*header) for header in (*trace_headers, *headers)),
            ),
        )
        length = len(body) if is_complete else None
        self.deliver(
            RequestReceived(
                self.last_request_id, head, length, body, is_complete, self.clock.now_ms
            )
        )
        return self.last_request_id

    def take(self, name, kind=None):
        """Remove and return what a stub received, of one type or all."""
        # Compares types: named tuples of different types with equal fields
        # are equal.
        received = self.received[name]
        self.received[name] = [m for m in received if kind and type(m) is not kind]
        return [m for m in received if kind is None or type(m) is kind]

    def take_attempts(self):
        """Remove and return the attempts that dispatch requested."""
        return self.take("backends", AttemptRequested)

    def respond(self, attempt, status=200, body=b"ok", headers=()):
        """Deliver the complete response to an attempt in one message."""
        head = ResponseHead(status, b"", tuple(Header(*h) for h in headers))
        message = AttemptResponse(
            attempt.attempt_id, head, len(body), body, True, False, False
        )
        self.deliver(message)

    def shed(self, attempt):
        """Respond that the backend server did not run the request."""
        self.respond(attempt, 503, b"full", ((b"request-outcome", b"not-run"),))

    def fail(self, attempt, is_sent=True, is_reused=False, reason="connection failed"):
        """Report an attempt as failed."""
        self.deliver(AttemptFailed(attempt.attempt_id, reason, is_sent, is_reused))


def get_request_id(head):
    """Return the request id in the headers of a request."""
    return int(dict(head.headers)[b"x-request-id"])


class _Attempt:
    """An attempt as the backend server sees it."""

    def __init__(self, request_id, message):
        self.request_id = request_id
        self.server_id = message.server_id
        self.tag = dict(message.head.headers)[ATTEMPT_HEADER]
        self.is_new = message.is_new_connection_required
        self.is_open = True
        # Whether the backend server may have run the request.
        self.may_have_run = True
        self.body = b""
        self.sent = 0


class _Caller:
    """A caller, and what it has received."""

    def __init__(self, kind, is_keyed):
        self.kind = kind
        self.is_keyed = is_keyed
        self.is_connected = True
        self.is_ended = False
        self.received_body = None
        self.claim = "none"
        self.claim_end = None
        self.answer = None


class Oracle:
    """
    Plays the services around dispatch and checks the messages they receive.

    A violated rule raises AssertionError.
    """

    def __init__(self, make_dispatch, stub_names):
        self.harness = DispatchHarness(make_dispatch, stub_names)
        self.callers = {}
        self.attempts = {}
        self.permits = {}
        self.held_permits = []
        self.pending_permits = []
        self.server_ids = []
        self.leaving_ids = frozenset()
        self.sequence = 0
        self.pending_voids = []
        # Set once a rule is violated; later failures would follow from it.
        self.has_failed = False
        self.configure(range(3))

    def configure(self, numbers):
        """Deliver a configuration with the servers of these numbers."""
        self.sequence += 1
        self.server_ids = [f"b{number}" for number in numbers]
        self.harness.configure(
            *(make_server(number) for number in numbers), sequence=self.sequence
        )
        self.check()

    def open_request(self, kind, is_keyed, body, is_complete):
        """Deliver a request of a caller."""
        headers = ((b"idempotency-key", b"k"),) if is_keyed else ()
        number = self.harness.last_request_id + 1
        keyed = is_keyed and kind == "write"
        self.callers[number] = _Caller(kind, keyed)
        self.harness.request(kind, body, is_complete, headers)
        self.check()

    def deliver(self, message):
        """Deliver a message to dispatch and check what follows from it."""
        self.harness.deliver(message)
        self.check()

    def disconnect(self, request_id):
        """Disconnect a caller."""
        caller = self.callers[request_id]
        if not caller.is_ended:
            caller.is_connected = False
            caller.is_ended = True
            self.deliver(CallerDisconnected(request_id))

    def respond(self, attempt_id, part, is_last):
        """Deliver the response head, or a part of the body, of an attempt."""
        attempt = self.attempts[attempt_id]
        if not attempt.body:
            attempt.body = b"%d by %d" % (attempt.request_id, attempt_id)
        if not attempt.is_open:
            # A late response: the complete response is delivered again.
            head = ResponseHead(200, b"OK", ())
            body = attempt.body
            self.deliver(
                AttemptResponse(attempt_id, head, len(body), body, True, False, False)
            )
            self.deliver(AttemptResponseBody(attempt_id, body, True))
            return
        is_first = attempt.sent == 0
        left = attempt.body[attempt.sent :]
        data = left if is_last else left[: min(part, len(left) - 1)]
        attempt.sent += len(data)
        attempt.is_open = not is_last
        if is_first and not data:
            return
        if is_first:
            head = ResponseHead(200, b"OK", (Header(ATTEMPT_HEADER, attempt.tag),))
            size = len(attempt.body)
            self.deliver(
                AttemptResponse(attempt_id, head, size, data, is_last, False, False)
            )
        else:
            self.deliver(AttemptResponseBody(attempt_id, data, is_last))

    def truncate_response(self, attempt_id):
        """End a response before its body is complete."""
        attempt = self.attempts[attempt_id]
        if attempt.is_open and attempt.sent:
            attempt.is_open = False
            self.deliver(AttemptResponseBody(attempt_id, b"", True))

    def fail(self, attempt_id, is_sent, is_reused):
        """Fail an attempt; once a response has begun it counts as sent."""
        attempt = self.attempts[attempt_id]
        if attempt.is_open:
            attempt.is_open = False
            attempt.may_have_run = is_sent or attempt.sent > 0
        is_sent = attempt.may_have_run
        reason = "timeout" if is_reused else "connection failed"
        self.deliver(AttemptFailed(attempt_id, reason, is_sent, is_reused))

    def shed(self, attempt_id):
        """Refuse an attempt without running the request."""
        attempt = self.attempts[attempt_id]
        if attempt.is_open and attempt.sent == 0:
            attempt.is_open = False
            attempt.may_have_run = False
            headers = (Header(b"request-outcome", b"not-run"),)
            head = ResponseHead(503, b"", headers)
            self.deliver(
                AttemptResponse(attempt_id, head, 4, b"full", True, False, False)
            )

    def repeat_earlier_response(self, attempt_id, is_shed, has_id):
        """Deliver a response that the connection has delivered before."""
        attempt = self.attempts[attempt_id]
        earlier = [
            other_id
            for other_id, other in self.attempts.items()
            if other_id < attempt_id and other.server_id == attempt.server_id
        ]
        if not (attempt.is_open and earlier) or attempt.sent or attempt.is_new:
            return
        attempt.is_open = False
        headers = [Header(ATTEMPT_HEADER, b"i-%d" % earlier[-1])] if has_id else []
        body = self.attempts[earlier[-1]].body or b"full"
        if is_shed:
            headers.append(Header(b"request-outcome", b"not-run"))
        head = ResponseHead(503 if is_shed else 200, b"", tuple(headers))
        message = AttemptResponse(attempt_id, head, len(body), body, True, True, False)
        self.deliver(message)

    def shed_and_respond(self, attempt_id):
        """Refuse an attempt, with the response to it behind the refusal."""
        attempt = self.attempts[attempt_id]
        if not attempt.is_open or attempt.sent:
            return
        attempt.is_open = False
        headers = (
            Header(ATTEMPT_HEADER, attempt.tag),
            Header(b"request-outcome", b"not-run"),
        )
        head = ResponseHead(503, b"", headers)
        self.deliver(AttemptResponse(attempt_id, head, 4, b"full", True, False, True))

    def decide_claim(self, request_id, is_granted):
        """Grant or refuse the claim that a request waits for."""
        caller = self.callers[request_id]
        if caller.claim != "wanted":
            return
        if is_granted:
            caller.claim = "granted"
            self.deliver(ClaimGranted(request_id, f"c{request_id}"))
        else:
            caller.claim = "refused"
            refusal = ClaimRefused(request_id, Outcome.UNKNOWN, 504, "claimed", None)
            self.deliver(refusal)

    def decide_void(self, is_confirmed):
        """Confirm or fail the oldest pending void of a claim."""
        if self.pending_voids:
            request_id = self.pending_voids.pop(0)
            caller = self.callers[request_id]
            caller.claim = "void" if is_confirmed else "unvoided"
            self.deliver(ClaimVoided(request_id, is_confirmed))

    def decide_permit(self, is_granted):
        """Grant or refuse the oldest pending permit request."""
        if not self.pending_permits:
            return
        request = self.pending_permits.pop(0)
        if is_granted and request.server_ids:
            permit = Permit("long", request.server_ids[0], request.token)
            self.held_permits.append(permit)
            self.deliver(PermitGranted(request.token, permit))
        else:
            self.deliver(PermitRefused(request.token, "none free"))

    # Checks

    def check(self):
        """Check all messages that dispatch has sent since the last check."""
        harness = self.harness
        self.has_failed = True
        for failed in harness.take(SUPERVISOR):
            raise AssertionError(failed)
        for message in harness.take("permits"):
            self._check_permit(message)
        for message in harness.take("claims"):
            self._check_claim(message)
        for message in harness.take("backends"):
            self._check_backend(message)
        for message in harness.take("callers"):
            self._check_caller(message)
        self.has_failed = False

    def _check_permit(self, message):
        if isinstance(message, PermitRequested):
            self.pending_permits.append(message)
        elif isinstance(message, PermitReturned):
            self.held_permits.remove(message.permit)

    def _check_claim(self, message):
        if isinstance(message, ClaimRequested):
            caller = self.callers[message.request_id]
            assert caller.claim == "none"
            caller.claim = "wanted"
            return
        request_id = int(message.claim_id[1:])
        caller = self.callers[request_id]
        assert caller.claim_end is None, "a claim ends once"
        caller.claim_end = type(message)
        ran = [a for a in self.attempts.values() if a.request_id == request_id]
        if isinstance(message, ClaimAbandoned):
            assert not any(a.may_have_run for a in ran), (
                "abandoned after the request was sent"
            )
            self.pending_voids.append(request_id)
        elif isinstance(message, ClaimCompleted):
            complete = [a.body for a in ran if a.sent and not a.is_open]
            assert message.response.body in complete, "stored response is not complete"
        else:
            assert isinstance(message, ClaimOutcomeUnknown)

    def _check_backend(self, message):
        if isinstance(message, AttemptRequested):
            self._check_attempt(message)
        elif isinstance(message, AttemptCancelled):
            self.attempts[message.attempt_id].is_open = False

    def _check_attempt(self, message):
        request_id = get_request_id(message.head)
        caller = self.callers[request_id]
        earlier = [a for a in self.attempts.values() if a.request_id == request_id]
        assert not any(a.is_open for a in earlier), "two attempts in progress"
        assert caller.is_connected and not caller.is_ended
        assert message.server_id in self.server_ids, "new attempt to a withdrawn server"
        assert message.server_id not in self.leaving_ids, (
            "new attempt to a leaving server"
        )
        if caller.kind == "write":
            assert not any(a.may_have_run for a in earlier), (
                "sent again though it may have run"
            )
        if caller.is_keyed:
            assert caller.claim == "granted", "sent without a granted claim"
        if caller.kind == "pull" and self.harness.kernel.has_service("permits"):
            assert any(
                p.server_id == message.server_id and p.number == request_id
                for p in self.held_permits
            ), "long request without a permit"
        self.attempts[message.attempt_id] = _Attempt(request_id, message)

    def _check_caller(self, message):
        if not isinstance(
            message, RequestRefused | ResponseStarted | ResponseBody | ResponseAborted
        ):
            return
        request_id = message.request_id
        caller = self.callers[request_id]
        assert not caller.is_ended, "message after the end of the request"
        if isinstance(message, RequestRefused):
            assert caller.received_body is None
            caller.is_ended = True
            if message.outcome == Outcome.NOT_RUN:
                self._check_not_run(request_id, caller)
            return
        if isinstance(message, ResponseAborted):
            assert caller.received_body is not None
            caller.is_ended = True
            return
        if isinstance(message, ResponseStarted):
            assert caller.received_body is None, "two responses"
            caller.received_body = b""
            if (OUTCOME_HEADER, b"not-run") in message.head.headers:
                caller.is_ended = True
                self._check_not_run(request_id, caller)
                return
        assert caller.received_body is not None
        caller.received_body += message.data
        if message.is_complete:
            caller.is_ended = True
        self._check_body(request_id, caller)

    def _check_not_run(self, request_id, caller):
        for attempt in self.attempts.values():
            if attempt.request_id == request_id:
                assert not attempt.may_have_run, "reported not-run, but may have run"
        if caller.is_keyed:
            assert caller.claim in ("none", "void"), (
                "reported not-run before the claim was voided"
            )

    def _check_body(self, request_id, caller):
        bodies = [a.body for a in self.attempts.values() if a.request_id == request_id]
        if caller.is_ended:
            assert caller.received_body in bodies, (
                "not a complete response to this request"
            )
        else:
            assert any(b.startswith(caller.received_body) for b in bodies if b), (
                "mixed responses"
            )

    def settle(self):
        """End all open attempts; check that nothing is left over."""
        for attempt_id in list(self.attempts):
            if self.attempts[attempt_id].is_open:
                self.fail(attempt_id, True, False)
        for request_id in list(self.callers):
            self.decide_claim(request_id, True)
        for _ in range(12):
            self.decide_permit(False)
            self.decide_void(True)
            for attempt_id in list(self.attempts):
                if self.attempts[attempt_id].is_open:
                    self.respond(attempt_id, 1, True)
            self.harness.advance(1000.0)
            self.check()
        for request_id, caller in self.callers.items():
            assert caller.is_ended, f"request {request_id} got no response"
            assert caller.claim != "granted" or caller.claim_end is not None
        assert self.harness.dispatch.request_count == 0
        for server_id in self.server_ids:
            assert self.harness.dispatch.count_in_flight(server_id) == 0
        assert not self.held_permits, "a permit was not returned"
