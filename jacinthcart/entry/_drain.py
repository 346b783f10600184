"""Graceful shutdown of the entry."""

import contextlib
from collections.abc import Iterator
from typing import Any

import anyio

from jacinthcart.errors import Ran, RefusalCode, RefusalError
from jacinthcart.feed import StateFeed
from jacinthcart.launch import StopSignal
from jacinthcart.wire import AsgiApplication

_MS_PER_S = 1000


class Drain:
    """Shutdown state of the entry and its number of requests in flight.

    A graceful shutdown has three phases. For `drain_announce_ms`, the VM is
    omitted from address lists but still accepts requests. Then it refuses
    new requests and waits at most `drain_limit_ms` for those in flight.
    Finally those that are left are refused and the server closes.
    """

    def __init__(self, feed: StateFeed) -> None:
        """Start in the accepting state and watch control's leaving flag."""
        self.in_flight = 0
        self.is_refusing = False
        self.closing = anyio.Event()
        self._feed = feed
        #: Scopes of the requests that the end of the drain cancels.
        self._scopes: set[anyio.CancelScope] = set()
        self._leaving = anyio.Event()
        self._idle = anyio.Event()
        feed.listeners.append(self._check_leaving)

    @property
    def is_leaving(self) -> bool:
        """Return whether the VM is to be omitted from address lists."""
        return self._leaving.is_set()

    def announce(self) -> None:
        """Begin the shutdown, whose phases `run` carries out."""
        self._leaving.set()

    async def run(self) -> None:
        """Wait until shutdown is announced, drain, then set `closing`."""
        await self._leaving.wait()
        policy = self._feed.view.policy
        announce_s = policy.drain_announce_ms / _MS_PER_S
        self._feed.is_ready = False
        await anyio.sleep(announce_s)
        self.is_refusing = True
        with anyio.move_on_after(policy.drain_limit_ms / _MS_PER_S):
            # For as long again as the announcement phase, callers on
            # keep-alive connections get a typed refusal instead of a closed
            # connection.
            await anyio.sleep(announce_s)
            await self._wait_until_idle()
        for scope in self._scopes:
            scope.cancel()
        self.closing.set()

    @contextlib.contextmanager
    def limit(self) -> Iterator[None]:
        """Cancel the block at the end of the drain.

        Raise RefusalError in that case, as the request may have run, and
        also if the drain has ended already.
        """
        if self.closing.is_set():
            raise RefusalError(RefusalCode.LEAVING)
        scope = anyio.CancelScope()
        self._scopes.add(scope)
        try:
            with scope:
                yield
        finally:
            self._scopes.discard(scope)
        if scope.cancelled_caught:
            raise RefusalError(
                RefusalCode.LEAVING,
                Ran.UNKNOWN,
                detail='the process shuts down',
            )

    async def wait_for_stop_signal(self, stop: StopSignal) -> None:
        """Begin the shutdown when the stop signal is set."""
        await stop.event.wait()
        self.announce()

    def track(self, application: AsgiApplication) -> AsgiApplication:
        """Wrap an application to count its requests in flight.

        A request counts from its arrival until its response is sent.
        """

        async def tracked(scope: Any, receive: Any, send: Any) -> None:
            if scope['type'] != 'http':
                await application(scope, receive, send)
                return
            self.in_flight += 1
            try:
                await application(scope, receive, send)
            finally:
                self._finish_request()

        return tracked

    def _finish_request(self) -> None:
        self.in_flight -= 1
        if self.in_flight == 0:
            self._idle.set()

    async def _wait_until_idle(self) -> None:
        while self.in_flight:
            self._idle = anyio.Event()
            await self._idle.wait()

    def _check_leaving(self) -> None:
        if self._feed.is_leaving:
            self.announce()
