"""Retry delays of queries that overload control refuses."""

import dataclasses
import math

from jacinthcart.program import Clock


@dataclasses.dataclass(frozen=True)
class RetryDelayParameters:
    """How refused callers are spread over time."""

    #: Minimum period in seconds over which they return.
    min_spread_s: float = 0.1
    #: Seconds without a refusal after which an overload has ended.
    calm_s: float = 1.0


class RetryDelays:
    """Computes retry delays from the present overload.

    Nothing tells how long an overload will last; it is expected to last about
    as long as it already has. Callers return within that time, later the fewer
    of them can be served now.
    """

    def __init__(self, clock: Clock, params: RetryDelayParameters) -> None:
        """Start without an overload."""
        self._clock = clock
        self._params = params
        self._started_at = -math.inf
        self._refused_at = -math.inf

    def record_refusal(self) -> None:
        """Record that a query was refused."""
        now = self._clock()
        if now - self._refused_at > self._params.calm_s:
            self._started_at = now
        self._refused_at = now

    def compute_retry_after_s(
        self,
        delay_s: float,
        fraction: float,
        position: float,
        latest_s: float,
    ) -> float:
        """Return the seconds after which a refused caller may return.

        `delay_s` is the queueing delay, after which the present queue is
        worked off, and `fraction` the fraction of queries that is admitted.
        `position` is the place of the caller among all that return, from 0 to
        1, and `latest_s` the time until which a return is of use.
        """
        lasted_s = self._clock() - self._started_at
        spread_s = max(self._params.min_spread_s, lasted_s * (1 - fraction))
        retry_after_s = delay_s + spread_s * position
        if latest_s < delay_s:
            # No return is of use. Returning at once would only add load.
            return retry_after_s
        return min(retry_after_s, latest_s)
