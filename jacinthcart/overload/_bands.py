"""Fraction of the queries of each priority that is admitted at a delay."""

import dataclasses
from collections.abc import Iterable

from jacinthcart.catalogue import Route


@dataclasses.dataclass(frozen=True)
class BandParameters:
    """Parameters of the bands."""

    #: Seconds of the target that the network, the VM and the slowest of many
    #: shards take beside service and queueing.
    reserve_s: float = 0.02
    #: Minimum fraction of a priority's queries that is admitted, relative to
    #: the next more urgent priority, so that no priority starves.
    min_relative_fraction: float = 0.3


def compute_slack_s(
    route: Route, service_time_s: float, params: BandParameters
) -> float:
    """Return the queueing delay in seconds with which a query is in time."""
    return max(0.0, route.target_s - service_time_s - params.reserve_s)


class AdmissionBands:
    """Bands of queueing delay, one for each priority.

    The routes of the bands share searchers, which work on requests in the
    order of arrival. A queue that persists therefore delays all of them and
    lets the searchers complete no more requests, so the smallest slack of the
    routes limits it. Within that limit, the fraction of admitted queries falls
    with the delay from 1 to 0, for less urgent queries at a shorter delay than
    for more urgent ones. It falls gradually: VMs that admitted all or nothing
    would fill and drain the queue by turns, because reports reach them late.
    """

    def __init__(
        self,
        slack_s: float,
        priorities: Iterable[int],
        params: BandParameters,
    ) -> None:
        """Create the bands.

        `slack_s` is the smallest slack of the routes in seconds, `priorities`
        their priorities; 0 is the most urgent.
        """
        self._priorities = sorted(set(priorities))
        self._params = params
        self._step_s = slack_s / (len(self._priorities) + 1)

    def compute_fraction(self, priority: int, delay_s: float) -> float:
        """Return the fraction of the queries to admit, from 0 to 1.

        `priority` is one of the priorities of the bands and `delay_s` the
        queueing delay in seconds that a query would have now.
        """
        fraction = 1.0
        for rank, other in enumerate(self._priorities):
            least = fraction * self._params.min_relative_fraction if rank else 0
            fraction = max(self._compute_own_fraction(rank, delay_s), least)
            if other == priority:
                break
        return fraction

    def _compute_own_fraction(self, rank: int, delay_s: float) -> float:
        # Each band is two steps wide and overlaps the next one by a step.
        if delay_s <= 0:
            return 1.0
        if self._step_s <= 0:
            return 0.0
        none_s = self._step_s * (len(self._priorities) - rank + 1)
        return min(1.0, max(0.0, (none_s - delay_s) / (2 * self._step_s)))
