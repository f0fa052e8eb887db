"""Service that runs the plan of one command."""

from collections.abc import Sequence

import orjson

from cuminhatch.cli.plans import ApiFailed, ApiReply, ApiRequest, Plan
from cuminhatch.codecs.http1 import Header
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import HttpFailed, HttpReplied, HttpRequested

# Longer than the daemon's timeout for the submission of a note, which waits
# for the table service.
REPLY_TIMEOUT_MS = 20_000


class PlanRunner(Service):
    """Sends the requests of a plan and collects the replies."""

    name = "command"

    def __init__(self, kernel: Kernel, plan: Plan, operators_key: str) -> None:
        """
        Create the service for one plan.

        :param kernel: kernel of the process.
        :param plan: requests to send.
        :param operators_key: bearer token of the operators' API.
        """
        super().__init__(kernel)
        self._plan = plan
        self._operators_key = operators_key
        self._replies: dict[int, ApiReply | ApiFailed] = {}
        self._expected_replies = 0

    def message_handlers(self) -> MessageTable:
        """Return the handlers for replies of the HTTP client."""
        return {HttpReplied: self._on_http_replied, HttpFailed: self._on_http_failed}

    @property
    def replies(self) -> Sequence[ApiReply | ApiFailed]:
        """Return the replies in the order of the requests."""
        return [self._replies[token] for token in sorted(self._replies)]

    def open(self) -> None:
        """Send all requests; if the plan is a failover, only the first."""
        request_count = 1 if self._plan.is_failover else len(self._plan.requests)
        for token in range(request_count):
            self._send_request(token)
        if not self._plan.requests:
            self.kernel.stop()

    def _send_request(self, token: int) -> None:
        request: ApiRequest = self._plan.requests[token]
        self._expected_replies += 1
        headers = (
            Header(b"host", f"{request.daemon.host}:{request.daemon.port}".encode()),
            Header(b"authorization", f"Bearer {self._operators_key}".encode()),
        )
        self.send(
            "http_client",
            HttpRequested(
                self.name,
                token,
                request.daemon,
                request.method,
                request.target,
                headers,
                request.body,
                REPLY_TIMEOUT_MS,
            ),
        )

    def _on_http_replied(self, message: HttpReplied) -> None:
        daemon = self._plan.requests[message.token].daemon
        try:
            value = orjson.loads(message.body)
        except orjson.JSONDecodeError:
            value = message.body.decode("utf-8", "replace")
        self._replies[message.token] = ApiReply(daemon, message.status, value)
        self._stop_when_complete()

    def _on_http_failed(self, message: HttpFailed) -> None:
        daemon = self._plan.requests[message.token].daemon
        self._replies[message.token] = ApiFailed(
            daemon, message.reason, message.is_sent
        )
        next_token = message.token + 1
        if (
            self._plan.is_failover
            and not message.is_sent
            and next_token < len(self._plan.requests)
        ):
            self._send_request(next_token)
        self._stop_when_complete()

    def _stop_when_complete(self) -> None:
        if len(self._replies) == self._expected_replies:
            self.kernel.stop()
