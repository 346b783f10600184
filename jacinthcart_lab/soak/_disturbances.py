"""Records when the store and the VMs are disturbed."""

import contextlib
import dataclasses
import math
import time
from collections.abc import Iterator

#: The users' `contact_ms` in seconds: bounds hold for a VM if neither it nor
#: the store has been disturbed for so long.
_CONTACT_S = 4.0


@dataclasses.dataclass
class Disturbance:
    """A disturbance of the store or of one VM."""

    #: Number of the VM; None for the store.
    vm: int | None
    #: Time of the start, in seconds on the monotonic clock.
    since: float
    #: Time of the end; infinite while it lasts.
    until: float = math.inf


class Disturbances:
    """All disturbances of a soak."""

    def __init__(self) -> None:
        """Create without a disturbance."""
        self._disturbances: list[Disturbance] = []
        #: Number of series that have not ended.
        self._expected = 0

    @contextlib.contextmanager
    def record(self, vm: int | None) -> Iterator[None]:
        """Record a disturbance while the context is open."""
        disturbance = Disturbance(vm, time.monotonic())
        self._disturbances.append(disturbance)
        try:
            yield
        finally:
            disturbance.until = time.monotonic()

    def add(self, disturbance: Disturbance) -> None:
        """Add a disturbance with known times."""
        self._disturbances.append(disturbance)

    @property
    def is_active(self) -> bool:
        """Whether a disturbance lasts or is still to come."""
        return self._expected > 0 or any(
            one.until == math.inf for one in self._disturbances
        )

    @contextlib.contextmanager
    def expect_more(self) -> Iterator[None]:
        """Count as active throughout, as disturbances come in series."""
        self._expected += 1
        try:
            yield
        finally:
            self._expected -= 1

    def is_in_touch(self, vm: int, at: float) -> bool:
        """Return whether the bounds hold for a VM at a time."""
        return self.compute_stable_at(at) <= at and not any(
            one.vm == vm and _is_recent(one, at) for one in self._disturbances
        )

    def compute_stable_at(self, at: float) -> float:
        """Return `at`, or the later time at which the store is stable."""
        ends = [
            one.until + _CONTACT_S
            for one in self._disturbances
            if one.vm is None and _is_recent(one, at)
        ]
        return max((at, *ends))


def _is_recent(disturbance: Disturbance, at: float) -> bool:
    return disturbance.since <= at < disturbance.until + _CONTACT_S
