"""Queries that wait in this VM until they are admitted or refused."""

import anyio


class WaitingQuery:
    """A query that waits for admission."""

    def __init__(self, priority: int, latest_start: float) -> None:
        """Create the query.

        `latest_start` is the clock time in seconds by which it must be sent
        to be answered in time.
        """
        self.is_admitted = False
        #: Order of admission: the more urgent priority first, then the query
        #: with the least time left.
        self.order = (priority, latest_start)
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

    def __init__(self) -> None:
        """Create an empty collection."""
        self._queries_by_shards: dict[tuple[str, ...], set[WaitingQuery]] = {}
        #: Admissions that are due, by shards and priority; less than one.
        self._credit_by_key: dict[tuple[tuple[str, ...], int], float] = {}

    def add(self, shards: tuple[str, ...], query: WaitingQuery) -> None:
        """Add a query."""
        self._queries_by_shards.setdefault(shards, set()).add(query)

    def remove(self, shards: tuple[str, ...], query: WaitingQuery) -> None:
        """Remove a query, admitted or not."""
        queries = self._queries_by_shards[shards]
        queries.discard(query)
        if not queries:
            self._queries_by_shards.pop(shards)

    def draw(
        self, shards: tuple[str, ...], priority: int, fraction: float
    ) -> None:
        """Admit a query with the given frequency.

        Of many draws with one priority, `fraction` admit a query: the first
        in order, whatever the priority of the draw.
        """
        key = shards, priority
        credit = self._credit_by_key.get(key, 0) + fraction
        if credit >= 1:
            self._admit_first(shards)
            credit -= 1
        self._credit_by_key[key] = credit

    def _admit_first(self, shards: tuple[str, ...]) -> None:
        waiting = [
            query
            for query in self._queries_by_shards.get(shards, ())
            if not query.is_admitted
        ]
        if waiting:
            min(waiting, key=lambda query: query.order).admit()
