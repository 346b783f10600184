"""Reads the lists of other members, to find all of a fleet."""

import dataclasses
import itertools
import random
import zlib

from jacinthcart.fleet._members import MemberTable
from jacinthcart.fleet._messages import FleetMessage, MemberRecord
from jacinthcart.program import Clock


@dataclasses.dataclass(frozen=True)
class JoiningTerms:
    """How lists of members are read."""

    #: Seconds after the start in which every round asks, until the list is
    #: complete.
    join_s: float = 6.0
    #: Share of later rounds that ask, in case that news was lost.
    refresh_share: float = 0.05
    #: Records in one datagram; it stays below the usual MTU.
    records: int = 10


class Joining:
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
        terms: JoiningTerms,
    ) -> None:
        """Keep the seeds, the first members to ask."""
        self.seeds = seeds
        self._members = members
        self._clock = clock
        self._random = random_source
        self._terms = terms
        self._started_at = clock()
        self._asked: str | None = None

    @property
    def is_active(self) -> bool:
        """Return whether this process is still finding the others."""
        is_new = self._clock() - self._started_at < self._terms.join_s
        return is_new and not self._members.growth.is_complete

    @property
    def most_records(self) -> int:
        """Return how many records one datagram has at most."""
        return self._terms.records

    def choose(self) -> str | None:
        """Return the member to ask in this round, if any."""
        is_refresh = self._random.random() < self._terms.refresh_share
        self._asked = self._draw() if self.is_active or is_refresh else None
        return self._asked

    def describe_for(self, address: str) -> str | None:
        """Return a description of the list if the member is to be asked."""
        return self._describe() if address == self._asked else None

    def answer(self, described: str) -> tuple[list[MemberRecord], str]:
        """Return records that differ from the described list, and a digest.

        Whole parts come first, so that the next question leaves them out.
        """
        ours = self._describe()
        parts = self._members.log.list_unlike(ours, described)
        self._random.shuffle(parts)
        records = itertools.chain.from_iterable(parts)
        page = list(itertools.islice(records, self.most_records))
        return page, _compute_digest(ours)

    def note_answer(self, answer: FleetMessage, *, has_learned: bool) -> bool:
        """Take an answer whose records are known; return whether to ask on.

        `has_learned` tells whether one of the records was new.
        """
        if answer.described is None:
            return False
        if answer.described == _compute_digest(self._describe()):
            self._members.growth.note_same_list()
        return has_learned and len(answer.records) >= self.most_records

    def _describe(self) -> str:
        return self._members.log.describe(self._members.own)

    def _draw(self) -> str | None:
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
