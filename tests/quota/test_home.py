"""Tests of allotments, counted over all VMs."""

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
#: The users' bound: a quarter over rate and burst, and 20 requests.
_BOUND = (_RATE * _WINDOW_S + _RATE) * 1.25 + 20


#: Members that a new process learns in half a second.
_LEARNED = 12


def _create_records(count: int) -> list[MemberRecord]:
    return [create_member(f'10.0.0.{number}') for number in range(count)]


class _Net:
    """Delivers datagrams between VMs of one side of a split."""

    def __init__(self) -> None:
        self.vms: dict[str, _Vm] = {}
        self.side_by_address: dict[str, int] = {}

    def connects(self, one: str, other: str) -> bool:
        sides = self.side_by_address
        return sides.get(one, 0) == sides.get(other, 0)


class _Datagrams(BaseDatagrams):
    """Sends through the fake network with a delay."""

    def __init__(self, net: _Net, address: str) -> None:
        self._net = net
        self._address = address

    async def send(self, message: dict[str, Any], peer: Endpoint) -> None:
        await anyio.sleep(0.0005)
        if self._net.connects(self._address, peer.address):
            source = Endpoint(address=self._address, port=1)
            vm = self._net.vms[peer.address]
            await vm.client.handle(message, source)


class _Vm:
    """The allotment part of one VM."""

    def __init__(self, net: _Net, address: str, count: int) -> None:
        net.vms[address] = self
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
            _Datagrams(net, address),
            1,
            clock,
            metrics,
        )
        catalogue_state.update_catalogue(
            create_catalogue(create_route('a'), rate=_RATE)
        )


class _RestartedVm(_Vm):
    """A VM whose new process finds the others little by little."""

    def __init__(
        self,
        net: _Net,
        address: str,
        count: int,
        source: random.Random,
    ) -> None:
        super().__init__(net, address, 0)
        self._source = source
        self._unknown = [
            record
            for record in _create_records(count)
            if record.address != address
        ]
        source.shuffle(self._unknown)

    async def join(self) -> None:
        """Learn a few members each half second, as in a large fleet."""
        while self._unknown:
            for _ in range(_LEARNED):
                if self._unknown:
                    self.members.merge(self._unknown.pop())
            await anyio.sleep(0.5)


class AllotmentTests(TestCase):
    """Counted at the callers, over every window."""

    def test_fleet_grants_the_rate_under_any_skew(self) -> None:
        """One VM may get all requests of a workspace."""
        granted = run_in_virtual_time(_play, 8, 4 * _RATE, 1, ())
        self.assertLessEqual(_find_most(granted), _BOUND)
        self.assertGreaterEqual(len(granted), 0.95 * _RATE * 20)

    def test_requests_below_the_rate_are_not_refused(self) -> None:
        """A refusal below the rate is a wrong one."""
        granted = run_in_virtual_time(_play, 8, 0.6 * _RATE, 8, ())
        self.assertGreaterEqual(len(granted), 0.99 * 0.6 * _RATE * 20)

    def test_refusal_tells_what_decided_it(self) -> None:
        """From a refusal alone nobody saw whether the rate was cut down."""
        whole = run_in_virtual_time(_find_refusal, ())
        self.assertEqual(whole.rate_per_s, _RATE)
        part = run_in_virtual_time(_find_refusal, (0, 1))
        self.assertEqual(part.rate_per_s, _RATE * 2 / 8)
        self.assertIn(f'grants {_RATE * 2 / 8} a second', part.describe())

    def test_malformed_grant_is_refused(self) -> None:
        """The answer of another version must not end the receiver."""
        run_in_virtual_time(self._send_malformed_grant)

    async def _send_malformed_grant(self) -> None:
        net = _Net()
        client = _Vm(net, '10.0.0.0', 2).client
        client._calls_by_seq[1] = mock.Mock()
        message = {'kind': 'grant', 'seq': 1, 'granted': 'x'}
        with self.assertRaises(InvalidMessageError):
            await client.handle(message, Endpoint(address='10.0.0.1', port=1))

    def test_split_fleet_stays_within_the_rate(self) -> None:
        """Both sides of a split have a home."""
        granted = run_in_virtual_time(_play, 8, 6 * _RATE, 8, (0, 1, 2))
        self.assertLessEqual(_find_most(granted), _BOUND)

    def test_vms_cut_off_one_by_one_stay_within_the_rate(self) -> None:
        """A VM alone uses its own part of the rate."""
        granted = run_in_virtual_time(_play, 8, 6 * _RATE, 8, tuple(range(8)))
        self.assertLessEqual(_find_most(granted), _BOUND)

    def test_restarted_vms_of_a_large_fleet_stay_within_the_rate(self) -> None:
        """New processes with short lists each took themselves for the home."""
        granted = run_in_virtual_time(_play_restart)
        self.assertLessEqual(_find_most(granted), _BOUND)


async def _find_refusal(cut: tuple[int, ...]) -> QuotaDecision:
    """Return a refusal of the VM `10.0.0.0` in a fleet of eight."""
    net = _Net()
    for number in range(8):
        _Vm(net, f'10.0.0.{number}', 8)
    _split(net, cut, is_single=False)
    client = net.vms['10.0.0.0'].client
    while True:
        decision = await client.take('mill')
        if not decision.is_granted:
            return decision


async def _play_restart() -> list[float]:
    source = random.Random(4)
    net = _Net()
    count = 75
    for number in range(count):
        _Vm(net, f'10.0.0.{number}', count)
    granted: list[float] = []
    await anyio.sleep(5)

    async def ask(vm: _Vm) -> None:
        if (await vm.client.take('mill')).is_granted:
            granted.append(anyio.current_time())

    async with anyio.create_task_group() as tasks:
        for number in range(45):
            vm = _RestartedVm(net, f'10.0.0.{number}', count, source)
            tasks.start_soon(vm.join)
        until = anyio.current_time() + 10
        while anyio.current_time() < until:
            # Callers use eight VMs, which all have restarted.
            entry = net.vms[f'10.0.0.{source.randrange(8)}']
            tasks.start_soon(ask, entry)
            await anyio.sleep(source.expovariate(6 * _RATE))
    return granted


async def _play(
    count: int,
    rate: float,
    entries: int,
    cut: tuple[int, ...],
) -> list[float]:
    source = random.Random(3)
    net = _Net()
    for number in range(count):
        _Vm(net, f'10.0.0.{number}', count)
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
                _split(net, cut, is_single=len(cut) == count)
            vm = net.vms[f'10.0.0.{source.randrange(entries)}']
            tasks.start_soon(ask, vm)
            await anyio.sleep(source.expovariate(rate))
    return granted


def _split(net: _Net, cut: tuple[int, ...], *, is_single: bool) -> None:
    for number in cut:
        side = number + 1 if is_single else 1
        net.side_by_address[f'10.0.0.{number}'] = side
    for address, vm in net.vms.items():
        for other in net.vms:
            if not net.connects(address, other):
                vm.members.suspect(other)


def _find_most(granted: list[float]) -> int:
    most = 0
    first = 0
    for last, moment in enumerate(granted):
        while granted[first] < moment - _WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most
