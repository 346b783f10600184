"""Figures about the memory and the processor time of the process."""

import pathlib
import resource

from jacinthcart.front import CallerMemory
from jacinthcart.routing import SearcherPools, TrafficTable
from jacinthcart.telemetry import LoopDelayRecorder

#: Names of the figures of `Diagnostics.describe_memory`.
MEMORY_NAMES = (
    'caller_held_bytes',
    'request_held_bytes',
    'response_held_bytes',
    'response_bodies',
    'response_body_bytes',
    'searcher_connections',
    'searcher_queue_bytes',
    'resident_bytes',
    'memory_limit_bytes',
)
_STATM = pathlib.Path('/proc/self/statm')
#: Position of the resident pages in this file.
_RESIDENT_FIELD = 1


class Diagnostics:
    """Figures that tell how memory and processor time are used."""

    def __init__(
        self,
        caller_memory: CallerMemory,
        pools: SearcherPools,
        traffic: TrafficTable,
        delays: LoopDelayRecorder,
        limit_bytes: int,
    ) -> None:
        """Create the figures; `run` records the delay of the event loop.

        `limit_bytes` is the memory available to the process.
        """
        self.traffic = traffic
        self._caller_memory = caller_memory
        self._pools = pools
        self._delays = delays
        self._limit_bytes = limit_bytes

    async def run(self) -> None:
        """Record the delay of the event loop until cancelled."""
        await self._delays.run()

    def describe_memory(self) -> dict[str, int]:
        """Return what accounts hold beside what exists, by name.

        Names that don't end in `_bytes` are numbers of objects. The queues
        of the kernel are asked at each call.
        """
        pools = self._pools
        bodies = pools.list_bodies()
        connections = pools.list_open_connections()
        figures = (
            self._caller_memory.held_bytes,
            pools.request_memory.held_bytes,
            pools.response_held_bytes,
            len(bodies),
            sum(body.compute_held_bytes() for body in bodies),
            len(connections),
            sum(connection.count_queue_bytes() for connection in connections),
            _read_resident_bytes(),
            self._limit_bytes,
        )
        return dict(zip(MEMORY_NAMES, figures, strict=True))


def _read_resident_bytes() -> int:
    pages = _STATM.read_text().split()[_RESIDENT_FIELD]
    return int(pages) * resource.getpagesize()
