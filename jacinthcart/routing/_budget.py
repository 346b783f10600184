"""Per-service budget of retries and hedges."""

import dataclasses
from collections.abc import Callable

from jacinthcart.program import Clock


@dataclasses.dataclass(frozen=True)
class BudgetParameters:
    """Fleet-wide extra-send budget of one service.

    An extra send is any send of a request after its first: a retry or a
    hedge.
    """

    #: Extra sends allowed per request (platform contract).
    ratio: float
    #: Extra sends allowed per window on top of the ratio, fleet-wide.
    slack: float
    #: Length of the window in seconds (platform contract).
    window_s: float = 10.0
    #: Fraction of `ratio` and `slack` that is used. The rest is headroom for
    #: extra sends that fall into a different window than the first send of
    #: their request.
    used_fraction: float = 0.85


class ExtraSendBudget:
    """Limits the extra sends of this VM with one token bucket per service.

    Each first send adds `ratio` tokens, and the capacity of a bucket is this
    VM's share of the slack. In any window the fleet's extra sends therefore
    stay within ratio x first sends + slack without coordination between
    VMs.
    """

    def __init__(
        self,
        params: BudgetParameters,
        compute_share: Callable[[], float],
        clock: Clock,
    ) -> None:
        """Create the budget.

        `compute_share` returns this VM's share of the fleet's slack, in the
        range (0, 1]. For one window after the start, new buckets hold one
        token, because a previous process on this VM may have spent its share
        in the same window.
        """
        self._params = params
        self._compute_share = compute_share
        self._clock = clock
        self._started_at = clock()
        self._tokens_by_service: dict[str, float] = {}

    def earn(self, service: str) -> None:
        """Add the tokens earned by the first send of a request."""
        params = self._params
        capacity = self._compute_capacity()
        tokens = self._compute_tokens(service, capacity)
        earned = params.ratio * params.used_fraction
        self._tokens_by_service[service] = min(tokens + earned, capacity)

    def take(self, service: str, reserve: float = 0) -> bool:
        """Remove a token for one extra send; return whether it may be sent.

        `reserve` is the fraction of the bucket's capacity, from 0 to 1, that
        this call must leave for more urgent sends.
        """
        capacity = self._compute_capacity()
        tokens = self._compute_tokens(service, capacity)
        if tokens < 1 + reserve * (capacity - 1):
            return False
        self._tokens_by_service[service] = tokens - 1
        return True

    def _compute_tokens(self, service: str, capacity: float) -> float:
        tokens = self._tokens_by_service.get(service)
        if tokens is not None:
            return min(tokens, capacity)
        is_new = self._clock() - self._started_at < self._params.window_s
        return 1.0 if is_new else capacity

    def _compute_capacity(self) -> float:
        params = self._params
        return max(
            1.0, params.slack * params.used_fraction * self._compute_share()
        )
