"""Tests of the sum of all bounds on a VM's memory."""

from unittest import TestCase, mock

from jacinthcart.front import CallerMemory, CallerMemoryParameters
from jacinthcart.node import _memory as memory_module
from jacinthcart.node._memory import MemoryBounds

_VM_BYTES = 300_000_000
#: Fraction of a VM's memory that it may hold.
_HELD_FRACTION = 0.75
#: Objects of an answer of the store or a peer, per byte of its bound.
_DECODED_FACTOR = 2
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
        callers = _get_caller_parameters(bounds)
        held_bytes = (
            params.max_held_bytes * _RESPONSE_OVERHEAD
            + params.max_request_bytes
            + callers.limit_bytes
            + callers.connections_bytes
        )
        self.assertLess(_START_BYTES + held_bytes + _UNCOUNTED_BYTES, _VM_BYTES)

    def test_counted_bounds_leave_room_for_copies(self) -> None:
        """Guards against bounds that only hold while nothing is copied."""
        bounds = MemoryBounds(_VM_BYTES)
        params = bounds.create_connection_parameters()
        callers = _get_caller_parameters(bounds)
        counted_bytes = (
            _START_BYTES
            + params.max_held_bytes
            + params.max_request_bytes
            + callers.limit_bytes
            + callers.connections_bytes
            + bounds.max_table_bytes
        )
        self.assertLessEqual(counted_bytes, _VM_BYTES * _HELD_FRACTION)
        copied_bytes = (
            params.max_held_bytes + _DECODED_FACTOR * bounds.max_table_bytes
        )
        self.assertLess(counted_bytes + copied_bytes, _VM_BYTES)


def _get_caller_parameters(bounds: MemoryBounds) -> CallerMemoryParameters:
    with mock.patch.object(
        memory_module, 'CallerMemory', autospec=CallerMemory
    ) as created:
        bounds.create_caller_memory(mock.Mock(), mock.Mock(), mock.Mock())
    params = created.call_args.args[0]
    assert isinstance(params, CallerMemoryParameters)
    return params
