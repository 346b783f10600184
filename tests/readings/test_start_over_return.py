"""Test of a VM that starts over a return of the store."""

import random
from unittest import TestCase, mock

import anyio

from jacinthcart_lab import _virtual_time as virtual_time
from tests.readings.returns._run import ModelConnection, ModelFleet
from tests.readings.returns._schedule import Schedule

_SEED = 1
_VMS = 60
#: Mean seconds between two entries that searchers write.
_ENTRY_INTERVAL_S = 0.03
_CUT_S = 0.6
#: Bound on configurations of a fleet of this size.
_BOUND_S = 6.0


class StartOverReturnTests(TestCase):
    """Withdrawn keys stay withdrawn on a VM that starts over a return."""

    def test_started_seed_gets_what_its_peers_keep(self) -> None:
        """Guards against a first repair that waits for a quiet store."""
        random.seed(_SEED)
        with mock.patch(
            'jacinthcart.readings._pull.HttpConnection', ModelConnection
        ):
            virtual_time.run_in_virtual_time(self._play, seed=_SEED)

    async def _play(self) -> None:
        async with anyio.create_task_group() as tasks:
            fleet = ModelFleet(Schedule(_SEED, _VMS, ()), tasks)
            await fleet._operator.write_config()
            for searcher in fleet._searchers:
                await searcher.publish()
            for address in fleet._addresses:
                fleet._start_vm(address)
            fleet._introduce_members()
            await anyio.sleep(4)
            fleet._operator.change_config(withdraws_key=True)
            await fleet._operator.write_config()
            await anyio.sleep(1)
            fleet.store.leave(leaves_watches_hanging=False)
            seed = fleet._addresses[0]
            network = fleet._network
            fleet._scopes.pop(seed).cancel()
            network.vm_by_address.pop(seed)
            await anyio.sleep(0.5)
            fleet.store.come_back(2.5, keeps_history=False)
            fleet._start_vm(seed)
            network.cut_from_peers.add(seed)
            tasks.start_soon(self._publish, fleet)
            await anyio.sleep(_CUT_S)
            network.cut_from_peers.discard(seed)
            await anyio.sleep(_BOUND_S)
            vm = network.vm_by_address[seed]
            withdrawn = set(fleet._operator.version_by_withdrawn_key)
            seen = (vm.version, vm.list_accepted_keys() & withdrawn)
            tasks.cancel_scope.cancel()
        self.assertEqual(seen, (fleet._operator.version, frozenset()))

    async def _publish(self, fleet: ModelFleet) -> None:
        number = 0
        while True:
            searcher = fleet._searchers[number % len(fleet._searchers)]
            await searcher.publish()
            number += 1
            await anyio.sleep(_ENTRY_INTERVAL_S * (0.5 + random.random()))
