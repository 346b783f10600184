"""Queries that wait in this VM until they are admitted or refused."""

import random

import anyio


class WaitingQuery:
    """A query that waits for admission."""

    def __init__(self, rank: int, latest_start: float) -> None:
        """Create the query.

        `rank` is its rank of urgency and `latest_start` the clock time in
        seconds by which it must be sent to be answered in time.
        """
        self.is_admitted = False
        self.rank = rank
        self.latest_start = latest_start
        self._event = anyio.Event()

    def admit(self) -> None:
        """Admit the query and wake its task."""
        self.is_admitted = True
        self._event.set()

    async def wait(self, timeout_s: float) -> None:
        """Wait until the query is admitted, at most `timeout_s` seconds."""
        with anyio.move_on_after(timeout_s):
            await self._event.wait()


class WaitingQueries:
    """The waiting queries, by their sets of shards."""

    def __init__(self, random_source: random.Random) -> None:
        """Create an empty collection."""
        self._random = random_source
        self._queries_by_shards: dict[tuple[str, ...], set[WaitingQuery]] = {}
        #: Admissions that are due, by shards and rank; less than one.
        self._credit_by_key: dict[tuple[tuple[str, ...], int], float] = {}

    def add(self, shards: tuple[str, ...], query: WaitingQuery) -> None:
        """Add a query."""
        self._queries_by_shards.setdefault(shards, set()).add(query)

    def remove(self, shards: tuple[str, ...], query: WaitingQuery) -> None:
        """Remove a query, admitted or not."""
        queries = self._queries_by_shards[shards]
        queries.discard(query)
        if queries:
            return
        self._queries_by_shards.pop(shards)
        keys = [key for key in self._credit_by_key if key[0] == shards]
        for key in keys:
            self._credit_by_key.pop(key)

    def draw(self, shards: tuple[str, ...], rank: int, fraction: float) -> None:
        """Admit a query of a rank with the given frequency.

        Of many draws, `fraction` admit a query: the one with the least time
        left.
        """
        key = shards, rank
        credit = self._credit_by_key.get(key)
        if credit is None:
            # Many VMs with few queries each must not all refuse the first.
            credit = self._random.random()
        credit += fraction
        if credit >= 1:
            self._admit_first(shards, rank)
            credit -= 1
        self._credit_by_key[key] = credit

    def _admit_first(self, shards: tuple[str, ...], rank: int) -> None:
        waiting = [
            query
            for query in self._queries_by_shards.get(shards, ())
            if query.rank == rank and not query.is_admitted
        ]
        if waiting:
            min(waiting, key=lambda query: query.latest_start).admit()
