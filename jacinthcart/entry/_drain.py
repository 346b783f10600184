"""Graceful shutdown of the entry."""

from typing import Any

import anyio

from jacinthcart.feed import StateFeed
from jacinthcart.launch import StopSignal
from jacinthcart.wire import AsgiApplication

_MS_PER_S = 1000


class Drain:
    """Whether the entry leaves, and how many requests are in flight.

    A planned stop has three phases: the VM is left out of addresses but
    accepts requests; requests are refused; the server closes.
    """

    def __init__(self, feed: StateFeed) -> None:
        """Start accepting; follow the leaving mark that control sets."""
        self.in_flight = 0
        self.is_refusing = False
        self.closing = anyio.Event()
        self._feed = feed
        self._leaving = anyio.Event()
        self._idle = anyio.Event()
        feed.listeners.append(self._follow_control)

    @property
    def is_leaving(self) -> bool:
        """Return whether the VM is to be left out of addresses."""
        return self._leaving.is_set()

    def announce(self) -> None:
        """Begin the shutdown."""
        self._leaving.set()

    async def run(self) -> None:
        """Wait for the announcement, drain, then set `closing`."""
        await self._leaving.wait()
        policy = self._feed.view.policy
        announce_s = policy.drain_announce_ms / _MS_PER_S
        self._feed.is_ready = False
        await anyio.sleep(announce_s)
        self.is_refusing = True
        with anyio.move_on_after(policy.drain_limit_ms / _MS_PER_S):
            # Callers with kept connections get a typed refusal instead of
            # a closed connection for as long as the announcement took.
            await anyio.sleep(announce_s)
            await self._wait_until_idle()
        self.closing.set()

    async def follow_signal(self, stop: StopSignal) -> None:
        """Begin the shutdown once the stop signal is set."""
        await stop.event.wait()
        self.announce()

    def track(self, application: AsgiApplication) -> AsgiApplication:
        """Count requests from their arrival until their response is sent."""

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

    def _follow_control(self) -> None:
        if self._feed.is_leaving:
            self.announce()
