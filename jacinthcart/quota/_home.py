"""Token buckets of the workspaces whose home is this VM."""

import collections
import dataclasses
import math

from jacinthcart.catalogue import CatalogueState, WorkspaceConfig
from jacinthcart.fleet import MemberTable
from jacinthcart.program import Clock
from jacinthcart.quota._return_schedule import ReturnParameters, ReturnSchedule
from jacinthcart.telemetry import Metrics
from jacinthcart.tokens import TokenBucket

#: Processes of a VM whose totals are kept. A report of the former one may
#: arrive after the first of its successor.
_MAX_RUNS = 2


@dataclasses.dataclass(frozen=True)
class QuotaParameters:
    """Parameters of the token buckets."""

    #: Fraction of the burst that a home grants. The rest is headroom for two
    #: VMs that both act as the home while their member lists differ.
    burst_fraction: float = 0.9
    #: Initial level of a new bucket as a fraction of its capacity. A previous
    #: home may have spent the whole burst; the users allow a quarter more
    #: than the limit, which covers this.
    initial_fraction: float = 0.5
    #: Minimum capacity of a bucket in tokens. With less than one token, small
    #: limits could not be used at all.
    min_capacity: float = 1.0
    #: Maximum debt of a home as a multiple of the capacity. A home that could
    #: not receive reports for a while must not refuse everything as long.
    max_debt_fraction: float = 1.0
    #: When refused callers return.
    returns: ReturnParameters = ReturnParameters()


@dataclasses.dataclass(frozen=True)
class GrantReport:
    """Grants that a VM has made in place of the home of a workspace."""

    #: Address of the VM.
    source: str
    workspace: str
    #: Identifies the process of the VM, which counts from 0.
    run: int
    #: Number of such grants for this home since the start of the process.
    total: int


class QuotaHome:
    """Admits requests of the workspaces whose home is this VM.

    A home grants only a share of the rate: the fraction of the members that
    it can reach. Both sides of a network partition together therefore stay
    within the rate.

    A VM that a home doesn't answer in time asks its deputy, which grants the
    same rate and reports each grant to the home. The home owes the reported
    grants and makes none until it has paid for them, so that both together
    stay within the rate however slow the home is.
    """

    def __init__(
        self,
        catalogue_state: CatalogueState,
        members: MemberTable,
        clock: Clock,
        metrics: Metrics,
        params: QuotaParameters,
    ) -> None:
        """Create the home and subscribe to catalogue changes."""
        self._catalogue_state = catalogue_state
        self._members = members
        self._clock = clock
        self._metrics = metrics
        self._params = params
        self._bucket_by_workspace: dict[str, TokenBucket] = {}
        self._local_bucket_by_workspace: dict[str, TokenBucket] = {}
        #: Grants of deputies that this VM has not paid for yet.
        self._debt_by_workspace: collections.defaultdict[str, int] = (
            collections.defaultdict(int)
        )
        #: Highest total by run, by source and workspace; newest run last.
        self._total_by_run: dict[tuple[str, str], dict[int, int]] = {}
        #: Return times of callers that this VM refuses.
        self.returns = ReturnSchedule(clock, params.returns)
        catalogue_state.listeners.append(self.create_buckets)

    def create_buckets(self) -> None:
        """Create the buckets of new workspaces, so that they begin to fill.

        Called when the catalogue changes.
        """
        catalogue = self._catalogue_state.catalogue
        if catalogue is not None:
            self.returns.retain_only(set(catalogue.workspaces_by_name))
            self._total_by_run = {
                (source, workspace): totals
                for (source, workspace), totals in self._total_by_run.items()
                if workspace in catalogue.workspaces_by_name
            }
        for workspace in catalogue.workspaces_by_name if catalogue else ():
            if workspace not in self._bucket_by_workspace:
                self.take(workspace, 0)
                self.take_local_share(workspace, 0)

    def take(self, workspace: str, count: int) -> int:
        """Return how many of `count` requests this VM grants as the home."""
        debt = self._debt_by_workspace.pop(workspace, 0)
        if debt:
            unpaid = debt - self._take_from_rate(workspace, debt)
            if unpaid:
                self._debt_by_workspace[workspace] = unpaid
                return 0
        return self._take_from_rate(workspace, count)

    def charge(self, report: GrantReport) -> None:
        """Owe the grants that a deputy reports.

        Totals make lost, repeated and late reports harmless. Reports of
        unknown workspaces or VMs are ignored.
        """
        config = self._get_workspace_config(report.workspace)
        is_known = self._members.log.get_record(report.source) is not None
        if config is None or not is_known:
            return
        grants = self._count_new_grants(report)
        max_debt = math.ceil(
            max(config.burst, self._params.min_capacity)
            * self._params.max_debt_fraction
        )
        debt = self._debt_by_workspace[report.workspace] + grants
        self._debt_by_workspace[report.workspace] = min(debt, max_debt)
        self._metrics.count('allotment', 'charged', amount=grants)

    def take_local_share(self, workspace: str, count: int) -> int:
        """Return how many of `count` requests this VM's own share covers.

        Used if no home can be reached.
        """
        share = 1 / self._members.estimate_member_count()
        buckets = self._local_bucket_by_workspace
        return self._take(buckets, workspace, share, count)

    def get_rate(self, workspace: str) -> float:
        """Return the requests per second that this VM grants as the home.

        The rate is 0 if the workspace has no bucket.
        """
        return _get_bucket_rate(self._bucket_by_workspace, workspace)

    def get_local_rate(self, workspace: str) -> float:
        """Return the requests per second of this VM's own share.

        The rate is 0 if the workspace has no bucket.
        """
        return _get_bucket_rate(self._local_bucket_by_workspace, workspace)

    def describe(self) -> dict[str, dict[str, float]]:
        """Return the bucket states of the workspaces whose home is this VM."""
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

    def _count_new_grants(self, report: GrantReport) -> int:
        key = (report.source, report.workspace)
        totals = self._total_by_run.setdefault(key, {})
        known = totals.get(report.run)
        if known is None:
            if len(totals) >= _MAX_RUNS:
                totals.pop(next(iter(totals)))
            totals[report.run] = report.total
            return 1
        totals[report.run] = max(known, report.total)
        return totals[report.run] - known

    def _take_from_rate(self, workspace: str, count: int) -> int:
        share = self._members.alive_fraction
        return self._take(self._bucket_by_workspace, workspace, share, count)

    def _take(
        self,
        buckets: dict[str, TokenBucket],
        workspace: str,
        share: float,
        count: int,
    ) -> int:
        config = self._get_workspace_config(workspace)
        if config is None:
            return 0
        if config.rate_per_s <= 0:
            return count
        rate = config.rate_per_s * share
        burst = config.burst * share * self._params.burst_fraction
        capacity = max(burst, self._params.min_capacity)
        bucket = buckets.get(workspace)
        if bucket is None:
            bucket = TokenBucket(
                rate,
                capacity,
                self._clock,
                self._metrics,
                level=capacity * self._params.initial_fraction,
            )
            buckets[workspace] = bucket
        elif (bucket.rate, bucket.capacity) != (rate, capacity):
            bucket.configure(rate, capacity, self._clock())
        return bucket.take(count)

    def _get_workspace_config(self, workspace: str) -> WorkspaceConfig | None:
        catalogue = self._catalogue_state.catalogue
        if catalogue is None:
            return None
        return catalogue.workspaces_by_name.get(workspace)


def _get_bucket_rate(buckets: dict[str, TokenBucket], workspace: str) -> float:
    bucket = buckets.get(workspace)
    return round(bucket.rate, 2) if bucket else 0
