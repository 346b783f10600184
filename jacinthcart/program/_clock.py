"""The clock by which leases and lifetimes are measured."""

import time
from collections.abc import Callable

#: Returns the time in seconds; monotonic.
Clock = Callable[[], float]


#: Factor that shortens leases, lifetimes and roster ages received from other
#: processes, as clock rates differ slightly between VMs. Ages of freshness
#: proofs are lengthened by the same margin, as a proof must not look newer.
CLOCK_RATE_MARGIN = 0.99


def read_boot_clock() -> float:
    """Return the seconds since boot, including time spent suspended.

    The monotonic clock stops while a VM is suspended, so an expired lease
    could seem valid after the VM resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
