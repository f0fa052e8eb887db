"""The real dispatch between fakes of its neighbours, and the oracle."""

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
    AttemptBody,
    AttemptCancelled,
    AttemptFailed,
    AttemptRequested,
    AttemptResponse,
    CallerLeft,
    ClaimAbandoned,
    ClaimAnswered,
    ClaimGranted,
    ClaimLeftOpen,
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
from cuminhatch.outcomes import OUTCOME_HEADER, Outcome

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
    """A backend server of service ``s``."""
    return BackendServer(
        f"b{number}", "s", "127.0.0.1", 9000 + number, domain, slots, connections
    )


def make_configuration(sequence, servers, spec=None):
    """A configuration of one service with the rules above."""
    return Configuration(
        sequence,
        MappingProxyType({"s": spec or ServiceSpec("s")}),
        MappingProxyType({server.server_id: server for server in servers}),
        MappingProxyType(RULES),
    )


class Neighbour(Service):
    """Passes all messages of dispatch to a function."""

    def __init__(self, kernel, name, handle):
        super().__init__(kernel, name)
        self._handle = handle

    def message_handlers(self):
        return dict.fromkeys((*ALL_MESSAGES, HandlerFailed), self._handle)


class World:
    """Dispatch and its neighbours; keeps what the neighbours got."""

    def __init__(self, make_dispatch, neighbours):
        self.clock = ManualClock(1000.0)
        self.kernel = Kernel(self.clock)
        self.received = defaultdict(list)
        for name in (*neighbours, SUPERVISOR):
            handle = self._handler(name)
            self.kernel.register(Neighbour(self.kernel, name, handle))
        self.dispatch = self.kernel.register(make_dispatch(self.kernel))
        self.request_ids = 0

    def _handler(self, name):
        def handle(message):
            self.received[name].append(message)

        return handle

    def close(self):
        """Give back the descriptors of the kernel."""
        self.kernel.close()

    def tell(self, message):
        """Deliver a message to dispatch and all that follows from it."""
        self.kernel.send("dispatch", message)
        self.run()

    def run(self):
        """Handle messages until there are none."""
        for _ in range(4):
            self.kernel.tick()

    def advance(self, ms):
        """Move time on in small steps."""
        while ms > 0:
            step = min(ms, 250.0)
            self.clock.advance(step)
            ms -= step
            self.run()

    def configure(self, *servers, sequence=1, spec=None):
        """Put a configuration into force."""
        self.tell(ConfigurationChanged(make_configuration(sequence, servers, spec)))

    def request(self, kind, body=b"", is_complete=True, headers=(), trace_headers=None):
        """Send a request and return its id."""
        self.request_ids += 1
        if trace_headers is None:
            trace_headers = ((b"x-request-id", b"%d" % self.request_ids),)
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
        self.tell(
            RequestReceived(
                self.request_ids, head, length, body, is_complete, self.clock.now_ms
            )
        )
        return self.request_ids

    def take(self, name, kind=None):
        """Return and forget what a neighbour got, of one type or all."""
        # By type: messages of different types with equal fields are equal.
        received = self.received[name]
        self.received[name] = [m for m in received if kind and type(m) is not kind]
        return [m for m in received if kind is None or type(m) is kind]

    def attempts(self):
        """Return and forget the attempts that dispatch asked for."""
        return self.take("backends", AttemptRequested)

    def answer(self, attempt, status=200, body=b"ok", headers=()):
        """Answer an attempt in one message."""
        head = ResponseHead(status, b"", tuple(Header(*h) for h in headers))
        message = AttemptResponse(attempt.attempt_id, head, len(body), body, True)
        self.tell(message)

    def shed(self, attempt):
        """Answer that the backend server did not run the request."""
        self.answer(attempt, 503, b"full", ((b"request-outcome", b"not-run"),))

    def fail(self, attempt, is_sent=True, is_reused=False, reason="connection failed"):
        """Fail an attempt."""
        self.tell(AttemptFailed(attempt.attempt_id, reason, is_sent, is_reused))


def trace_of(head):
    """Return the request id that a head carries."""
    return int(dict(head.headers)[b"x-request-id"])


class _Attempt:
    """What the backend server knows of an attempt."""

    def __init__(self, request_id, server_id):
        self.request_id = request_id
        self.server_id = server_id
        self.is_open = True
        # Whether the backend server may have acted on the request.
        self.is_maybe_run = True
        self.body = b""
        self.sent = 0


class _Caller:
    """What the caller has got."""

    def __init__(self, kind, is_keyed):
        self.kind = kind
        self.is_keyed = is_keyed
        self.is_here = True
        self.is_ended = False
        self.got = None
        self.claim = "none"
        self.claim_end = None
        self.answer = None


