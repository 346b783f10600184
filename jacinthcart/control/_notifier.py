"""Notification of tasks that wait for a change."""

import anyio


class Notifier:
    """Wakes all tasks that are waiting when `notify` is called."""

    def __init__(self) -> None:
        """Create a notifier without waiting tasks."""
        self._event = anyio.Event()

    def notify(self) -> None:
        """Wake all waiting tasks."""
        self._event.set()
        self._event = anyio.Event()

    async def wait(self, timeout_s: float) -> None:
        """Wait for the next `notify`, at most for `timeout_s`."""
        event = self._event
        with anyio.move_on_after(timeout_s):
            await event.wait()
