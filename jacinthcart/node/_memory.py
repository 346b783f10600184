"""Division of a VM's memory."""

from jacinthcart.front import CallerMemory, CallerMemoryParameters
from jacinthcart.node._diagnostics import Diagnostics
from jacinthcart.program import Clock
from jacinthcart.routing import (
    ConnectionParameters,
    SearcherPools,
    TrafficTable,
)
from jacinthcart.telemetry import Logger, LoopDelayRecorder, Metrics
from jacinthcart.wire import set_max_held_bytes

#: Fraction of the memory that requests and answers of callers may hold.
_CALLER_FRACTION = 0.15
#: Fraction of the memory that callers' connections themselves may take.
_CONNECTION_FRACTION = 0.22
#: Fraction of the memory that requests in progress to searchers may hold.
_REQUEST_FRACTION = 0.08
#: Fraction of the memory that one answer of the store or of a peer may take.
#: While it is decoded, its objects take up to twice that besides. Each VM
#: holds the whole table and the configuration made from it, which takes
#: several times the bytes, so a larger table would not fit any way.
_TABLE_FRACTION = 0.05
#: Fraction of the memory that responses of searchers may hold. All fractions
#: and 15 % for the process itself are 75 %; of the rest, the second copy of
#: a response and the objects of a decoded answer may take 20 %
#: (docs/design/memory-bounds.md).
_RESPONSE_FRACTION = 0.1


class MemoryBounds:
    """Creates what bounds the memory held for callers and searchers."""

    def __init__(self, memory_bytes: int) -> None:
        """Divide `memory_bytes`, the memory available to the process."""
        self._memory_bytes = memory_bytes
        #: Maximum size in bytes of an answer of the store or of a peer.
        self.max_table_bytes = int(memory_bytes * _TABLE_FRACTION)

    def bound_responses(self) -> None:
        """Bound what all responses of the store and of peers hold."""
        set_max_held_bytes(self.max_table_bytes)

    def create_caller_memory(
        self, clock: Clock, metrics: Metrics, logger: Logger
    ) -> CallerMemory:
        """Return the limit of what is held for callers."""
        params = CallerMemoryParameters(
            limit_bytes=int(self._memory_bytes * _CALLER_FRACTION),
            connections_bytes=int(self._memory_bytes * _CONNECTION_FRACTION),
        )
        return CallerMemory(params, clock, metrics, logger)

    def create_connection_parameters(self) -> ConnectionParameters:
        """Return parameters with the limits of what is held for searchers."""
        return ConnectionParameters(
            max_held_bytes=int(self._memory_bytes * _RESPONSE_FRACTION),
            max_request_bytes=int(self._memory_bytes * _REQUEST_FRACTION),
        )

    def create_diagnostics(
        self,
        caller_memory: CallerMemory,
        pools: SearcherPools,
        traffic: TrafficTable,
        clock: Clock,
        metrics: Metrics,
        logger: Logger,
    ) -> Diagnostics:
        """Return what tells how memory and processor time are used."""
        return Diagnostics(
            caller_memory,
            pools,
            traffic,
            LoopDelayRecorder(metrics, logger, clock),
            self._memory_bytes,
        )
