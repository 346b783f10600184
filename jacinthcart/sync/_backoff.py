"""Jittered exponential delays between attempts that fail."""

import random

_FIRST_S = 0.2
_LONGEST_S = 5.0
_LOWEST_JITTER = 0.5
_GROWTH = 2


class Backoff:
    """Computes the delay before the next attempt.

    The jitter keeps the VMs of a fleet from calling a service that comes
    back all at the same moment.
    """

    def __init__(self, source: random.Random) -> None:
        """Start with the shortest delay."""
        self._random = source
        self._delay_s = _FIRST_S

    def reset(self) -> None:
        """Go back to the shortest delay after a success."""
        self._delay_s = _FIRST_S

    def next_delay(self) -> float:
        """Return the delay in seconds and double the next one."""
        delay_s = self._delay_s * self._random.uniform(_LOWEST_JITTER, 1)
        self._delay_s = min(self._delay_s * _GROWTH, _LONGEST_S)
        return delay_s
