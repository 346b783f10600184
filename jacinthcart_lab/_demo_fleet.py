"""Long-running demo fleet for trying the operators' command and the runbook."""

import pathlib
import signal
import sys

import orjson

from jacinthcart_lab._deployment import (
    build_fjordsom,
    build_voskovka,
    make_key,
)
from jacinthcart_lab._fleet import ADMIN_KEY, Fleet
from jacinthcart_lab._processes import FleetError

_SCALE = 0.3
_VM_COUNT = 3
_POLICY = (('ramp_step_ms', 200), ('drain_announce_ms', 500))
_STOP_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))
_CHECK_S = 0.2


def run_fleet(folder: pathlib.Path, first_port: int) -> int:
    """Run the demo fleet until SIGTERM or SIGINT; return the exit code.

    A VM whose three processes have ended is restarted, as the platform
    replaces a VM that keeps its roster entry.
    """
    fleet = Fleet(
        folder,
        (build_voskovka(_SCALE), build_fjordsom(_SCALE)),
        _VM_COUNT,
        dict(_POLICY),
        first_port,
    )
    try:
        _run(fleet)
    except FleetError as error:
        sys.stderr.write(f'fleet failed: {error}\n')
        return 1
    finally:
        fleet.close()
    return 0


def _run(fleet: Fleet) -> None:
    fleet.start()
    # Block the signals only now: processes of the fleet inherit the signal
    # mask and could not be stopped by a signal otherwise.
    signal.pthread_sigmask(signal.SIG_BLOCK, _STOP_SIGNALS)
    for vm_id in fleet.vms_by_id:
        _write_process_ids(fleet, vm_id)
    fleet.wait_until_ready()
    _write_access_files(fleet)
    _print_endpoints(fleet)
    while signal.sigtimedwait(_STOP_SIGNALS, _CHECK_S) is None:
        _restart_ended_vms(fleet)


def _restart_ended_vms(fleet: Fleet) -> None:
    for vm_id, vm in fleet.vms_by_id.items():
        processes = vm.processes_by_program.values()
        if all(process.poll() is not None for process in processes):
            signal.pthread_sigmask(signal.SIG_UNBLOCK, _STOP_SIGNALS)
            fleet.start_vm(vm_id)
            signal.pthread_sigmask(signal.SIG_BLOCK, _STOP_SIGNALS)
            _write_process_ids(fleet, vm_id)


def _write_process_ids(fleet: Fleet, vm_id: str) -> None:
    processes = fleet.vms_by_id[vm_id].processes_by_program.values()
    lines = [f'{process.pid}\n' for process in processes]
    (fleet.folder / f'{vm_id}.pids').write_text(''.join(lines))


def _write_access_files(fleet: Fleet) -> None:
    folder = fleet.folder
    (folder / 'admin.key').write_text(ADMIN_KEY)
    (folder / 'caller.key').write_text(make_key('voskovka', 'kavarna-1'))
    (folder / 'roster.json').write_bytes(
        orjson.dumps(fleet.values['fleet/roster']),
    )
    service = fleet.emulators.config_url.partition('//')[2]
    (folder / 'environment').write_text(
        f'export JACINTHCART_CONFIG={service}\n'
        f'export JACINTHCART_ADMIN_KEY_FILE={folder}/admin.key\n',
    )


def _print_endpoints(fleet: Fleet) -> None:
    lines = [f'configuration service: {fleet.emulators.config_url}']
    for vm_id, vm in fleet.vms_by_id.items():
        lines.append(f'{vm_id}: entry {vm.entry_url} admin {vm.admin_url}')
    lines.extend(
        (
            "environment of the operators' command: "
            f'. {fleet.folder}/environment',
            'publish a setting: python -m jacinthcart_lab put PATH JSON',
            'ready; stop with Ctrl-C or SIGTERM',
        ),
    )
    for line in lines:
        sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
