"""The clock that leases and lifetimes are counted on."""

import time
from collections.abc import Callable

#: Returns seconds; never goes back.
Clock = Callable[[], float]


def read_boot_clock() -> float:
    """Return seconds since boot, time of a suspended VM included.

    The monotonic clock stops while a VM is suspended, so that a lease could
    look unexpired after the VM resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
