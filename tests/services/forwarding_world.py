"""Forwarding with fakes of the services that it exchanges messages with."""

from collections import defaultdict
from random import Random
from types import MappingProxyType

from cuminhatch.clock import ManualClock
from cuminhatch.codecs.dialect import (
    Dialect,
    HealthCheckMetadata,
    RequestMetadata,
    ResponseMetadata,
)
from cuminhatch.codecs.http1 import Header, RequestHead, ResponseHead
from cuminhatch.decisions.configuration import (
    BackendServer,
    Configuration,
    Rule,
    ServiceSpec,
    Team,
)
from cuminhatch.decisions.credentials import digest_credential
from cuminhatch.decisions.resending import ResendLimits
from cuminhatch.decisions.server_records import ServerLoad
from cuminhatch.kernel import SUPERVISOR, HandlerFailed, Kernel, Service
from cuminhatch.messages import (
    AttemptCancelled,
    AttemptFailed,
    AttemptRequested,
    AttemptResponse,
    AttemptResponseBody,
    ConfigurationChanged,
    RequestReceived,
)
from cuminhatch.messages.loads import HealthCheckAnswered, LoadsMeasured, LoadsRequested
from cuminhatch.services.backends import BackendConnections
from cuminhatch.services.forwarding import Forwarding, ForwardingSettings

RULES = {
    "read": Rule(
        "read", "s", "*", "/read/", host="h", target_latency_ms=400.0, servers_max=2
    ),
    "write": Rule(
        "write",
        "s",
        "*",
        "/write/",
        host="h",
        is_idempotent=False,
        target_latency_ms=500.0,
        servers_max=2,
    ),
    "brief": Rule(
        "brief",
        "s",
        "*",
        "/brief/",
        host="h",
        timeout_ms=300.0,
        target_latency_ms=300.0,
        servers_max=1,
    ),
}
SETTINGS = ForwardingSettings(
    "front-1", "here", ResendLimits(0.2, 60.0, 10_000.0), 4, 6.0
)
IDLE_LOAD = (0, 0, 1.0)


TEAM_HEADERS = (b"key", b"team")


def drop_team_headers(head):
    """Return a head without key and name of a team."""
    headers = tuple(h for h in head.headers if h.name not in TEAM_HEADERS)
    return head._replace(headers=headers)


def read_request(head):
    """Read the request headers of the test dialect."""
    values = dict(head.headers)
    budget = values.get(b"wait")
    key = values.get(b"key", b"")
    headers = drop_team_headers(head).headers
    return RequestMetadata(
        values.get(b"id", b""),
        None if budget is None else float(budget),
        values.get(b"host", b"").decode(),
        headers,
        digest_credential(key) if key else b"",
        headers != head.headers,
    )


def forward_request(head, facts, forwarding):
    """Return a request head with the headers added for one attempt."""
    added = (
        Header(b"left", b"%d" % forwarding.left_ms),
        Header(b"for", forwarding.server_id.encode()),
    )
    if forwarding.team_id:
        added += (Header(b"team", forwarding.team_id.encode()),)
    headers = facts.headers if forwarding.has_teams else head.headers
    return RequestHead(head.method, head.target, headers + added)


def read_response(head):
    """Read the response headers of the test dialect."""
    values = dict(head.headers)
    ids = dict.fromkeys(value for name, value in head.headers if name == b"id")
    return ResponseMetadata(
        tuple(ids),
        b"seal" in values,
        b"not-run" in values or head.status == 421,
        head.status == 421,
        None,
        head.headers,
    )


def read_health(status, headers):
    """Read the headers of a health check of the test dialect."""
    values = dict(headers)
    load = None
    if b"load" in values:
        running, waiting, slowdown = values[b"load"].split(b",")
        load = (int(running), int(waiting), 3, float(slowdown))
    server_id = values.get(b"server", b"").decode()
    return HealthCheckMetadata(server_id, status == 200, load, b"id" in values)


DIALECT = Dialect(
    read_request, forward_request, read_response, read_health, drop_team_headers
)


def make_server(server_id, **fields):
    """Return a backend server of service ``s``."""
    values = {
        "port": 9000 + ord(server_id[-1]),
        "failure_domain": "here",
        "slots": 3,
        "connections": 200,
    }
    return BackendServer(server_id, "s", "10.0.0.1", **(values | fields))


class _FakeService(Service):
    def __init__(self, kernel, name, handle):
        super().__init__(kernel, name)
        self._handle = handle

    def deliver(self, message):
        self._handle(message)


