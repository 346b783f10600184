"""A soak run: a fleet, callers, seeded faults and the checks."""

import dataclasses
import pathlib
import random
import signal
import tempfile
import time

import anyio
from anyio.abc import TaskGroup

from jacinthcart.network import Endpoint
from jacinthcart_lab.platform_deployment import (
    DeploymentParameters,
    PlatformDeployment,
    find_free_ports,
)
from jacinthcart_lab.soak._callers import MAIN_ROUTES, SoakCallers
from jacinthcart_lab.soak._checks import check_calls
from jacinthcart_lab.soak._drain_checks import DrainChecker
from jacinthcart_lab.soak._faults import SoakFaults
from jacinthcart_lab.soak._proxy import FaultProxy
from jacinthcart_lab.soak._statement_checks import StatementChecker
from jacinthcart_lab.soak._version_checks import VersionChecker
from jacinthcart_lab.soak._vm import SoakVm

#: Time bound for a revoked key in seconds, `revoke_ms` of the VMs.
_KEY_BOUND_S = 3.0
_READY_TIMEOUT_S = 30.0
_RECOVERY_S = 12.0
_OBSERVATION_S = 2.0
_MIN_RECOVERED_FRACTION = 0.5
_POLL_S = 0.05
_LOG_TAIL_LINES = 20
#: Seconds for which a searcher drains while no other fault is active.
_CALM_DRAIN_S = 10.0
#: Fraction of the runs in which the store doesn't tell its era.
_NO_ERA_FRACTION = 0.25
#: Fraction of the runs in which the store returns after the last heartbeat.
#: Its revision then stays lower than before.
_LAST_RETURN_FRACTION = 0.5
_PROXY_ADDRESS = '127.0.4.1'


@dataclasses.dataclass(frozen=True)
class SoakParameters:
    """Parameters of a soak run."""

    #: Seed of the faults and the requests.
    seed: int
    #: Duration of fault injection, in seconds.
    seconds: float = 15.0
    #: Number of VMs.
    vms: int = 4
    #: Number of concurrent callers.
    callers: int = 8
    #: Whether the store returns from a copy after the last heartbeat; None to
    #: let the seed decide.
    has_last_return: bool | None = None


@dataclasses.dataclass
class SoakReport:
    """Results of a soak run."""

    #: Seed of the run.
    seed: int
    #: A line for each violation of a guarantee.
    violations: list[str] = dataclasses.field(default_factory=list)
    #: Descriptions of the injected faults.
    faults: list[str] = dataclasses.field(default_factory=list)
    #: Descriptions of the versions that the store lost.
    losses: list[str] = dataclasses.field(default_factory=list)
    #: Number of requests.
    calls: int = 0
    #: Number of requests answered with status 200.
    answered: int = 0
    #: Fraction of the requests with a current key after the recovery time that
    #: were answered with status 200.
    recovered_fraction: float = 0


