"""``circuits`` poller that calls the owners of ready sockets directly."""

import os
from collections.abc import Callable
from select import EPOLLIN, EPOLLOUT
from typing import Any

from circuits.core.pollers import EPoll


class _Watch:
    """Callbacks for one socket."""

    def __init__(self, owner: str) -> None:
        self.owner = owner
        self.on_readable: Callable[[], None] | None = None
        self.on_writable: Callable[[], None] | None = None

    @property
    def event_mask(self) -> int:
        return (EPOLLIN if self.on_readable else 0) | (
            EPOLLOUT if self.on_writable else 0
        )


class SocketPoller(EPoll):
    """
    Calls the owner of a ready socket without a ``circuits`` event.

    Sockets that ``circuits`` components add with ``addReader`` and
    ``addWriter`` still produce the events of the base class.
    """

    def __init__(self, report_failure: Callable[[str, Any, Exception], None]) -> None:
        """
        Create a poller without sockets.

        :param report_failure: called with the owner, None in place of a
            message, and the exception raised by a callback.
        """
        super().__init__()
        self._report_failure = report_failure
        self._watches: dict[int, _Watch] = {}
        self._is_polling = False

    def set_reader(
        self, owner: str, fileno: int, callback: Callable[[], None] | None
    ) -> None:
        """
        Set the callback for a socket that is readable, failed or closed.

        :param owner: name of the service that owns the socket.
        :param fileno: file descriptor of the socket.
        :param callback: called without arguments; None to stop watching.
        """
        watch = self._watches.get(fileno) or _Watch(owner)
        old_mask = watch.event_mask
        watch.on_readable = callback
        self._update(fileno, watch, old_mask)

    def set_writer(
        self, owner: str, fileno: int, callback: Callable[[], None] | None
    ) -> None:
        """
        Set the callback for a socket that is writable.

        :param owner: name of the service that owns the socket.
        :param fileno: file descriptor of the socket.
        :param callback: called without arguments; None to stop watching.
        """
        watch = self._watches.get(fileno) or _Watch(owner)
        old_mask = watch.event_mask
        watch.on_writable = callback
        self._update(fileno, watch, old_mask)

    def close(self) -> None:
        """Close the file descriptors of the poller itself."""
        if self._poller.closed:
            return
        self._poller.close()
        os.close(self._ctrl_recv)
        os.close(self._ctrl_send)

    def unwatch(self, fileno: int) -> None:
        """
        Stop watching a socket; must be called before it is closed.

        :param fileno: file descriptor of the socket.
        """
        watch = self._watches.pop(fileno, None)
        if watch is not None:
            self._poller.unregister(fileno)
            # If ``_call_back`` is running for this socket, it must not call
            # the other callback.
            watch.on_readable = watch.on_writable = None

    def _update(self, fileno: int, watch: _Watch, old_mask: int) -> None:
        mask = watch.event_mask
        if mask == old_mask:
            return
        if mask == 0:
            # epoll reports the failure of a socket registered without events
            # on every poll.
            self.unwatch(fileno)
        elif old_mask == 0:
            self._watches[fileno] = watch
            self._poller.register(fileno, mask)
        else:
            self._poller.modify(fileno, mask)

    def resume(self) -> None:
        """
        Wake the poller after a signal handler fired an event.

        Other events are fired by the polling thread while it does not block.
        They need no wake-up: the time left of the ``generate_events`` event is
        read before the poller blocks.
        """
        if self._is_polling:
            super().resume()

    def _generate_events(self, event: Any) -> None:
        # A signal handler that runs before the flag is set reduces the time
        # left, which is read afterwards; a later one writes to the control
        # pipe.
        self._is_polling = True
        timeout_s = event.time_left
        ready = self._poller.poll(None if timeout_s < 0 else timeout_s)
        self._is_polling = False
        for fileno, mask in ready:
            watch = self._watches.get(fileno)
            if watch is None:
                self._process(fileno, mask)
            else:
                self._call_back(watch, mask)

    def _call_back(self, watch: _Watch, mask: int) -> None:
        # A failed socket is reported through whichever callback is set.
        is_readable = mask & ~EPOLLOUT and watch.on_readable is not None
        try:
            if is_readable:
                watch.on_readable()
            if mask & EPOLLOUT or not is_readable:
                # Checked here, since the first callback may have removed it.
                if watch.on_writable is not None:
                    watch.on_writable()
        except Exception as error:
            self._report_failure(watch.owner, None, error)
