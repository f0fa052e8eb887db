"""Who the other instances are, from heartbeats and the platform's list."""

from typing import NamedTuple


class Member(NamedTuple):
    """
    One instance as seen from here.

    ``state`` is ``live``, ``suspect`` or ``leaving``. A restarted instance
    has a higher ``incarnation``.
    """

    instance_id: str
    host: str
    port: int
    incarnation: int
    state: str