class ForwardingWorld:
    """Forwarding, with fakes of other services that keep their messages."""

    def __init__(
        self,
        *server_ids,
        seed=1,
        has_connections=False,
        quota=None,
        settings=SETTINGS,
    ):
        self.clock = ManualClock(1000.0)
        self.kernel = Kernel(self.clock)
        self.received = defaultdict(list)
        for name in ("callers", "metrics", "event_log", SUPERVISOR):
            self._add_fake(name, self.received[name].append)
        if has_connections:
            backends = BackendConnections(self.kernel, "forwarding")
            self.kernel.register(backends).open()
        else:
            self._add_fake("backends", self.received["backends"].append)
        self._add_fake("loads", self._on_load_request)
        self.forwarding = self.kernel.register(
            Forwarding(self.kernel, DIALECT, settings, Random(seed), quota)
        )
        # (running, waiting, slowdown) by server; None for a silent server.
        self.loads = {}
        # If False, load requests are kept instead of answered.
        self.is_measuring = True
        self.unanswered_load_requests = []
        self.last_request_id = 0
        self.sequence = 0
        if server_ids:
            self.configure(*(make_server(server_id) for server_id in server_ids))

    def _add_fake(self, name, handle):
        self.kernel.register(_FakeService(self.kernel, name, handle))

    def _on_load_request(self, message: LoadsRequested):
        if not self.is_measuring:
            self.unanswered_load_requests.append(message)
        else:
            self.answer_load_request(message)

    def answer_load_request(self, message):
        """Report the loads of some servers, and that these are all."""
        for target in message.targets:
            load = self.loads.get(target.server_id, IDLE_LOAD)
            if load is not None:
                running, waiting, slowdown = load
                observed = ServerLoad(running, waiting, 3, slowdown, self.clock.now_ms)
                seen = HealthCheckAnswered(target.server_id, True, observed)
                self.kernel.send("forwarding", seen)
        self.kernel.send("forwarding", LoadsMeasured(message.token))

    def close(self):
        """Check that no handler failed, and close the kernel."""
        failed = [m for m in self.received[SUPERVISOR] if isinstance(m, HandlerFailed)]
        assert not failed
        self.kernel.close()

    def tell(self, message):
        """Send a message to forwarding and handle all that follows from it."""
        self.kernel.send("forwarding", message)
        self.run()

    def run(self):
        """Handle all queued messages."""
        for _ in range(6):
            self.kernel.tick()

    def advance(self, ms):
        """Advance the clock in small steps, handling messages after each."""
        while ms > 0:
            step = min(ms, 5.0)
            self.clock.advance(step)
            ms -= step
            self.run()

    def configure(self, *servers, rules=RULES, keys=None, teams=(), evacuated=()):
        """
        Apply a configuration.

        With ``keys``, which map keys to ids of teams, callers need one;
        ``teams`` lists teams other than ``Team(id)``.
        """
        teams_by_id = None
        if keys is not None:
            teams_by_id = {team_id: Team(team_id) for team_id in keys.values()}
            teams_by_id |= {team.team_id: team for team in teams}
        self.sequence += 1
        configuration = Configuration(
            self.sequence,
            MappingProxyType({"s": ServiceSpec("s")}),
            MappingProxyType({server.server_id: server for server in servers}),
            MappingProxyType(rules),
            None,
            teams_by_id,
            {digest_credential(key): team_id for key, team_id in (keys or {}).items()},
            frozenset(evacuated),
        )
        self.tell(ConfigurationChanged(configuration))

    def request(
        self,
        rule_id,
        wait_ms=1_200,
        body=b"",
        host=b"h",
        path=None,
        body_length=None,
        headers=(),
        is_chunked=False,
    ):
        """
        Send a request of a caller and return its id.

        With a longer ``body_length``, or in chunks, the rest of the body is
        still to come.
        """
        length = len(body) if body_length is None else body_length
        is_complete = length == len(body) and not is_chunked
        length = None if is_chunked else length
        self.last_request_id += 1
        request_id = self.last_request_id
        head = RequestHead(
            b"POST",
            path or b"/%s/x" % rule_id.encode(),
            (
                Header(b"host", host),
                Header(b"id", b"%d" % request_id),
                Header(b"wait", b"%d" % wait_ms),
                *(Header(*pair) for pair in headers),
            ),
        )
        self.tell(
            RequestReceived(
                request_id, head, length, body, is_complete, self.clock.now_ms
            )
        )
        return request_id

    def take(self, service_name, message_type):
        """Remove and return messages of one type that a fake has received."""
        received = self.received[service_name]
        found = [m for m in received if type(m) is message_type]
        received[:] = [m for m in received if type(m) is not message_type]
        return found

    def take_attempts(self):
        """Remove and return the attempts that forwarding has requested."""
        return self.take("backends", AttemptRequested)

    def take_cancelled_ids(self):
        """Remove and return the ids of attempts that were cancelled."""
        return [m.attempt_id for m in self.take("backends", AttemptCancelled)]

    def respond(
        self,
        attempt,
        status=200,
        body=b"ok",
        request_id=None,
        headers=None,
        is_reused=False,
        has_trailing_data=False,
    ):
        """Answer an attempt with a complete response."""
        response = make_response(attempt, status, body, request_id, headers)
        self.tell(
            response._replace(is_reused=is_reused, has_trailing_data=has_trailing_data)
        )

    def start_response(self, attempt, length, data):
        """Answer an attempt with a head and a part of the body."""
        response = make_response(attempt, 200, data, None, None)
        self.tell(response._replace(body_length=length, is_complete=False))

    def continue_response(self, attempt, data, is_complete):
        """Send a further part of a response body."""
        self.tell(AttemptResponseBody(attempt.attempt_id, data, is_complete))

    def refuse(self, attempt, status=503):
        """Answer that the backend server did not execute the request."""
        headers = ((b"id", get_request_id(attempt)), (b"not-run", b"1"))
        self.respond(attempt, status, b"", headers=headers)

    def fail(self, attempt, is_sent=True, is_reused=False, reason="connection failed"):
        """Report the failure of an attempt."""
        self.tell(AttemptFailed(attempt.attempt_id, reason, is_sent, is_reused))


def get_request_id(attempt):
    """Return the caller's request id that an attempt carries."""
    return dict(attempt.head.headers)[b"id"]


def make_response(attempt, status, body, request_id, headers):
    """Return the message of a complete response of a backend server."""
    if headers is None:
        caller_id = get_request_id(attempt) if request_id is None else request_id
        headers = ((b"id", caller_id), (b"seal", b"s"))
    head = ResponseHead(status, b"", tuple(Header(*pair) for pair in headers))
    return AttemptResponse(
        attempt.attempt_id, head, len(body), body, True, False, False
    )
