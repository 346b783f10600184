"""A fleet of the query tier as processes on this machine."""

import dataclasses
import hashlib
import itertools
import pathlib
import signal
import subprocess
from collections.abc import Iterable
from typing import Any

import orjson

from jacinthcart_lab._deployment import TeamSpec, build_values
from jacinthcart_lab._emulators import (
    CONFIG_ADDRESS,
    Emulators,
    wait_for_url,
)
from jacinthcart_lab._processes import spawn

ADMIN_KEY = 'sample-admin-key'
PROGRAMS = ('control', 'gather', 'entry')
_FIRST_PORT = 21000
_PORT_NAMES = ('entry_port', 'gather_port', 'control_port', 'admin_port')
_SEED_PEERS = 3
_HOSTS_PER_BLOCK = 250


@dataclasses.dataclass
class VmProcesses:
    """A VM: its settings and its three processes."""

    #: Process settings, as written to `file`.
    settings: dict[str, Any]
    #: The settings file.
    file: pathlib.Path
    #: Started processes by program name; some may have ended.
    processes_by_program: dict[str, subprocess.Popen[bytes]]

    @property
    def entry_url(self) -> str:
        """Base URL of the entry program."""
        return self._url('entry_port')

    @property
    def admin_url(self) -> str:
        """Base URL of the administration API."""
        return self._url('admin_port')

    def _url(self, port_name: str) -> str:
        address = self.settings['address']
        return f'http://{address}:{self.settings[port_name]}'


class Fleet:
    """Emulators and VMs that share a folder for files and logs."""

    def __init__(
        self,
        folder: pathlib.Path,
        teams: tuple[TeamSpec, ...],
        vm_count: int,
        policy: dict[str, Any] | None = None,
        first_port: int = _FIRST_PORT,
    ) -> None:
        """Allocate addresses; `start` starts the processes."""
        ports = itertools.count(first_port)
        self.folder = folder
        self.teams = teams
        self.emulators = Emulators(folder, ports)
        values, specs = build_values(teams, ports)
        self.values = values
        self.searcher_specs = specs
        vm_ports = {name: next(ports) for name in _PORT_NAMES}
        self.vms_by_id = {
            f'vm-{number}': self._create_vm(number, vm_count, vm_ports)
            for number in range(1, vm_count + 1)
        }
        self.values['fleet/roster'] = self._build_roster()
        self.values['fleet/policy'] = policy or {}

    def start(self, running_vms: Iterable[str] | None = None) -> None:
        """Start the emulators, publish the settings and start the VMs.

        `running_vms` limits the start to some VMs of the roster.
        """
        chosen = list(running_vms or self.vms_by_id)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.emulators.start(self.searcher_specs)
        self.emulators.put(self.values)
        self.emulators.set_config_fault(
            vms={vm_id: 'live' for vm_id in chosen},
        )
        for vm_id in chosen:
            self.start_vm(vm_id)

    def start_vm(
        self,
        vm_id: str,
        programs: tuple[str, ...] = PROGRAMS,
    ) -> None:
        """Start the processes of one VM."""
        vm = self.vms_by_id[vm_id]
        vm.file.write_bytes(orjson.dumps(vm.settings))
        for program in programs:
            self.start_program(vm_id, program)

    def start_program(self, vm_id: str, program: str) -> None:
        """Start one program of a VM whose settings file exists."""
        vm = self.vms_by_id[vm_id]
        vm.processes_by_program[program] = spawn(
            self.folder / f'{vm_id}-{program}.log',
            f'jacinthcart.{program}',
            '--settings',
            str(vm.file),
        )

    def wait_until_ready(self, timeout_s: float = 30) -> None:
        """Wait until every VM is ready; raise FleetError on timeout.

        `timeout_s` applies to each VM, one after the other.
        """
        for vm in self.vms_by_id.values():
            wait_for_url(f'{vm.entry_url}/v1/ready', timeout_s)

    def send_signal(self, vm_id: str, signal_number: signal.Signals) -> None:
        """Send a signal to the three processes of one VM."""
        for process in self.vms_by_id[vm_id].processes_by_program.values():
            if process.poll() is None:
                process.send_signal(signal_number)

    def stop_vm(self, vm_id: str, timeout_s: float = 20) -> list[int]:
        """Stop one VM gracefully; return the exit codes of its processes.

        Raise subprocess.TimeoutExpired if a process is still running after
        `timeout_s`.
        """
        self.send_signal(vm_id, signal.SIGTERM)
        processes = self.vms_by_id[vm_id].processes_by_program.values()
        return [process.wait(timeout_s) for process in processes]

    def close(self) -> None:
        """Kill every process that is still running."""
        for vm_id in self.vms_by_id:
            self.send_signal(vm_id, signal.SIGCONT)
            self.send_signal(vm_id, signal.SIGKILL)
        for vm in self.vms_by_id.values():
            for process in vm.processes_by_program.values():
                process.wait()
        self.emulators.close()

    def _create_vm(
        self,
        number: int,
        vm_count: int,
        ports: dict[str, int],
    ) -> VmProcesses:
        centres = self.teams[0].data_centres
        seeds = [
            {'address': _vm_address(peer), 'port': ports['control_port']}
            for peer in range(1, vm_count + 1)
            if peer != number
        ]
        admin_digest = hashlib.sha256(ADMIN_KEY.encode()).hexdigest()
        settings = {
            'vm_id': f'vm-{number}',
            'data_centre': centres[number % len(centres)],
            'address': _vm_address(number),
            **ports,
            'admin_key_sha256': admin_digest,
            'config_service': {
                'address': CONFIG_ADDRESS,
                'port': self.emulators.config_port,
            },
            'seed_peers': seeds[:_SEED_PEERS],
        }
        return VmProcesses(settings, self.folder / f'vm-{number}.json', {})

    def _build_roster(self) -> dict[str, Any]:
        names = ('address', 'data_centre', *_PORT_NAMES)
        return {
            'vms_by_id': {
                vm_id: {name: vm.settings[name] for name in names}
                for vm_id, vm in self.vms_by_id.items()
            },
        }


def _vm_address(number: int) -> str:
    block, host = divmod(number, _HOSTS_PER_BLOCK)
    return f'127.1.{block}.{host + 1}'