class _Soak:
    """State of a soak run."""

    def __init__(self, params: SoakParameters, folder: pathlib.Path) -> None:
        self.report = SoakReport(params.seed)
        self._params = params
        self._folder = folder
        random_source = random.Random(params.seed)
        deployment_params = DeploymentParameters(vms=params.vms, replicas=3)
        # Searchers draw when requests arrive, which no seed determines.
        self._deployment = PlatformDeployment(
            deployment_params, random.Random(params.seed)
        )
        self._vms: list[SoakVm] = []
        self._faults = SoakFaults(self._deployment, self._vms, random_source)
        self._callers = SoakCallers(
            self._deployment,
            params.seed,
            self._faults.revoked_keys,
        )
        store = self._deployment.store
        store.has_era_header = random_source.random() >= _NO_ERA_FRACTION
        has_last_return = params.has_last_return
        if has_last_return is None:
            has_last_return = random_source.random() < _LAST_RETURN_FRACTION
        self._has_last_return = has_last_return

    async def run(self) -> None:
        """Inject the faults and check the guarantees."""
        try:
            async with anyio.create_task_group() as tasks:
                await self._start(tasks)
                await self._faults.inject(
                    self._params.seconds,
                    tasks,
                    has_last_return=self._has_last_return,
                )
                await self._recover(tasks)
                tasks.cancel_scope.cancel()
        finally:
            for vm in self._vms:
                vm.send_signal(signal.SIGCONT)
                vm.send_signal(signal.SIGKILL)
                with anyio.CancelScope(shield=True):
                    await vm.wait()
        self._check()

    async def _start(self, tasks: TaskGroup) -> None:
        await self._deployment.start(tasks)
        for number in range(self._params.vms):
            self._vms.append(await self._create_vm(number, tasks))
        with anyio.fail_after(_READY_TIMEOUT_S):
            for vm in self._vms:
                while not await self._callers.is_served_by(vm.number):
                    await anyio.sleep(_POLL_S)
        for _ in range(self._params.callers):
            tasks.start_soon(self._callers.run)
        tasks.start_soon(self._faults.change_routes)

    async def _create_vm(self, number: int, tasks: TaskGroup) -> SoakVm:
        endpoint = Endpoint(
            address=_PROXY_ADDRESS, port=find_free_ports(_PROXY_ADDRESS, 1)[0]
        )
        proxy = FaultProxy(endpoint, self._deployment.store_endpoint)
        await proxy.start(tasks)
        settings = self._deployment.write_settings(
            number,
            self._folder,
            store=endpoint,
        )
        log = self._folder / f'vm-{number}.log'
        vm = SoakVm(number, settings, log, proxy)
        vm.start()
        return vm

    async def _recover(self, tasks: TaskGroup) -> None:
        while self._faults.disturbances.is_active:
            await anyio.sleep(_POLL_S)
        tasks.start_soon(self._faults.drain, _CALM_DRAIN_S)
        await anyio.sleep(_RECOVERY_S)
        observed_since = time.monotonic()
        await anyio.sleep(_OBSERVATION_S)
        # Requests with a revoked key or to a dropped route are refused on
        # purpose.
        observed = [
            call
            for call in self._callers.calls
            if call.sent_at >= observed_since
            and call.key in self._deployment.keys
            and call.kind in MAIN_ROUTES
        ]
        served = sum(call.status == 200 for call in observed)
        self.report.recovered_fraction = served / max(1, len(observed))

    def _check(self) -> None:
        report = self.report
        calls = self._callers.calls
        writers = self._deployment.writers
        executions = self._deployment.executions
        report.faults = self._faults.injected
        report.calls = len(calls)
        report.answered = sum(call.status == 200 for call in calls)
        started_at_by_vm = {vm.number: vm.started_at for vm in self._vms}
        versions = VersionChecker(
            writers.writes,
            writers.returns,
            self._faults.disturbances,
            started_at_by_vm,
        )
        drains = DrainChecker(
            writers.writes, writers.returns, self._faults.disturbances
        )
        report.losses = versions.list_losses()
        services = self._deployment.list_services()
        report.violations = [
            *check_calls(
                calls,
                executions,
                [one for one in services if one != 'orders'],
                versions.compute_revoked_at_by_key(),
                _KEY_BOUND_S,
            ),
            *StatementChecker(
                calls, self._deployment.arrivals, started_at_by_vm
            ).check(),
            *versions.check(calls, {one.request_id for one in executions}),
            *drains.check(calls, self._deployment.arrivals),
        ]
        if report.recovered_fraction < _MIN_RECOVERED_FRACTION:
            report.violations.append(
                f'only {report.recovered_fraction:.2f} of the requests were '
                'answered after the faults',
            )
        for vm in self._vms:
            text = vm.log.read_text(errors='replace')
            if 'Traceback' in text:
                tail = '\n'.join(text.splitlines()[-_LOG_TAIL_LINES:])
                report.violations.append(f'vm-{vm.number} failed: {tail}')


def run_soak(
    params: SoakParameters, keep: pathlib.Path | None = None
) -> SoakReport:
    """Run a soak; on a violation, keep what explains it.

    The logs, the faults and the lost versions are written to `keep`/seed-<seed>.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        soak = _Soak(params, folder)
        anyio.run(soak.run)
        if soak.report.violations and keep is not None:
            target = keep / f'seed-{params.seed}'
            target.mkdir(parents=True, exist_ok=True)
            faults = '\n'.join(
                sorted((*soak.report.faults, *soak.report.losses))
            )
            (target / 'faults.txt').write_text(f'{faults}\n')
            for log in folder.glob('*.log'):
                (target / log.name).write_bytes(log.read_bytes())
    return soak.report
