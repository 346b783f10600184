"""Links to every searcher that this VM owns connections to."""

import dataclasses
from collections.abc import Callable, Iterable

from jacinthcart.dispatch._client import (
    BaseSearcherClient,
    OpenSearcherClient,
    SearcherTarget,
)
from jacinthcart.dispatch._link import SearcherLink
from jacinthcart.dispatch._replicas import Replica, ReplicaIndex
from jacinthcart.program import Clock


class LinkTable:
    """Creates, updates and retires links as the settings change.

    When this VM loses ownership of a searcher, its link remains until the
    last request has ended. If the VM regains ownership before that, the
    requests still in flight count against the allowance.
    """

    def __init__(
        self,
        open_client: OpenSearcherClient,
        compute_allowance: Callable[[Replica], int],
        clock: Clock,
    ) -> None:
        """Start without links."""
        self._open_client = open_client
        self._compute_allowance = compute_allowance
        self._clock = clock
        self._links_by_id: dict[str, SearcherLink] = {}
        self._targets_by_id: dict[str, SearcherTarget] = {}
        self._retired_clients: list[BaseSearcherClient] = []

    def list_all(self) -> list[SearcherLink]:
        """Return all links."""
        return list(self._links_by_id.values())

    def list_links(self, replicas: Iterable[Replica]) -> list[SearcherLink]:
        """Return the links to those of `replicas` that this VM owns."""
        return [
            self._links_by_id[replica.searcher_id]
            for replica in replicas
            if replica.is_owner
        ]

    def update(self, index: ReplicaIndex) -> None:
        """Apply the replicas of a new settings view."""
        owned_ids = {replica.searcher_id for replica in index.owned}
        for replica in index.owned:
            self._update_link(replica)
        for searcher_id, link in self._links_by_id.items():
            if searcher_id not in owned_ids:
                link.replica = dataclasses.replace(
                    link.replica,
                    is_owner=False,
                    is_warmer=False,
                )
        self.process_queues()

    def process_queues(self) -> None:
        """Grant or reject waiting requests; retire unused links."""
        for searcher_id, link in list(self._links_by_id.items()):
            link.process_queue()
            if link.in_flight or link.queue or link.replica.is_owner:
                continue
            self._links_by_id.pop(searcher_id)
            self._targets_by_id.pop(searcher_id)
            self._retired_clients.append(link.client)

    async def close_retired(self) -> None:
        """Close the clients of retired links."""
        while self._retired_clients:
            await self._retired_clients.pop().close()

    async def close(self) -> None:
        """Close every client."""
        await self.close_retired()
        for link in self._links_by_id.values():
            await link.client.close()

    def _update_link(self, replica: Replica) -> None:
        searcher_id = replica.searcher_id
        target = SearcherTarget(
            searcher_id,
            replica.searcher.address,
            replica.searcher.port,
            replica.service.connections_per_owner,
        )
        link = self._links_by_id.get(searcher_id)
        if link is None:
            self._links_by_id[searcher_id] = SearcherLink(
                replica,
                self._open_client(target),
                self._compute_allowance,
                self._clock,
            )
        else:
            link.replica = replica
            if self._targets_by_id[searcher_id] != target:
                self._retired_clients.append(link.client)
                link.client = self._open_client(target)
        self._targets_by_id[searcher_id] = target
