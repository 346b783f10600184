"""Exponential backoff with jitter."""

import random

_INITIAL_DELAY_S = 0.2
_MAX_DELAY_S = 5.0
_MIN_JITTER = 0.5
_GROWTH = 2


class Backoff:
    """Computes the delay before the next attempt after a failure.

    The jitter keeps the VMs of a fleet from calling a recovering service all
    at the same time.
    """

    def __init__(self, random_source: random.Random) -> None:
        """Start with the initial delay."""
        self._random = random_source
        self._delay_s = _INITIAL_DELAY_S

    def reset(self) -> None:
        """Return to the initial delay after a success."""
        self._delay_s = _INITIAL_DELAY_S

    def next_delay(self) -> float:
        """Return the delay in seconds and double the next one."""
        delay_s = self._delay_s * self._random.uniform(_MIN_JITTER, 1)
        self._delay_s = min(self._delay_s * _GROWTH, _MAX_DELAY_S)
        return delay_s
