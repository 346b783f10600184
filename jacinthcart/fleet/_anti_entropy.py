"""Reads the lists of other members, to find all of a fleet."""

import dataclasses
import itertools
import random
import zlib

from jacinthcart.fleet._members import MemberTable
from jacinthcart.fleet._messages import FleetMessage, MemberRecord
from jacinthcart.program import Clock


@dataclasses.dataclass(frozen=True)
class AntiEntropyParameters:
    """How lists of members are read."""

    #: Seconds after the start in which every round asks, until the list is
    #: complete.
    initial_sync_s: float = 6.0
    #: Share of later rounds that ask, in case that news was lost.
    refresh_fraction: float = 0.05
    #: Records in one datagram; it stays below the usual MTU.
    records: int = 10


class AntiEntropy:
    """Asks one member in a round, and asks on while its answers are full.

    A new process asks seeds and any others in turn: a seed that has started
    late itself has not heard of all. Each gives every record once, and none
    if its list is the same.
    """

    def __init__(
        self,
        members: MemberTable,
        seeds: tuple[str, ...],
        clock: Clock,
        random_source: random.Random,
        params: AntiEntropyParameters,
    ) -> None:
        """Keep the seeds, the first members to ask."""
        self.seeds = seeds
        self._members = members
        self._clock = clock
        self._random = random_source
        self._params = params
        self._started_at = clock()
        self._sync_peer: str | None = None

    @property
    def is_active(self) -> bool:
        """Return whether this process is still finding the others."""
        is_new = self._clock() - self._started_at < self._params.initial_sync_s
        return is_new and not self._members.discovery.is_complete

    @property
    def max_records(self) -> int:
        """Return how many records one datagram has at most."""
        return self._params.records

    def choose_peer(self) -> str | None:
        """Return the member to ask in this round, if any."""
        is_refresh = self._random.random() < self._params.refresh_fraction
        self._sync_peer = (
            self._choose_random_peer() if self.is_active or is_refresh else None
        )
        return self._sync_peer

    def create_request_for(self, address: str) -> str | None:
        """Return a description of the list if the member is to be asked."""
        return self._describe() if address == self._sync_peer else None

    def answer(self, described: str) -> tuple[list[MemberRecord], str]:
        """Return records that differ from the described list, and a digest.

        Whole parts come first, so that the next question leaves them out.
        """
        ours = self._describe()
        parts = self._members.log.list_differing_buckets(ours, described)
        self._random.shuffle(parts)
        records = itertools.chain.from_iterable(parts)
        page = list(itertools.islice(records, self.max_records))
        return page, _compute_digest(ours)

    def handle_answer(self, answer: FleetMessage, *, has_learned: bool) -> bool:
        """Take an answer whose records are known; return whether to ask on.

        `has_learned` tells whether one of the records was new.
        """
        if answer.described is None:
            return False
        if answer.described == _compute_digest(self._describe()):
            self._members.discovery.record_matching_list()
        return has_learned and len(answer.records) >= self.max_records

    def _describe(self) -> str:
        return self._members.log.describe(self._members.own)

    def _choose_random_peer(self) -> str | None:
        # Seeds are asked later on too: two parts of a fleet that know
        # nothing of each other have them in common.
        own_address = self._members.own.address
        seeds = [one for one in self.seeds if one != own_address]
        others = [one.address for one in self._members.list_others()]
        groups = [names for names in (seeds, others) if names]
        if not groups:
            return None
        return self._random.choice(self._random.choice(groups))


def _compute_digest(described: str) -> str:
    return f'{zlib.crc32(described.encode()):08x}'
