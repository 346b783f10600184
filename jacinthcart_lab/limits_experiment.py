"""Wrongful refusals of the rate limiter before and after a VM is lost."""

import dataclasses
import random
from collections.abc import Sequence
from typing import Any

import anyio

from jacinthcart.settings import SettingsView, build_view
from jacinthcart_lab._virtual_time import run_in_virtual_time
from jacinthcart_lab.limits_fleet import SimulatedFleet
from jacinthcart_lab.limits_oracle import LimitInForce, compute_excess

WORKSPACE_ID = 'voskovka/praha'
VM_COUNT = 8
VM_IDS = tuple(f'vm-{number}' for number in range(VM_COUNT))
_FIRST_PORT = 7000
#: Seconds for the buckets to fill before the first request.
_FILL_S = 2.0
#: Seconds of traffic before the measurement.
_WARM_UP_S = 2.0


@dataclasses.dataclass(frozen=True)
class LimitsExperiment:
    """Parameters of a run of the experiment."""

    #: Seed of every random choice.
    seed: int
    #: Demand as a fraction of the workspace's rate.
    load: float = 0.8
    #: Rate of the workspace, in requests per second.
    rate: float = 400
    #: Capacity of the token bucket, in requests.
    burst: float = 400
    #: False disables lending, to measure static shares as the baseline.
    lending_enabled: bool = True
    #: Measured seconds before the loss of a VM.
    calm_s: float = 10
    #: Measured seconds after the loss.
    loss_s: float = 10


@dataclasses.dataclass(frozen=True)
class LimitsResult:
    """Measurements of a run of the experiment."""

    #: Requests with a response before the loss.
    calm_requests: int
    #: Refused fraction of these requests.
    calm_refused: float
    #: Requests with a response after the loss.
    loss_requests: int
    #: Refused fraction of these requests.
    loss_refused: float
    #: Largest excess over rate and burst in any window, in requests.
    excess: float
    #: Datagrams per second sent by all VMs.
    datagrams_per_s: float


def create_view(
    rate: float,
    burst: float,
    revision: int = 1,
    vm_ids: Sequence[str] = VM_IDS,
    **policy: Any,
) -> SettingsView:
    """Return settings of `vm_ids` and one workspace."""
    vms_by_id = {
        vm_id: {
            'address': '127.0.0.1',
            'data_centre': 'one',
            'entry_port': _FIRST_PORT,
            'gather_port': _FIRST_PORT + 1,
            'control_port': _FIRST_PORT + 2,
            'admin_port': _FIRST_PORT + 3,
        }
        for vm_id in vm_ids
    }
    team, name = WORKSPACE_ID.split('/')
    return build_view(
        {
            'fleet/roster': {'vms_by_id': vms_by_id},
            'fleet/policy': policy,
            f'teams/{team}/workspaces/{name}': {'rate': rate, 'burst': burst},
        },
        revision,
    )


def run_limits_experiment(experiment: LimitsExperiment) -> LimitsResult:
    """Run in virtual time: all callers use one VM, then another is killed."""
    return run_in_virtual_time(_run, experiment, seed=experiment.seed)


async def _run(experiment: LimitsExperiment) -> LimitsResult:
    rng = random.Random(experiment.seed)
    view = create_view(
        experiment.rate,
        experiment.burst,
        lending_enabled=experiment.lending_enabled,
    )
    async with anyio.create_task_group() as tasks:
        vm_ids = list(view.roster.vms_by_id) if view.roster else []
        fleet = SimulatedFleet(vm_ids, tasks, rng)
        started_at = anyio.current_time()
        fleet.start(view)
        caller_vm, lost_vm = fleet.vms[0], fleet.vms[1]
        await anyio.sleep(_FILL_S)
        tasks.start_soon(
            fleet.send_requests,
            WORKSPACE_ID,
            experiment.rate * experiment.load,
            lambda: caller_vm,
        )
        await anyio.sleep(_WARM_UP_S)
        calm_at = anyio.current_time()
        await anyio.sleep(experiment.calm_s)
        killed_at = anyio.current_time()
        lost_vm.kill()
        await anyio.sleep(experiment.loss_s)
        ended_at = anyio.current_time()
        tasks.cancel_scope.cancel()
    calm_requests, calm_refused = _count(fleet, calm_at, killed_at)
    loss_requests, loss_refused = _count(fleet, killed_at, ended_at)
    limit = LimitInForce(
        started_at,
        ended_at,
        experiment.rate,
        experiment.burst,
    )
    sent = sum(fleet.network.sent_by_kind.values())
    return LimitsResult(
        calm_requests,
        calm_refused,
        loss_requests,
        loss_refused,
        compute_excess(fleet.admitted_at, [limit], 0),
        sent / (ended_at - started_at - _FILL_S),
    )


def _count(
    fleet: SimulatedFleet,
    start: float,
    end: float,
) -> tuple[int, float]:
    admitted = sum(start <= at < end for at in fleet.admitted_at)
    refused = sum(start <= at < end for at in fleet.refused_at)
    requests = admitted + refused
    return requests, refused / max(1, requests)
