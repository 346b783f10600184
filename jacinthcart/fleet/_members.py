"""The members of the fleet as this VM knows them."""

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


#: Members up to which a fleet talks at full pace.
_BASE_INTERVAL_MEMBERS = 32
#: Factor on the times between messages of the largest fleets. Readings are
#: then at most 2.6 s old after two steps, within the 4.25 s of a key lease.
_MAX_INTERVAL_FACTOR = 2.0


@dataclasses.dataclass(frozen=True)
class MemberParameters:
    """How long a silent member counts."""

    #: Seconds after which a suspect no longer counts as a holder of rights.
    #: Longer than a key lease, so that a VM that is cut off has stopped.
    removal_timeout_s: float = 20.0
    #: Seconds for which a record is passed on after it changed.
    dissemination_s: float = 4.0
    #: What is assumed while the list of members grows.
    discovery: DiscoveryParameters = DiscoveryParameters()


@dataclasses.dataclass
class _View:
    """What follows from the records until the next change."""

    #: Members that take work.
    alive: list[MemberRecord]
    #: Members that may hold rights, this VM and silent ones included.
    counted: list[MemberRecord]
    #: Addresses of live members in the order for a key.
    ranked_by_key: dict[str, list[str]] = dataclasses.field(
        default_factory=dict,
    )


class MemberTable:
    """Records of all members; newer incarnations and later states win."""

    def __init__(
        self,
        own: MemberRecord,
        clock: Clock,
        logger: Logger,
        params: MemberParameters,
    ) -> None:
        """Start with this VM alone."""
        self.own = own
        self._clock = clock
        self._logger = logger
        self._params = params
        #: Records of the others, for those who ask for them.
        self.log = MemberLog()
        self._view: _View | None = None
        #: Whether all members are known.
        self.discovery = MemberDiscovery(clock, params.discovery)

    def merge(self, record: MemberRecord, *, disseminate: bool = True) -> bool:
        """Take a record unless a newer one is known; return whether taken.

        A record that is no news is not passed on unless it is asked for.
        """
        if record.address == self.own.address:
            self._refute(record)
            return False
        known = self.log.find(record.address)
        if known is not None and not _is_newer(record, known):
            return False
        if known is None:
            self.discovery.record_new_member()
        self.log.put(record, self._clock(), disseminate=disseminate)
        self._view = None
        former = known.state.value if known else None
        if former != record.state.value:
            self._logger.info(
                'member changed',
                member=record.address,
                state=record.state.value,
                former=former,
            )
        return True

    def suspect(self, address: str) -> None:
        """Mark a member that does not answer."""
        known = self.log.find(address)
        if known is not None and known.state is MemberState.ALIVE:
            self.merge(
                known.model_copy(update={'state': MemberState.SUSPECT}),
            )

    def leave(self) -> None:
        """Tell the others that this VM stops."""
        self.own = self.own.model_copy(update={'state': MemberState.LEAVING})
        self._view = None

    def remove_expired(self) -> None:
        """Drop members that were silent or leaving for long."""
        before = self._clock() - self._params.removal_timeout_s
        old = [
            record.address
            for record in self.log.list_changed_before(before)
            if record.state is not MemberState.ALIVE
        ]
        for address in old:
            self.log.remove(address)
            self._logger.info('member forgotten', member=address)
        if old:
            self._view = None

    def list_others(self) -> list[MemberRecord]:
        """Return all other members, silent ones included."""
        return self.log.list_records()

    def list_alive(self) -> list[MemberRecord]:
        """Return the members that take work, this VM included."""
        return self._find_view().alive

    def list_counted(self) -> list[MemberRecord]:
        """Return the members that may hold rights, silent ones included."""
        return self._find_view().counted

    def list_recent(self) -> list[MemberRecord]:
        """Return the records that others may not know yet, newest first."""
        return self.log.list_recent(
            self._clock() - self._params.dissemination_s
        )

    def count_members(self) -> int:
        """Return how many VMs may hold rights, silent ones included.

        A process that has just started assumes a larger fleet than it knows
        until it had time to find the others.
        """
        return self.discovery.estimate(len(self.list_counted()))

    @property
    def alive_fraction(self) -> float:
        """Return the share of the members that this VM can reach."""
        return len(self.list_alive()) / max(1, self.count_members())

    def rank(self, key: str) -> list[str]:
        """Return the addresses of live members in the order for `key`."""
        view = self._find_view()
        ranked = view.ranked_by_key.get(key)
        if ranked is None:
            addresses = [record.address for record in view.alive]
            ranked = rank_owners(key, addresses, len(addresses))
            view.ranked_by_key[key] = ranked
        return ranked

    def find_rank(self, key: str) -> int:
        """Return this VM's place in the order for `key`, from 0."""
        ranked = self.rank(key)
        if self.own.address in ranked:
            return ranked.index(self.own.address)
        return len(ranked)

    def _find_view(self) -> _View:
        # Asked for with each message and each send of a request, while the
        # members change rarely.
        if self._view is None:
            records = self.list_others()
            alive = [one for one in records if one.state is MemberState.ALIVE]
            if self.own.state is MemberState.ALIVE:
                alive.append(self.own)
            counted = [
                one for one in records if one.state is not MemberState.LEAVING
            ]
            self._view = _View(alive, [*counted, self.own])
        return self._view

    def _refute(self, record: MemberRecord) -> None:
        is_other = record.incarnation > self.own.incarnation
        is_false = (
            record.incarnation == self.own.incarnation
            and record.state is not self.own.state
        )
        if is_other or is_false:
            self.own = self.own.model_copy(
                update={'incarnation': record.incarnation + 1},
            )
            self._view = None


def _is_newer(record: MemberRecord, known: MemberRecord) -> bool:
    if record.incarnation != known.incarnation:
        return record.incarnation > known.incarnation
    return _RANK_BY_STATE[record.state] > _RANK_BY_STATE[known.state]


def compute_interval_factor(members: MemberTable) -> float:
    """Return by how much slower than a small fleet this one talks.

    A message costs each VM the same, but a large fleet has more of them on
    links that are priced, and its bounds are longer.
    """
    share = len(members.list_counted()) / _BASE_INTERVAL_MEMBERS
    return max(1.0, min(_MAX_INTERVAL_FACTOR, share))
