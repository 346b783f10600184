"""Tests of fleet-wide rate limits with several simulated VMs."""

import random
from typing import Any
from unittest import TestCase, mock

import anyio

from jacinthcart.catalogue import CatalogueState
from jacinthcart.errors import InvalidMessageError
from jacinthcart.fleet import (
    DiscoveryParameters,
    MemberParameters,
    MemberRecord,
    MemberTable,
)
from jacinthcart.network import BaseDatagrams, Endpoint
from jacinthcart.quota import (
    QuotaClient,
    QuotaDecision,
    QuotaHome,
    QuotaParameters,
)
from jacinthcart.telemetry import Metrics, create_logger
from tests.support import (
    create_catalogue,
    create_member,
    create_route,
    run_in_virtual_time,
)

_RATE = 40.0
_WINDOW_S = 5.0
#: Maximum number of requests that the users allow in a window: rate and burst
#: plus a quarter, plus 20 requests.
_BOUND = (_RATE * _WINDOW_S + _RATE) * 1.25 + 20


#: Members that a new process discovers every half second.
_DISCOVERED_PER_STEP = 12


def _create_records(count: int) -> list[MemberRecord]:
    return [create_member(f'10.0.0.{number}') for number in range(count)]


class _Network:
    """Simulated network between VMs that can be partitioned."""

    def __init__(self) -> None:
        self.vms: dict[str, _Vm] = {}
        self.side_by_address: dict[str, int] = {}

    def connects(self, one: str, other: str) -> bool:
        sides = self.side_by_address
        return sides.get(one, 0) == sides.get(other, 0)


class _Datagrams(BaseDatagrams):
    """Sends over the simulated network with a delay."""

    def __init__(self, network: _Network, address: str) -> None:
        self._network = network
        self._address = address

    async def send(self, message: dict[str, Any], peer: Endpoint) -> None:
        await anyio.sleep(0.0005)
        if self._network.connects(self._address, peer.address):
            source = Endpoint(address=self._address, port=1)
            vm = self._network.vms[peer.address]
            await vm.client.handle(message, source)


class _Vm:
    """The quota components of one VM."""

    def __init__(self, network: _Network, address: str, count: int) -> None:
        network.vms[address] = self
        clock = anyio.current_time
        logger = create_logger('test')
        metrics = Metrics()
        catalogue_state = CatalogueState(clock, logger)
        discovery = DiscoveryParameters()
        if count:
            discovery = DiscoveryParameters(startup_s=0, discovery_s=0)
        self.members = MemberTable(
            create_member(address),
            clock,
            logger,
            MemberParameters(discovery=discovery),
        )
        for record in _create_records(count):
            self.members.merge(record)
        home = QuotaHome(
            catalogue_state, self.members, clock, metrics, QuotaParameters()
        )
        self.client = QuotaClient(
            self.members,
            home,
            _Datagrams(network, address),
            1,
            clock,
            metrics,
        )
        catalogue_state.update_catalogue(
            create_catalogue(create_route('a'), rate=_RATE)
        )


class _RestartedVm(_Vm):
    """A restarted VM whose process discovers the members gradually."""

    def __init__(
        self,
        network: _Network,
        address: str,
        count: int,
        source: random.Random,
    ) -> None:
        super().__init__(network, address, 0)
        self._source = source
        self._unknown = [
            record
            for record in _create_records(count)
            if record.address != address
        ]
        source.shuffle(self._unknown)

    async def join(self) -> None:
        """Discover a few members every half second, as in a large fleet."""
        while self._unknown:
            for _ in range(_DISCOVERED_PER_STEP):
                if self._unknown:
                    self.members.merge(self._unknown.pop())
            await anyio.sleep(0.5)


