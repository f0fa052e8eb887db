"""The ``circuits`` poller, with a direct way to the services' sockets."""

import os
from collections.abc import Callable
from select import EPOLLIN, EPOLLOUT
from typing import Any

from circuits.core.pollers import EPoll


class _Watch:
    """What is called when one socket is ready."""

    def __init__(self, owner: str) -> None:
        self.owner = owner
        self.on_readable: Callable[[], None] | None = None
        self.on_writable: Callable[[], None] | None = None

    @property
    def mask(self) -> int:
        return (EPOLLIN if self.on_readable else 0) | (
            EPOLLOUT if self.on_writable else 0
        )


class SocketPoller(EPoll):
    """
    Calls the owner of a ready socket, without an event in between.

    Sockets added through ``addReader`` and ``addWriter`` by other
    ``circuits`` components get their events as from the base class.
    """

    def __init__(self, report_failure: Callable[[str, Any, Exception], None]) -> None:
        """
        Create a poller that watches nothing.

        :param report_failure: called with the owner, None and the exception
            that left a callback.
        """
        super().__init__()
        self._report_failure = report_failure
        self._watches: dict[int, _Watch] = {}
        self._is_polling = False

    def set_reader(
        self, owner: str, fileno: int, callback: Callable[[], None] | None
    ) -> None:
        """
        Call back whenever a socket is readable, has failed or was closed.

        :param owner: name of the service that owns the socket.
        :param fileno: file descriptor of the socket.
        :param callback: called without arguments; None ends the watch.
        """
        watch = self._watches.get(fileno) or _Watch(owner)
        before = watch.mask
        watch.on_readable = callback
        self._update(fileno, watch, before)

    def set_writer(
        self, owner: str, fileno: int, callback: Callable[[], None] | None
    ) -> None:
        """
        Call back whenever a socket is writable.

        :param owner: name of the service that owns the socket.
        :param fileno: file descriptor of the socket.
        :param callback: called without arguments; None ends the watch.
        """
        watch = self._watches.get(fileno) or _Watch(owner)
        before = watch.mask
        watch.on_writable = callback
        self._update(fileno, watch, before)

    def close(self) -> None:
        """Give back the descriptors of the poller itself."""
        if self._poller.closed:
            return
        self._poller.close()
        os.close(self._ctrl_recv)
        os.close(self._ctrl_send)

    def forget(self, fileno: int) -> None:
        """
        End all watches of a socket; to be called before it is closed.

        :param fileno: file descriptor of the socket.
        """
        watch = self._watches.pop(fileno, None)
        if watch is not None:
            self._poller.unregister(fileno)
            # A callback in progress looks here for what is still wanted.
            watch.on_readable = watch.on_writable = None

    def _update(self, fileno: int, watch: _Watch, before: int) -> None:
        mask = watch.mask
        if mask == before:
            return
        if mask == 0:
            # A socket registered for nothing would still report failures,
            # again on each poll.
            self.forget(fileno)
        elif before == 0:
            self._watches[fileno] = watch
            self._poller.register(fileno, mask)
        else:
            self._poller.modify(fileno, mask)

    def resume(self) -> None:
        """
        Wake the poller from a signal handler.

        Everything else happens in the thread that polls, outside the poll,
        where the time left of the event is enough.
        """
        if self._is_polling:
            super().resume()

    def _generate_events(self, event: Any) -> None:
        # A signal handler that runs before the flag is set shortens the time
        # left, which is read after it; later ones write to the control pipe.
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
        # A failure without data is reported by whatever the owner waits for.
        is_readable = mask & ~EPOLLOUT and watch.on_readable is not None
        try:
            if is_readable:
                watch.on_readable()
            if mask & EPOLLOUT or not is_readable:
                # Looked up now, since the first callback may have ended it.
                if watch.on_writable is not None:
                    watch.on_writable()
        except Exception as error:
            self._report_failure(watch.owner, None, error)
