"""Faults of the emulated searchers."""

import random
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from jacinthcart_lab.platform_deployment import PlatformDeployment

_SILENT_FRACTION = 0.2


class SearcherFaults:
    """Injects seeded faults into searchers chosen at random."""

    def __init__(
        self,
        deployment: PlatformDeployment,
        random_source: random.Random,
        record: Callable[[str], None],
    ) -> None:
        """Initialise; `record` is called with each fault's description."""
        self._deployment = deployment
        self._random = random_source
        self._record = record

    async def break_responses(self) -> None:
        """Make a searcher break some responses for a while."""
        searchers = list(self._deployment.searchers_by_id.values())
        chosen = self._random.choice(searchers)
        name = self._random.choice(
            (
                'reset',
                'truncate',
                'malform',
                'unsigned',
                'duplicate',
                'failure',
                'shed',
            ),
        )
        self._record(f'searcher {chosen.searcher_id} {name}')
        setattr(
            chosen.faults, f'{name}_fraction', self._random.uniform(0.1, 0.9)
        )
        chosen.faults.is_silent = self._random.random() < _SILENT_FRACTION
        await anyio.sleep(self._random.uniform(1, 4))
        setattr(chosen.faults, f'{name}_fraction', 0)
        chosen.faults.is_silent = False

    async def drain(self, seconds: float) -> None:
        """Publish a searcher as draining, `seconds` later as ready again."""
        searcher_id = self._random.choice(
            list(self._deployment.searchers_by_id),
        )
        self._record(f'drain searcher {searcher_id}')
        self._deployment.publish_searcher(searcher_id, 'draining')
        await anyio.sleep(seconds)
        # It may have crashed meanwhile, and its successor has another id.
        if searcher_id in self._deployment.searchers_by_id:
            self._deployment.publish_searcher(searcher_id)

    async def reject_for_a_while(self) -> None:
        """Make a searcher reject all requests and name a delay."""
        chosen = self._random.choice(
            list(self._deployment.searchers_by_id.values())
        )
        seconds = self._random.uniform(0.8, 3)
        self._record(f'searcher {chosen.searcher_id} names {seconds:.1f} s')
        chosen.faults.retry_after_s = seconds
        chosen.faults.shed_fraction = 1
        await anyio.sleep(seconds)
        chosen.faults.retry_after_s = None
        chosen.faults.shed_fraction = 0

    async def leave(self, tasks: TaskGroup) -> None:
        """Make a searcher say that it leaves, then replace it."""
        deployment = self._deployment
        searcher_id = self._random.choice(list(deployment.searchers_by_id))
        searcher = deployment.searchers_by_id[searcher_id]
        searcher.faults.is_leaving = True
        self._record(f'searcher {searcher_id} leaves')
        for _ in range(3):
            await anyio.sleep(self._random.uniform(0.3, 1))
            # Its entry is published again, as it does not know better.
            if searcher_id in deployment.searchers_by_id:
                deployment.publish_searcher(searcher_id)
        if searcher_id in deployment.searchers_by_id:
            await self._replace(searcher_id, tasks)

    async def crash(self, tasks: TaskGroup) -> None:
        """Crash a searcher and start its successor."""
        searcher_id = self._random.choice(
            list(self._deployment.searchers_by_id)
        )
        self._record(f'crash searcher {searcher_id}')
        await self._replace(searcher_id, tasks)

    async def _replace(self, searcher_id: str, tasks: TaskGroup) -> None:
        deployment = self._deployment
        searcher = deployment.searchers_by_id.pop(searcher_id)
        deployment.writers.forget(f'servers/{searcher_id}')
        await searcher.close()
        await anyio.sleep(self._random.uniform(0.5, 3))
        deployment.remove_searcher(searcher_id)
        successor_id = f'{searcher.service}-n{self._random.getrandbits(32):08x}'
        await deployment.start_searcher(successor_id, searcher.service, tasks)
