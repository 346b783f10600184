"""Fraction of the queries of each rank that is admitted at a delay."""

import dataclasses

from jacinthcart.catalogue import Route


@dataclasses.dataclass(frozen=True)
class BandParameters:
    """Parameters of the bands."""

    #: Seconds of the target that the network and the VM take beside service
    #: and queueing.
    reserve_s: float = 0.02
    #: Minimum fraction of a rank's queries that is admitted, relative to the
    #: next more urgent rank, so that no rank starves.
    min_relative_fraction: float = 0.25


def compute_slack_s(
    route: Route, service_time_s: float, params: BandParameters
) -> float:
    """Return the queueing delay in seconds with which a query is in time."""
    return max(0.0, route.target_s - service_time_s - params.reserve_s)


class AdmissionBands:
    """Bands of queueing delay, one for each rank of urgency.

    The routes of the bands share searchers, which work on requests in the
    order of arrival. A queue that persists therefore delays all of them and
    lets the searchers complete no more requests, so the smallest slack of the
    routes limits it. Within that limit, the fraction of admitted queries falls
    with the delay from 1 to 0, for less urgent queries at a shorter delay than
    for more urgent ones. It falls gradually: VMs that admitted all or nothing
    would fill and drain the queue by turns, because reports reach them late.
    """

    def __init__(
        self, slack_s: float, ranks: int, params: BandParameters
    ) -> None:
        """Create the bands.

        `slack_s` is the smallest slack of the routes in seconds and `ranks`
        the number of ranks of urgency.
        """
        self._slack_s = slack_s
        self._ranks = ranks
        self._params = params
        self._step_s = slack_s / (ranks + 2)

    def compute_fraction(self, rank: int, delay_s: float) -> float:
        """Return the fraction of the queries to admit, from 0 to 1.

        `rank` is 0 for the most urgent queries and `delay_s` the queueing
        delay in seconds that a query would have now.
        """
        fraction = self._compute_own_fraction(0, delay_s)
        for other in range(1, rank + 1):
            least = fraction * self._params.min_relative_fraction
            fraction = max(self._compute_own_fraction(other, delay_s), least)
        return fraction

    def _compute_own_fraction(self, rank: int, delay_s: float) -> float:
        # A delay of up to a step is left to all ranks, so that the searchers
        # have work while the VMs learn of a change. A step lies between the
        # band of the most urgent rank and the next one: the delay must not
        # reach it each time the others' queries take a moment to become few.
        full_s = self._step_s * (self._ranks - rank)
        if self._ranks > 1 and not rank:
            full_s += self._step_s
        none_s = full_s + self._step_s if rank else self._slack_s
        if delay_s <= full_s:
            return 1.0
        if delay_s >= none_s:
            return 0.0
        return (none_s - delay_s) / (none_s - full_s)
