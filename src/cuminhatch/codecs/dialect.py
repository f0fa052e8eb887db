"""
What a front end has to read and write in the heads of messages.

The names of headers differ between front ends; what they tell does not. A
:class:`Dialect` is the set of functions that translate them.
"""

from collections.abc import Callable
from typing import NamedTuple

from cuminhatch.codecs.http1 import Header, RequestHead, ResponseHead


class ReportedLoad(NamedTuple):
    """
    Load as a backend server tells it.

    ``slowdown`` is how many times as long as usual work takes there now.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float


class CallerFacts(NamedTuple):
    """
    What the head of a request tells.

    ``request_id`` is empty if there is none. ``budget_ms`` is how long the
    caller waits, None if it does not say. ``host`` is without a port.
    ``headers`` are those to forward.
    """

    request_id: bytes
    budget_ms: float | None
    host: str
    headers: tuple[Header, ...]


class AnswerFacts(NamedTuple):
    """
    What the head of a response tells.

    ``request_id`` names the request that it answers, empty if it names none.
    ``is_vouched`` tells that a backend server has marked it as its own
    answer. ``is_not_run`` tells that the backend server has not run the
    request, ``is_other_server`` that another one than expected has the
    address. ``headers`` are those to forward.
    """

    request_id: bytes
    is_vouched: bool
    is_not_run: bool
    is_other_server: bool
    load: ReportedLoad | None
    headers: tuple[Header, ...]


class HealthFacts(NamedTuple):
    """What the answer to a health check tells, and which server gave it."""

    server_id: str
    is_healthy: bool
    load: ReportedLoad | None


class Forwarding(NamedTuple):
    """What a backend server is told about a request besides its head."""

    server_id: str
    left_ms: float


class Dialect(NamedTuple):
    """Functions that translate the heads of one front end."""

    read_request: Callable[[RequestHead], CallerFacts]
    forward_request: Callable[[RequestHead, CallerFacts, Forwarding], RequestHead]
    read_answer: Callable[[ResponseHead], AnswerFacts]
    read_health: Callable[[int, tuple[Header, ...]], HealthFacts]
