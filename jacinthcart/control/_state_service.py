"""Answers the state polls of entry and gather."""

from typing import Any

from jacinthcart.control._neighbours import NEIGHBOURS
from jacinthcart.control._node import ControlNode
from jacinthcart.errors import InvalidMessageError

_MS_PER_S = 1000
#: Told in place of an infinite age, which JSON lacks.
_LONGEST_AGE_S = 1e6
_WAIT_SHARE_OF_LEASE = 3


class StateService:
    """Long polls with serving leases."""

    def __init__(self, node: ControlNode) -> None:
        """Serve the state of `node`."""
        self._node = node

    async def poll(
        self,
        program: str,
        after: str,
        wait_ms: int,
        ready: bool,
    ) -> dict[str, Any]:
        """Return the state at the next change or after the wait.

        Whether a lease is granted is decided when the answer is made. Raise
        InvalidMessageError for an unknown program.
        """
        if program not in NEIGHBOURS:
            raise InvalidMessageError('unknown program')
        neighbours = self._node.neighbours
        neighbours.start_poll(program, ready)
        try:
            await self._wait(after, wait_ms)
        finally:
            neighbours.end_poll(program)
        state = self._node.state.export_after(after)
        state['lease_ms'] = self._node.lease_ms
        age_s = min(self._node.rights_age.age_s, _LONGEST_AGE_S)
        state['roster_age_ms'] = int(age_s * _MS_PER_S)
        return state

    async def _wait(self, after: str, wait_ms: int) -> None:
        state = self._node.state
        if after != state.version:
            return
        lease_ms = state.view.policy.serving_lease_ms
        longest_ms = min(wait_ms, lease_ms // _WAIT_SHARE_OF_LEASE)
        await state.changed.wait(longest_ms / _MS_PER_S)
