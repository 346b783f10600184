"""Anti-entropy exchange of member lists, to discover the whole fleet."""

import dataclasses
import itertools
import random
import zlib

from jacinthcart.fleet._members import MemberTable
from jacinthcart.fleet._messages import FleetMessage, MemberRecord
from jacinthcart.program import Clock


@dataclasses.dataclass(frozen=True)
class AntiEntropyParameters:
    """How often and in what size member lists are exchanged."""

    #: Seconds after the start in which every round includes an exchange,
    #: until the list is complete.
    initial_sync_s: float = 6.0
    #: Fraction of later rounds with an exchange, in case a datagram with a
    #: change was lost.
    refresh_fraction: float = 0.05
    #: Maximum number of records in one datagram, which must stay below the
    #: usual Ethernet MTU.
    max_records: int = 10


class AntiEntropy:
    """Requests the list of one member per round, in several pages if needed.

    A new process asks seeds and other members at random, as a seed that has
    just started itself does not know all members yet. A member sends each
    record that differs once, and none if its list is identical.
    """

    def __init__(
        self,
        members: MemberTable,
        seeds: tuple[str, ...],
        clock: Clock,
        random_source: random.Random,
        params: AntiEntropyParameters,
    ) -> None:
        """Initialise; `seeds` are the first members to ask."""
        self.seeds = seeds
        self._members = members
        self._clock = clock
        self._random = random_source
        self._params = params
        self._started_at = clock()
        self._sync_peer: str | None = None

    @property
    def is_active(self) -> bool:
        """Whether this process is still discovering the other members."""
        is_new = self._clock() - self._started_at < self._params.initial_sync_s
        return is_new and not self._members.discovery.is_complete

    @property
    def max_records(self) -> int:
        """Maximum number of records in one datagram."""
        return self._params.max_records

    def choose_peer(self) -> str | None:
        """Return the member to ask in this round, if any."""
        is_refresh = self._random.random() < self._params.refresh_fraction
        self._sync_peer = (
            self._choose_random_peer() if self.is_active or is_refresh else None
        )
        return self._sync_peer

    def create_request_for(self, address: str) -> str | None:
        """Return the description of this VM's list for the member to ask.

        Return None if `address` is not the member chosen for this round.
        """
        return self._describe() if address == self._sync_peer else None

    def answer(self, described: str) -> tuple[list[MemberRecord], str]:
        """Return records that differ from the described list, and a digest.

        The digest is that of this VM's description. Records are grouped by
        bucket: a bucket that was sent completely matches at the next request
        and is left out of its answer.
        """
        ours = self._describe()
        buckets = self._members.log.list_differing_buckets(ours, described)
        self._random.shuffle(buckets)
        records = itertools.chain.from_iterable(buckets)
        page = list(itertools.islice(records, self.max_records))
        return page, _compute_digest(ours)

    def handle_answer(self, answer: FleetMessage, *, has_learned: bool) -> bool:
        """Process an answer whose records have been merged.

        Return whether to request the next page. `has_learned` tells whether
        any of the records was new.
        """
        if answer.described is None:
            return False
        if answer.described == _compute_digest(self._describe()):
            self._members.discovery.record_matching_list()
        return has_learned and len(answer.records) >= self.max_records

    def _describe(self) -> str:
        return self._members.log.describe(self._members.own)

    def _choose_random_peer(self) -> str | None:
        # Seeds are also asked after the start: two parts of a fleet that have
        # not discovered each other have only the seeds in common.
        own_address = self._members.own.address
        seeds = [one for one in self.seeds if one != own_address]
        others = [one.address for one in self._members.list_others()]
        groups = [addresses for addresses in (seeds, others) if addresses]
        if not groups:
            return None
        return self._random.choice(self._random.choice(groups))


def _compute_digest(described: str) -> str:
    return f'{zlib.crc32(described.encode()):08x}'