class QuotaTests(TestCase):
    """Grants are counted over the whole fleet in every window."""

    def test_fleet_grants_the_rate_under_any_skew(self) -> None:
        """Guards against a rate that depends on which VMs get the requests."""
        granted = run_in_virtual_time(_simulate, 8, 4 * _RATE, 1, ())
        self.assertLessEqual(_count_max_in_window(granted), _BOUND)
        self.assertGreaterEqual(len(granted), 0.95 * _RATE * 20)

    def test_requests_below_the_rate_are_not_refused(self) -> None:
        """Guards against refusing requests of a workspace below its rate."""
        granted = run_in_virtual_time(_simulate, 8, 0.6 * _RATE, 8, ())
        self.assertGreaterEqual(len(granted), 0.99 * 0.6 * _RATE * 20)

    def test_refusal_shows_the_rate_that_was_applied(self) -> None:
        """A refusal must show whether only a share of the rate was granted."""
        whole = run_in_virtual_time(_find_refusal, ())
        self.assertEqual(whole.rate_per_s, _RATE)
        part = run_in_virtual_time(_find_refusal, (0, 1))
        self.assertEqual(part.rate_per_s, _RATE * 2 / 8)
        self.assertIn(f'grants {_RATE * 2 / 8} a second', part.describe())

    def test_malformed_grant_is_rejected(self) -> None:
        """Guards against a crash on a message from another version."""
        run_in_virtual_time(self._send_malformed_grant)

    async def _send_malformed_grant(self) -> None:
        network = _Network()
        client = _Vm(network, '10.0.0.0', 2).client
        client._calls_by_seq[1] = mock.Mock()
        message = {'kind': 'grant', 'seq': 1, 'granted': 'x'}
        with self.assertRaises(InvalidMessageError):
            await client.handle(message, Endpoint(address='10.0.0.1', port=1))

    def test_partitioned_fleet_stays_within_the_rate(self) -> None:
        """Guards against both sides of a partition granting the full rate."""
        granted = run_in_virtual_time(_simulate, 8, 6 * _RATE, 8, (0, 1, 2))
        self.assertLessEqual(_count_max_in_window(granted), _BOUND)

    def test_isolated_vms_stay_within_the_rate(self) -> None:
        """Guards against VMs without any peer that each grant the full rate."""
        granted = run_in_virtual_time(
            _simulate, 8, 6 * _RATE, 8, tuple(range(8))
        )
        self.assertLessEqual(_count_max_in_window(granted), _BOUND)

    def test_restarted_vms_of_a_large_fleet_stay_within_the_rate(self) -> None:
        """Guards against restarted VMs that each act as the home.

        This happened while new processes knew only a few members.
        """
        granted = run_in_virtual_time(_simulate_restart)
        self.assertLessEqual(_count_max_in_window(granted), _BOUND)


async def _find_refusal(cut: tuple[int, ...]) -> QuotaDecision:
    """Return a refusal to VM `10.0.0.0` in a fleet of eight."""
    network = _Network()
    for number in range(8):
        _Vm(network, f'10.0.0.{number}', 8)
    _split(network, cut, is_single=False)
    client = network.vms['10.0.0.0'].client
    while True:
        decision = await client.take('mill')
        if not decision.is_granted:
            return decision


async def _simulate_restart() -> list[float]:
    source = random.Random(4)
    network = _Network()
    count = 75
    for number in range(count):
        _Vm(network, f'10.0.0.{number}', count)
    granted: list[float] = []
    await anyio.sleep(5)

    async def ask(vm: _Vm) -> None:
        if (await vm.client.take('mill')).is_granted:
            granted.append(anyio.current_time())

    async with anyio.create_task_group() as tasks:
        for number in range(45):
            vm = _RestartedVm(network, f'10.0.0.{number}', count, source)
            tasks.start_soon(vm.join)
        until = anyio.current_time() + 10
        while anyio.current_time() < until:
            # Callers only use eight VMs, all of which have restarted.
            entry = network.vms[f'10.0.0.{source.randrange(8)}']
            tasks.start_soon(ask, entry)
            await anyio.sleep(source.expovariate(6 * _RATE))
    return granted


async def _simulate(
    count: int,
    rate: float,
    entries: int,
    cut: tuple[int, ...],
) -> list[float]:
    source = random.Random(3)
    network = _Network()
    for number in range(count):
        _Vm(network, f'10.0.0.{number}', count)
    granted: list[float] = []
    await anyio.sleep(1)

    async def ask(vm: _Vm) -> None:
        if (await vm.client.take('mill')).is_granted:
            granted.append(anyio.current_time())

    async with anyio.create_task_group() as tasks:
        start = anyio.current_time()
        is_split = False
        while anyio.current_time() < start + 20:
            if cut and not is_split and anyio.current_time() > start + 5:
                is_split = True
                _split(network, cut, is_single=len(cut) == count)
            vm = network.vms[f'10.0.0.{source.randrange(entries)}']
            tasks.start_soon(ask, vm)
            await anyio.sleep(source.expovariate(rate))
    return granted


def _split(network: _Network, cut: tuple[int, ...], *, is_single: bool) -> None:
    for number in cut:
        side = number + 1 if is_single else 1
        network.side_by_address[f'10.0.0.{number}'] = side
    for address, vm in network.vms.items():
        for other in network.vms:
            if not network.connects(address, other):
                vm.members.suspect(other)


def _count_max_in_window(granted: list[float]) -> int:
    most = 0
    first = 0
    for last, granted_at in enumerate(granted):
        while granted[first] < granted_at - _WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most
