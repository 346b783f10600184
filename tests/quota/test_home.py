"""Tests of fleet-wide rate limits with several simulated VMs."""

import random
from typing import Any
from unittest import TestCase, mock

import anyio
from anyio.abc import TaskGroup

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


#: Length in seconds of a cycle of a slow VM and of the stop that begins it.
_CYCLE_S = 0.05
_STOPPED_S = 0.035

#: Members that a new process discovers every half second.
_DISCOVERED_PER_STEP = 12


def _create_records(count: int) -> list[MemberRecord]:
    return [create_member(f'10.0.0.{number}') for number in range(count)]


class _Network:
    """Simulated network between VMs that can be partitioned."""

    def __init__(self) -> None:
        self.vms: dict[str, _Vm] = {}
        self.side_by_address: dict[str, int] = {}
        #: Delivers datagrams while their senders go on; None to make the
        #: senders wait.
        self.tasks: TaskGroup | None = None
        #: VMs that receive nothing.
        self.silent: set[str] = set()
        #: VMs that are stopped for most of each cycle.
        self.slow: set[str] = set()

    async def wait(self, address: str) -> None:
        """Wait until a VM runs."""
        phase_s = anyio.current_time() % _CYCLE_S
        if address in self.slow and phase_s < _STOPPED_S:
            await anyio.sleep(_STOPPED_S - phase_s)

    def connects(self, one: str, other: str) -> bool:
        sides = self.side_by_address
        if self.silent & {one, other}:
            return False
        return sides.get(one, 0) == sides.get(other, 0)


class _Datagrams(BaseDatagrams):
    """Sends over the simulated network with a delay."""

    def __init__(self, network: _Network, address: str) -> None:
        self._network = network
        self._address = address

    async def send(self, message: dict[str, Any], peer: Endpoint) -> None:
        await self._network.wait(self._address)
        if self._network.tasks is None:
            await self._deliver(message, peer)
        else:
            self._network.tasks.start_soon(self._deliver, message, peer)

    async def _deliver(self, message: dict[str, Any], peer: Endpoint) -> None:
        await anyio.sleep(0.0005)
        await self._network.wait(peer.address)
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
        self.home = QuotaHome(
            catalogue_state, self.members, clock, metrics, QuotaParameters()
        )
        self.client = QuotaClient(
            self.members,
            self.home,
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

    def test_slow_home_and_its_deputy_stay_within_the_rate(self) -> None:
        """Guards against two VMs that both grant the full rate.

        A slow home answers some VMs in time; the others ask its deputy.
        """
        granted = run_in_virtual_time(_simulate_impaired_home, 'slow')
        self.assertLessEqual(_count_max_in_window(granted), _BOUND)
        self.assertGreaterEqual(len(granted), 0.8 * _RATE * 20)

    def test_deputy_of_a_silent_home_grants_the_rate(self) -> None:
        """Guards against refusals until a silent home is suspected."""
        granted = run_in_virtual_time(_simulate_impaired_home, 'silent')
        self.assertLessEqual(_count_max_in_window(granted), _BOUND)
        self.assertGreaterEqual(len(granted), 0.95 * _RATE * 20)

    def test_lost_reports_are_made_up_for(self) -> None:
        """Guards against grants of a deputy that its home never counts."""
        for totals, debt in (((1, 9), 9), ((1, 2, 2, 1), 2), ((900,), 1)):
            granted = run_in_virtual_time(_count_grants_after, totals)
            self.assertEqual(granted, int(0.9 * _RATE) - debt)

    def test_late_report_is_not_charged_again(self) -> None:
        """Guards against grants that are charged twice after a reordering."""
        reports = ((1, 9), (1, 8), (1, 10))
        granted = run_in_virtual_time(_count_grants_after_runs, reports)
        self.assertEqual(granted, int(0.9 * _RATE) - 2)

    def test_late_report_of_a_former_process_charges_nothing(self) -> None:
        """Guards against grants of the new process that are never counted."""
        reports = ((1, 5), (2, 1), (1, 4), (2, 7))
        granted = run_in_virtual_time(_count_grants_after_runs, reports)
        self.assertEqual(granted, int(0.9 * _RATE) - 8)

    def test_answer_to_a_former_process_is_ignored(self) -> None:
        """Guards against a grant that was made for another workspace."""
        self.assertIsNone(run_in_virtual_time(_answer_former_process))

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


async def _answer_former_process() -> QuotaDecision | None:
    """Return what a new process makes of the answer to its predecessor."""
    network = _Network()
    peer = Endpoint(address='10.0.0.1', port=1)
    numbers: list[int] = []

    async def record(message: dict[str, Any], _: Endpoint) -> None:
        numbers.append(message['seq'])

    former = _Vm(network, '10.0.0.0', 2).client
    with mock.patch.object(former, '_datagrams', mock.Mock(send=record)):
        await former._ask(peer.address, 'mill')
    new = _Vm(network, '10.0.0.0', 2).client

    async def answer_former(message: dict[str, Any], _: Endpoint) -> None:
        late = {'kind': 'grant', 'seq': numbers[0], 'granted': 1}
        await new.handle(late, peer)

    with mock.patch.object(new, '_datagrams', mock.Mock(send=answer_former)):
        return await new._ask(peer.address, 'other')


async def _count_grants_after(totals: tuple[int, ...]) -> int:
    """Return the grants of a home after reports of one process."""
    return await _count_grants_after_runs(tuple((1, total) for total in totals))


async def _count_grants_after_runs(reports: tuple[tuple[int, int], ...]) -> int:
    """Return the grants of a home with a full bucket after reports.

    Each report has the number of its process and a total.
    """
    network = _Network()
    vm = _Vm(network, '10.0.0.0', 2)
    await anyio.sleep(60)
    peer = Endpoint(address='10.0.0.1', port=1)
    for run, total in reports:
        report = {'kind': 'report', 'workspace': 'mill', 'run': run}
        await vm.client.handle({**report, 'total': total}, peer)
    grants = 0
    while vm.home.take('mill', 1):
        grants += 1
    return grants


async def _simulate_impaired_home(impairment: str) -> list[float]:
    network = _Network()
    for number in range(8):
        _Vm(network, f'10.0.0.{number}', 8)
    home = network.vms['10.0.0.0'].members.rank('allotment/mill')[0]
    impaired = network.slow if impairment == 'slow' else network.silent
    impaired.add(home)
    others = [vm for key, vm in network.vms.items() if key != home]
    async with anyio.create_task_group() as tasks:
        network.tasks = tasks
        return await _ask_randomly(others, 5 * _RATE)


async def _ask_randomly(vms: list[_Vm], rate: float) -> list[float]:
    source = random.Random(3)
    granted: list[float] = []

    async def ask(vm: _Vm) -> None:
        if (await vm.client.take('mill')).is_granted:
            granted.append(anyio.current_time())

    async with anyio.create_task_group() as tasks:
        until = anyio.current_time() + 20
        while anyio.current_time() < until:
            tasks.start_soon(ask, source.choice(vms))
            await anyio.sleep(source.expovariate(rate))
    return granted


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
