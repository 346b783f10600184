"""Tests of the sum of all bounds on a VM's memory."""

from unittest import TestCase, mock

from jacinthcart.front import CallerMemory
from jacinthcart.node import _memory as memory_module
from jacinthcart.node._memory import MemoryBounds

_VM_BYTES = 300_000_000
#: Resident memory of a VM's process after its start.
_START_BYTES = 43_000_000
#: Measured memory of endless responses at their limit, per byte of it.
_RESPONSE_OVERHEAD = 2.3
#: Largest response of the store or a peer, which no account counts.
_UNCOUNTED_BYTES = 16 * 1024 * 1024


class MemoryBoundsTests(TestCase):
    """Each bound may be reached at the same time as the others."""

    def test_bounds_together_are_below_the_memory_of_a_vm(self) -> None:
        """Guards against bounds that hold while the process is killed."""
        bounds = MemoryBounds(_VM_BYTES)
        params = bounds.create_connection_parameters()
        with mock.patch.object(
            memory_module, 'CallerMemory', autospec=CallerMemory
        ) as created:
            bounds.create_caller_memory(mock.Mock(), mock.Mock(), mock.Mock())
        callers = created.call_args.args[0]
        held_bytes = (
            params.max_held_bytes * _RESPONSE_OVERHEAD
            + params.max_request_bytes
            + callers.limit_bytes
            + callers.connections_bytes
        )
        self.assertLess(_START_BYTES + held_bytes + _UNCOUNTED_BYTES, _VM_BYTES)
