"""The clock that leases and lifetimes are counted on."""

import time
from collections.abc import Callable

#: Returns seconds; never goes back.
Clock = Callable[[], float]


#: Leases and lifetimes counted on another VM's clock are shortened by this
#: factor, as clock rates differ a little.
CLOCK_RATE_MARGIN = 0.99


def read_boot_clock() -> float:
    """Return seconds since boot, time of a suspended VM included.

    The monotonic clock stops while a VM is suspended, so that a lease could
    look unexpired after the VM resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
