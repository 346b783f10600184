"""Wakes tasks that wait for a change."""

import anyio


class Notifier:
    """Each `notify` wakes the tasks that wait at that moment."""

    def __init__(self) -> None:
        """Start without waiting tasks."""
        self._event = anyio.Event()

    def notify(self) -> None:
        """Wake every waiting task."""
        self._event.set()
        self._event = anyio.Event()

    async def wait(self, timeout_s: float) -> None:
        """Return at the next `notify`, at the latest after `timeout_s`."""
        event = self._event
        with anyio.move_on_after(timeout_s):
            await event.wait()