class Oracle:
    """
    The neighbours of dispatch, and the rules that hold for what they get.

    A broken rule is an AssertionError.
    """

    def __init__(self, make_dispatch, neighbours):
        self.world = World(make_dispatch, neighbours)
        self.callers = {}
        self.attempts = {}
        self.permits = {}
        self.held = []
        self.waiting_permits = []
        self.servers = []
        self.leaving = frozenset()
        self.sequence = 0
        self.void_waiting = []
        # Set once a rule is broken; later findings would only follow from it.
        self.is_broken = False
        self.configure(range(3))

    def configure(self, numbers):
        """Put a configuration with these servers into force."""
        self.sequence += 1
        self.servers = [f"b{number}" for number in numbers]
        self.world.configure(
            *(make_server(number) for number in numbers), sequence=self.sequence
        )
        self.check()

    def open_request(self, kind, is_keyed, body, is_complete):
        """A caller sends a request."""
        headers = ((b"idempotency-key", b"k"),) if is_keyed else ()
        number = self.world.request_ids + 1
        keyed = is_keyed and kind == "write"
        self.callers[number] = _Caller(kind, keyed)
        self.world.request(kind, body, is_complete, headers)
        self.check()

    def tell(self, message):
        """Tell dispatch something and check what comes of it."""
        self.world.tell(message)
        self.check()

    def leave(self, request_id):
        """A caller disconnects."""
        caller = self.callers[request_id]
        if not caller.is_ended:
            caller.is_here = False
            caller.is_ended = True
            self.tell(CallerLeft(request_id))

    def respond(self, attempt_id, part, is_last):
        """A backend server sends its head, or a part of its body."""
        attempt = self.attempts[attempt_id]
        if not attempt.body:
            attempt.body = b"%d by %d" % (attempt.request_id, attempt_id)
        if not attempt.is_open:
            # Late: the whole answer once more.
            head = ResponseHead(200, b"OK", ())
            body = attempt.body
            self.tell(AttemptResponse(attempt_id, head, len(body), body, True))
            self.tell(AttemptBody(attempt_id, body, True))
            return
        is_first = attempt.sent == 0
        left = attempt.body[attempt.sent :]
        data = left if is_last else left[: min(part, len(left) - 1)]
        attempt.sent += len(data)
        attempt.is_open = not is_last
        if is_first and not data:
            return
        if is_first:
            head = ResponseHead(200, b"OK", ())
            size = len(attempt.body)
            self.tell(AttemptResponse(attempt_id, head, size, data, is_last))
        else:
            self.tell(AttemptBody(attempt_id, data, is_last))

    def cut(self, attempt_id):
        """A backend server ends its answer too early."""
        attempt = self.attempts[attempt_id]
        if attempt.is_open and attempt.sent:
            attempt.is_open = False
            self.tell(AttemptBody(attempt_id, b"", True))

    def fail(self, attempt_id, is_sent, is_reused):
        """An attempt fails; after the head it was certainly sent."""
        attempt = self.attempts[attempt_id]
        if attempt.is_open:
            attempt.is_open = False
            attempt.is_maybe_run = is_sent or attempt.sent > 0
        is_sent = attempt.is_maybe_run
        reason = "timeout" if is_reused else "connection failed"
        self.tell(AttemptFailed(attempt_id, reason, is_sent, is_reused))

    def shed(self, attempt_id):
        """A backend server refuses a request without running it."""
        attempt = self.attempts[attempt_id]
        if attempt.is_open and attempt.sent == 0:
            attempt.is_open = False
            attempt.is_maybe_run = False
            headers = (Header(b"request-outcome", b"not-run"),)
            head = ResponseHead(503, b"", headers)
            self.tell(AttemptResponse(attempt_id, head, 4, b"full", True))

    def decide_claim(self, request_id, is_granted):
        """``claims`` answers a request for a claim."""
        caller = self.callers[request_id]
        if caller.claim != "wanted":
            return
        if is_granted:
            caller.claim = "granted"
            self.tell(ClaimGranted(request_id, f"c{request_id}"))
        else:
            caller.claim = "refused"
            refusal = ClaimRefused(request_id, Outcome.UNKNOWN, 504, "claimed", None)
            self.tell(refusal)

    def decide_void(self, is_confirmed):
        """``claims`` tells the end of the oldest void."""
        if self.void_waiting:
            request_id = self.void_waiting.pop(0)
            caller = self.callers[request_id]
            caller.claim = "void" if is_confirmed else "unvoided"
            self.tell(ClaimVoided(request_id, is_confirmed))

    def decide_permit(self, is_granted):
        """``permits`` answers the oldest request for a permit."""
        if not self.waiting_permits:
            return
        wanted = self.waiting_permits.pop(0)
        if is_granted and wanted.server_ids:
            permit = Permit("long", wanted.server_ids[0], wanted.token)
            self.held.append(permit)
            self.tell(PermitGranted(wanted.token, permit))
        else:
            self.tell(PermitRefused(wanted.token, "none free"))

    # Checks

    def check(self):
        """Check all that dispatch has sent since the last time."""
        world = self.world
        self.is_broken = True
        for failed in world.take(SUPERVISOR):
            raise AssertionError(failed)
        for message in world.take("permits"):
            self._check_permit(message)
        for message in world.take("claims"):
            self._check_claim(message)
        for message in world.take("backends"):
            self._check_backend(message)
        for message in world.take("callers"):
            self._check_caller(message)
        self.is_broken = False

    def _check_permit(self, message):
        if isinstance(message, PermitRequested):
            self.waiting_permits.append(message)
        elif isinstance(message, PermitReturned):
            self.held.remove(message.permit)

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
            assert not any(a.is_maybe_run for a in ran), "abandoned after it was sent"
            self.void_waiting.append(request_id)
        elif isinstance(message, ClaimAnswered):
            whole = [a.body for a in ran if a.sent and not a.is_open]
            assert message.answer.body in whole, "a stored answer is a whole one"
        else:
            assert isinstance(message, ClaimLeftOpen)

    def _check_backend(self, message):
        if isinstance(message, AttemptRequested):
            self._check_attempt(message)
        elif isinstance(message, AttemptCancelled):
            self.attempts[message.attempt_id].is_open = False

    def _check_attempt(self, message):
        request_id = trace_of(message.head)
        caller = self.callers[request_id]
        earlier = [a for a in self.attempts.values() if a.request_id == request_id]
        assert not any(a.is_open for a in earlier), "two attempts at a time"
        assert caller.is_here and not caller.is_ended
        assert message.server_id in self.servers, "new work for a withdrawn server"
        assert message.server_id not in self.leaving, "new work for a leaving server"
        if caller.kind == "write":
            assert not any(a.is_maybe_run for a in earlier), "sent twice"
        if caller.is_keyed:
            assert caller.claim == "granted", "sent without its claim"
        if caller.kind == "pull" and self.world.kernel.has_service("permits"):
            assert any(
                p.server_id == message.server_id and p.number == request_id
                for p in self.held
            ), "long work without a permit"
        self.attempts[message.attempt_id] = _Attempt(request_id, message.server_id)

    def _check_caller(self, message):
        if not isinstance(
            message, RequestRefused | ResponseStarted | ResponseBody | ResponseAborted
        ):
            return
        request_id = message.request_id
        caller = self.callers[request_id]
        assert not caller.is_ended, "something after the end"
        if isinstance(message, RequestRefused):
            assert caller.got is None
            caller.is_ended = True
            if message.outcome == Outcome.NOT_RUN:
                self._check_not_run(request_id, caller)
            return
        if isinstance(message, ResponseAborted):
            assert caller.got is not None
            caller.is_ended = True
            return
        if isinstance(message, ResponseStarted):
            assert caller.got is None, "two answers"
            caller.got = b""
            if (OUTCOME_HEADER, b"not-run") in message.head.headers:
                caller.is_ended = True
                self._check_not_run(request_id, caller)
                return
        assert caller.got is not None
        caller.got += message.data
        if message.is_complete:
            caller.is_ended = True
        self._check_got(request_id, caller)

    def _check_not_run(self, request_id, caller):
        for attempt in self.attempts.values():
            if attempt.request_id == request_id:
                assert not attempt.is_maybe_run, "told not-run, but was sent"
        if caller.is_keyed:
            assert caller.claim in ("none", "void"), "told not-run before the void"

    def _check_got(self, request_id, caller):
        bodies = [a.body for a in self.attempts.values() if a.request_id == request_id]
        if caller.is_ended:
            assert caller.got in bodies, "not a whole answer of its own"
        else:
            assert any(b.startswith(caller.got) for b in bodies if b), "mixed answers"

    def settle(self):
        """End all that is open; nothing may be left over."""
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
            self.world.advance(1000.0)
            self.check()
        for request_id, caller in self.callers.items():
            assert caller.is_ended, f"request {request_id} got no answer"
            assert caller.claim != "granted" or caller.claim_end is not None
        assert self.world.dispatch.request_count == 0
        for server_id in self.servers:
            assert self.world.dispatch.in_flight_of(server_id) == 0
        assert not self.held, "a permit was not returned"
