"""Estimation of the time a caller spent before its request arrived."""

import dataclasses

from jacinthcart.routing import (
    CallerRequest,
    QuantileParameters,
    QuantileTracker,
)

#: A few requests are enough to find the full time limit of a route, because
#: most of its callers set the same one.
_LIMITS = QuantileParameters(window_size=100, min_count=5, refresh_count=1)


@dataclasses.dataclass(frozen=True)
class CallerAgeParameters:
    """Parameters for estimating the age of requests."""

    #: Quantile of the time limits of a route's requests that counts as the
    #: full limit. Most callers reuse a connection, so that their request
    #: arrives with the full limit.
    full_limit_quantile: float = 0.7
    #: Maximum plausible age as a fraction of the route's target. A larger
    #: difference from the full limit means that the caller is retrying or
    #: sets its own limit, so its target counts from the arrival. Looking up
    #: addresses and connecting takes four round trips to a VM.
    max_age_fraction: float = 0.5


class CallerAgeEstimator:
    """Estimates the age of requests from their time limits.

    A time limit is the time from the arrival of a request to its deadline. A
    caller that had to look up addresses or to connect first has spent part
    of its target before the request arrives, and it sends a time limit that
    is shorter by the time spent.
    """

    def __init__(self, params: CallerAgeParameters | None = None) -> None:
        """Create an estimator without recorded time limits."""
        self._params = params or CallerAgeParameters()
        self._limits = QuantileTracker(_LIMITS)

    def estimate_age_s(
        self,
        request: CallerRequest,
        route: str,
        target_s: float,
    ) -> float:
        """Record a request's time limit; return the request's age in seconds.

        The age is 0 if it is unknown or not plausible.
        """
        limit_s = request.deadline - request.received_at
        self._limits.add(route, limit_s)
        full_limit_s = self._limits.quantile_s(
            route,
            self._params.full_limit_quantile,
            limit_s,
        )
        age_s = full_limit_s - limit_s
        if 0 < age_s <= target_s * self._params.max_age_fraction:
            return age_s
        return 0
