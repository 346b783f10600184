"""Handles the state polls of entry and gather."""

from typing import Any

from jacinthcart.control._local_processes import LOCAL_PROGRAMS
from jacinthcart.control._node import ControlNode
from jacinthcart.errors import InvalidMessageError

_MS_PER_S = 1000
#: Age in seconds reported instead of an infinite one, which JSON cannot
#: represent.
_MAX_AGE_S = 1e6
#: A poll waits at most the length of a lease divided by this number.
_LEASE_WAIT_DIVISOR = 3


class StateService:
    """Serves the state by long polling and grants serving leases."""

    def __init__(self, node: ControlNode) -> None:
        """Create a service for the state of `node`."""
        self._node = node

    async def poll(
        self,
        program: str,
        after: str,
        wait_ms: int,
        ready: bool,
    ) -> dict[str, Any]:
        """Return the state after the next change or when the wait ends.

        Whether a lease is granted is decided when the response is created.
        Raise InvalidMessageError if the program is unknown.
        """
        if program not in LOCAL_PROGRAMS:
            raise InvalidMessageError('unknown program')
        local_processes = self._node.local_processes
        local_processes.start_poll(program, ready)
        try:
            await self._wait(after, wait_ms)
        finally:
            local_processes.end_poll(program)
        state = self._node.state.export_after(after)
        state['lease_ms'] = self._node.lease_ms
        age_s = min(self._node.roster_age_tracker.age_s, _MAX_AGE_S)
        state['roster_age_ms'] = int(age_s * _MS_PER_S)
        return state

    async def _wait(self, after: str, wait_ms: int) -> None:
        state = self._node.state
        if after != state.version:
            return
        lease_ms = state.view.policy.serving_lease_ms
        max_wait_ms = min(wait_ms, lease_ms // _LEASE_WAIT_DIVISOR)
        await state.changed.wait(max_wait_ms / _MS_PER_S)
