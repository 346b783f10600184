"""The member table: the state of every known member of the fleet."""

import dataclasses
import types

from jacinthcart.fleet._discovery import DiscoveryParameters, MemberDiscovery
from jacinthcart.fleet._member_log import MemberLog
from jacinthcart.fleet._messages import MemberRecord, MemberState
from jacinthcart.ownership import rank_owners
from jacinthcart.program import Clock
from jacinthcart.telemetry import Logger

_RANK_BY_STATE = types.MappingProxyType(
    {
        MemberState.ALIVE: 0,
        MemberState.SUSPECT: 1,
        MemberState.LEAVING: 2,
    },
)


#: Number of members up to which messages are sent at the base intervals.
_BASE_INTERVAL_MEMBERS = 32
#: Factor on the intervals between messages in the largest fleets. Store data
#: is then at most 2.6 s old after two hops, within the 4.25 s of a key lease.
_MAX_INTERVAL_FACTOR = 2.0


@dataclasses.dataclass(frozen=True)
class MemberParameters:
    """How long members and their changes are kept."""

    #: Seconds after which a suspected member is no longer assumed to use a
    #: share of the fleet-wide limits. Longer than a key lease, so that a VM
    #: that is cut off has stopped serving by then.
    removal_timeout_s: float = 20.0
    #: Seconds for which a changed record is sent to other members.
    dissemination_s: float = 4.0
    #: What is assumed while the list of members is incomplete.
    discovery: DiscoveryParameters = DiscoveryParameters()


@dataclasses.dataclass
class _MemberLists:
    """Lists derived from the records, valid until the next change."""

    #: Members that accept requests.
    alive: list[MemberRecord]
    #: Members that may use a share of the fleet-wide limits, including this
    #: VM and suspected members.
    share_holders: list[MemberRecord]
    #: Addresses of live members in rank order, by key.
    ranked_by_key: dict[str, list[str]] = dataclasses.field(
        default_factory=dict,
    )


class MemberTable:
    """Records of all members.

    A higher incarnation replaces a lower one; within an incarnation a later
    state replaces an earlier one.
    """

    def __init__(
        self,
        own: MemberRecord,
        clock: Clock,
        logger: Logger,
        params: MemberParameters,
    ) -> None:
        """Start with this VM as the only member."""
        self.own = own
        self._clock = clock
        self._logger = logger
        self._params = params
        #: Records of the other members.
        self.log = MemberLog()
        self._cached_lists: _MemberLists | None = None
        #: Tracks whether all members are known.
        self.discovery = MemberDiscovery(clock, params.discovery)

    def merge(self, record: MemberRecord, *, disseminate: bool = True) -> bool:
        """Store a record unless a newer one is known; return whether stored.

        Without `disseminate`, the record is sent to other members only in
        answer to an anti-entropy request.
        """
        if record.address == self.own.address:
            self._refute(record)
            return False
        known = self.log.get_record(record.address)
        if known is not None and not _is_newer(record, known):
            return False
        if known is None:
            self.discovery.record_new_member()
        self.log.put(record, self._clock(), disseminate=disseminate)
        self._cached_lists = None
        former = known.state.value if known else None
        if former != record.state.value:
            self._logger.info(
                'member changed',
                member=record.address,
                state=record.state.value,
                former=former,
            )
        return True

    def suspect(self, address: str, *, disseminate: bool = True) -> None:
        """Mark a member that does not answer as suspected."""
        known = self.log.get_record(address)
        if known is not None and known.state is MemberState.ALIVE:
            self.merge(
                known.model_copy(update={'state': MemberState.SUSPECT}),
                disseminate=disseminate,
            )

    def leave(self) -> None:
        """Mark this VM as leaving."""
        self.own = self.own.model_copy(update={'state': MemberState.LEAVING})
        self._cached_lists = None

    def remove_expired(self) -> None:
        """Remove members suspected or leaving for over `removal_timeout_s`."""
        before = self._clock() - self._params.removal_timeout_s
        old = [
            record.address
            for record in self.log.list_changed_before(before)
            if record.state is not MemberState.ALIVE
        ]
        for address in old:
            self.log.remove(address)
            self._logger.info('member removed', member=address)
        if old:
            self._cached_lists = None

    def list_others(self) -> list[MemberRecord]:
        """Return all other members, including suspected ones."""
        return self.log.list_records()

    def list_alive(self) -> list[MemberRecord]:
        """Return the members that accept requests, including this VM."""
        return self._get_lists().alive

    def list_share_holders(self) -> list[MemberRecord]:
        """Return the members that may use a share of the fleet-wide limits.

        This VM and suspected members are included.
        """
        return self._get_lists().share_holders

    def list_recent(self) -> list[MemberRecord]:
        """Return the records to disseminate, newest first."""
        return self.log.list_recent(
            self._clock() - self._params.dissemination_s
        )

    def estimate_member_count(self) -> int:
        """Return how many VMs may use a share of the fleet-wide limits.

        The count includes this VM. A process that has just started assumes
        more members than it knows until it has had time to discover the
        others.
        """
        return self.discovery.estimate(len(self.list_share_holders()))

    @property
    def alive_fraction(self) -> float:
        """The fraction of the members that this VM can reach."""
        return len(self.list_alive()) / max(1, self.estimate_member_count())

    def rank(self, key: str) -> list[str]:
        """Return the addresses of live members in rank order for `key`."""
        lists = self._get_lists()
        ranked = lists.ranked_by_key.get(key)
        if ranked is None:
            addresses = [record.address for record in lists.alive]
            ranked = rank_owners(key, addresses, len(addresses))
            lists.ranked_by_key[key] = ranked
        return ranked

    def compute_rank(self, key: str) -> int:
        """Return this VM's rank for `key`, from 0."""
        ranked = self.rank(key)
        if self.own.address in ranked:
            return ranked.index(self.own.address)
        return len(ranked)

    def _get_lists(self) -> _MemberLists:
        # Cached, because every message and every send of a request needs the
        # lists, while members change rarely.
        if self._cached_lists is None:
            records = self.list_others()
            alive = [one for one in records if one.state is MemberState.ALIVE]
            if self.own.state is MemberState.ALIVE:
                alive.append(self.own)
            other_holders = [
                one for one in records if one.state is not MemberState.LEAVING
            ]
            self._cached_lists = _MemberLists(alive, [*other_holders, self.own])
        return self._cached_lists

    def _refute(self, record: MemberRecord) -> None:
        is_other_process = record.incarnation > self.own.incarnation
        is_false_state = (
            record.incarnation == self.own.incarnation
            and record.state is not self.own.state
        )
        if is_other_process or is_false_state:
            self.own = self.own.model_copy(
                update={'incarnation': record.incarnation + 1},
            )
            self._cached_lists = None


def _is_newer(record: MemberRecord, known: MemberRecord) -> bool:
    if record.incarnation != known.incarnation:
        return record.incarnation > known.incarnation
    return _RANK_BY_STATE[record.state] > _RANK_BY_STATE[known.state]


def compute_interval_factor(members: MemberTable) -> float:
    """Return the factor by which message intervals are longer than the base.

    The message rate of each VM does not depend on the fleet size, but a large
    fleet sends more messages in total over charged links, and its time bounds
    are longer.
    """
    ratio = len(members.list_share_holders()) / _BASE_INTERVAL_MEMBERS
    return max(1.0, min(_MAX_INTERVAL_FACTOR, ratio))
