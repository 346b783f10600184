"""Budget of sends beyond the first of each request, for each service."""

import dataclasses
from collections.abc import Callable

from jacinthcart.program import Clock


@dataclasses.dataclass(frozen=True)
class BudgetParameters:
    """The fleet's budget for one service."""

    #: Extra sends for each request (platform contract).
    ratio: float
    #: Extra sends in a window beyond the ratio, for the fleet together.
    slack: float
    #: Length of the window in seconds (platform contract).
    window_s: float = 10.0
    #: Part of both that is used; the rest covers requests that end up in
    #: another window than their extra sends.
    used_share: float = 0.85


class ExtraSendBudget:
    """Permits extra sends of one VM within its part of the budget.

    Each first send earns the ratio, and the bucket never holds more than
    the VM's part of the slack. So in any window the fleet's extra sends
    stay within ratio x first sends + slack, with no message between VMs.
    """

    def __init__(
        self,
        terms: BudgetParameters,
        find_share: Callable[[], float],
        clock: Clock,
    ) -> None:
        """Start with one extra send a service.

        `find_share` returns this VM's part of the fleet's slack, above 0 and
        at most 1. A predecessor of this process may have used all in the same window.
        """
        self._terms = terms
        self._find_share = find_share
        self._clock = clock
        self._started_at = clock()
        self._tokens_by_service: dict[str, float] = {}

    def earn(self, service: str) -> None:
        """Count the first send of a request to the service."""
        terms = self._terms
        capacity = self._find_capacity()
        tokens = self._find_tokens(service, capacity)
        earned = terms.ratio * terms.used_share
        self._tokens_by_service[service] = min(tokens + earned, capacity)

    def take(self, service: str, reserve: float = 0) -> bool:
        """Return whether one extra send may leave; count it.

        `reserve` is the part of the bucket, from 0 to 1, that is left for
        more urgent sends.
        """
        capacity = self._find_capacity()
        tokens = self._find_tokens(service, capacity)
        if tokens < 1 + reserve * (capacity - 1):
            return False
        self._tokens_by_service[service] = tokens - 1
        return True

    def _find_tokens(self, service: str, capacity: float) -> float:
        tokens = self._tokens_by_service.get(service)
        if tokens is not None:
            return min(tokens, capacity)
        is_new = self._clock() - self._started_at < self._terms.window_s
        return 1.0 if is_new else capacity

    def _find_capacity(self) -> float:
        terms = self._terms
        return max(1.0, terms.slack * terms.used_share * self._find_share())
