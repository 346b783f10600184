"""Buckets of the workspaces whose home is this VM."""

import dataclasses

from jacinthcart.catalogue import CatalogueState, WorkspaceConfig
from jacinthcart.fleet import MemberTable
from jacinthcart.program import Clock
from jacinthcart.telemetry import Metrics
from jacinthcart.tokens import TokenBucket


@dataclasses.dataclass(frozen=True)
class QuotaParameters:
    """How an allotment is shared."""

    #: Part of the burst that a home keeps; the rest covers two homes that
    #: grant at once while the members' lists differ.
    burst_share: float = 0.9
    #: Part of its capacity that a new bucket holds. A former home may have
    #: spent the whole burst; the users' overage of a quarter covers this.
    start_share: float = 0.5
    #: Least tokens that a bucket holds, so that small rates can be used.
    least_capacity: float = 1.0


class QuotaHome:
    """Grants requests of workspaces.

    A home grants only the part of the rate that belongs to the members it
    can reach: two sides of a split together stay within the rate.
    """

    def __init__(
        self,
        catalogue_state: CatalogueState,
        members: MemberTable,
        clock: Clock,
        metrics: Metrics,
        terms: QuotaParameters,
    ) -> None:
        """Start without buckets."""
        self._catalogue_state = catalogue_state
        self._members = members
        self._clock = clock
        self._metrics = metrics
        self._terms = terms
        self._bucket_by_workspace: dict[str, TokenBucket] = {}
        self._own_bucket_by_workspace: dict[str, TokenBucket] = {}
        catalogue_state.listeners.append(self.prepare)

    def prepare(self) -> None:
        """Create the buckets of new workspaces, so that they fill."""
        catalogue = self._catalogue_state.catalogue
        for workspace in catalogue.workspaces_by_name if catalogue else ():
            if workspace not in self._bucket_by_workspace:
                self.take(workspace, 0)
                self.take_own_part(workspace, 0)

    def take(self, workspace: str, count: int) -> int:
        """Return how many of `count` requests are granted as the home."""
        share = self._members.alive_fraction
        return self._take(self._bucket_by_workspace, workspace, share, count)

    def take_own_part(self, workspace: str, count: int) -> int:
        """Return how many are granted of this VM's part, without a home."""
        share = 1 / self._members.count_members()
        buckets = self._own_bucket_by_workspace
        return self._take(buckets, workspace, share, count)

    def find_rate(self, workspace: str) -> float:
        """Return the requests per second that this home grants now."""
        return _find_bucket_rate(self._bucket_by_workspace, workspace)

    def find_own_rate(self, workspace: str) -> float:
        """Return the requests per second of this VM's part."""
        return _find_bucket_rate(self._own_bucket_by_workspace, workspace)

    def estimate_wait_s(self, workspace: str) -> float:
        """Return the seconds in which the rate brings one more request."""
        found = self._find_terms(workspace)
        return 1 / found.rate_per_s if found and found.rate_per_s else 0

    def describe(self) -> dict[str, dict[str, float]]:
        """Return rate, capacity and tokens of the workspaces kept here."""
        own_address = self._members.own.address
        return {
            workspace: {
                'rate': round(bucket.rate, 3),
                'capacity': round(bucket.capacity, 3),
                'tokens': round(bucket.level, 3),
            }
            for workspace, bucket in self._bucket_by_workspace.items()
            if self._members.rank(f'allotment/{workspace}')[:1] == [own_address]
        }

    def _take(
        self,
        buckets: dict[str, TokenBucket],
        workspace: str,
        share: float,
        count: int,
    ) -> int:
        found = self._find_terms(workspace)
        if found is None:
            return 0
        if found.rate_per_s <= 0:
            return count
        rate = found.rate_per_s * share
        burst = found.burst * share * self._terms.burst_share
        capacity = max(burst, self._terms.least_capacity)
        bucket = buckets.get(workspace)
        if bucket is None:
            bucket = TokenBucket(
                rate,
                capacity,
                self._clock,
                self._metrics,
                level=capacity * self._terms.start_share,
            )
            buckets[workspace] = bucket
        elif (bucket.rate, bucket.capacity) != (rate, capacity):
            bucket.configure(rate, capacity, self._clock())
        return bucket.take(count)

    def _find_terms(self, workspace: str) -> WorkspaceConfig | None:
        catalogue = self._catalogue_state.catalogue
        if catalogue is None:
            return None
        return catalogue.workspaces_by_name.get(workspace)


def _find_bucket_rate(buckets: dict[str, TokenBucket], workspace: str) -> float:
    bucket = buckets.get(workspace)
    return round(bucket.rate, 2) if bucket else 0
