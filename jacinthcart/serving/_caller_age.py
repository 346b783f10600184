"""How long a caller had waited before its request arrived."""

import dataclasses

from jacinthcart.routing import (
    CallerRequest,
    QuantileParameters,
    QuantileTracker,
)

#: A whole time limit is known after few requests, because most callers of a
#: route set the same one.
_LIMITS = QuantileParameters(kept=100, least_count=5, refresh_count=1)


@dataclasses.dataclass(frozen=True)
class CallerAgeParameters:
    """How the time limits of callers are read."""

    #: Quantile of a route's time limits that counts as a whole one. Most
    #: callers use a kept connection and still have all of their time.
    whole_quantile: float = 0.7
    #: Part of the route's target beyond which the caller has tried before
    #: or sets limits of its own; its target counts from the arrival then.
    #: Asking for addresses and connecting takes four ways to a VM and back.
    most_share: float = 0.5


class CallerAgeEstimator:
    """Estimates the age of requests from the time that callers have left.

    A caller that had to ask for an address or to connect first has used
    part of its target before the request arrives, and tells a time limit
    that is shorter by this part.
    """

    def __init__(self, terms: CallerAgeParameters | None = None) -> None:
        """Start without time limits."""
        self._terms = terms or CallerAgeParameters()
        self._limits = QuantileTracker(_LIMITS)

    def find_age_s(
        self,
        request: CallerRequest,
        route: str,
        target_s: float,
    ) -> float:
        """Count a request's time limit and return its age in seconds."""
        limit_s = request.deadline - request.received_at
        self._limits.add(route, limit_s)
        whole_s = self._limits.quantile_s(
            route,
            self._terms.whole_quantile,
            limit_s,
        )
        age_s = whole_s - limit_s
        if 0 < age_s <= target_s * self._terms.most_share:
            return age_s
        return 0
