"""Watches the memory of VM processes and restarts them, as the platform does.

The kernel's receive queues of a process's sockets count for its memory.
"""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import signal
import subprocess
import time
from collections.abc import Iterable

from jacinthcart_lab._processes import spawn

_POLL_S = 0.02
_RESTART_DELAY_S = 0.5
_MEGABYTE = 1_000_000
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PROC = pathlib.Path('/proc')
#: Columns of /proc/net/tcp and /proc/net/udp.
_STATE_COLUMN = 3
_QUEUES_COLUMN = 4
_INODE_COLUMN = 9
#: Fields of /proc/PID/stat after the name: time in user and kernel mode.
_CPU_FIELDS = slice(11, 13)
#: States in which the column does not tell the bytes of a queue: SYN_SENT, where
#: it may be the difference of two sequence numbers of which only one is set,
#: and LISTEN, where it is the number of connections that wait.
_UNTOLD_STATES = frozenset(('02', '0A'))
_SOCKET_PREFIX = 'socket:['


@dataclasses.dataclass
class Usage:
    """What a VM has used since the play began; sizes in megabytes."""

    #: Peak of the resident memory.
    memory_mb: float = 0
    #: Peak of the receive queues of its sockets.
    queues_mb: float = 0
    #: Peak of both together.
    sum_mb: float = 0
    #: Processor time of all its processes, in seconds.
    cpu_s: float = 0


@dataclasses.dataclass(frozen=True)
class ProcessEnd:
    """The end of a process that nobody had asked to stop."""

    #: Number of the VM.
    vm: int
    #: Seconds since the play began.
    at_s: float
    #: Memory and queues at the end; 0 if the process ended by itself.
    sum_mb: float
    #: Exit code; None if it was killed because of its memory.
    code: int | None


class WatchedVm:
    """One VM: its process, and what it uses."""

    def __init__(
        self, number: int, settings_path: str, folder: pathlib.Path
    ) -> None:
        """Start the process, with its log in `folder`."""
        self.number = number
        self.usage = Usage()
        #: Whether its process is ending and the next one isn't started yet.
        self.is_stopping = False
        self._settings_path = settings_path
        self._log = folder / f'vm-{number}.log'
        self._earlier_cpu_s = 0.0
        self._cpu_s = 0.0
        self._cpu_at_reset_s = 0.0
        self.process = self._spawn()

    def start(self) -> None:
        """Start the next process."""
        self._earlier_cpu_s += self._cpu_s
        self._cpu_s = 0
        self.process = self._spawn()

    def end(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()

    def reset(self) -> None:
        """Begin to measure from now on."""
        self._cpu_at_reset_s = self._earlier_cpu_s + self._cpu_s
        self.usage = Usage()

    def measure(self, queue_bytes_by_inode: dict[str, int]) -> float:
        """Update the usage; return memory and queues now in megabytes.

        Raise OSError if the process has ended.
        """
        folder = _PROC / str(self.process.pid)
        pages = int((folder / 'statm').read_text().split()[1])
        memory_mb = pages * _PAGE_BYTES / _MEGABYTE
        queues = (
            queue_bytes_by_inode.get(inode, 0) for inode in _list_inodes(folder)
        )
        queues_mb = sum(queues) / _MEGABYTE
        stat = (folder / 'stat').read_text().rpartition(')')[2].split()
        self._cpu_s = sum(map(int, stat[_CPU_FIELDS])) / _TICKS_PER_S
        usage = self.usage
        usage.memory_mb = max(usage.memory_mb, memory_mb)
        usage.queues_mb = max(usage.queues_mb, queues_mb)
        usage.sum_mb = max(usage.sum_mb, memory_mb + queues_mb)
        usage.cpu_s = self._earlier_cpu_s + self._cpu_s - self._cpu_at_reset_s
        return memory_mb + queues_mb

    def _spawn(self) -> subprocess.Popen[bytes]:
        return spawn(
            self._log,
            'jacinthcart.platform',
            environment={'JACINTHCART_CONFIG': self._settings_path},
        )


class Watcher:
    """Measures all VMs and ends those that exceed their memory."""

    def __init__(self, vms: list[WatchedVm], memory_mb: float) -> None:
        """Watch `vms`, each of which may use `memory_mb` megabytes."""
        self.ends: list[ProcessEnd] = []
        self._vms = vms
        self._memory_mb = memory_mb
        self._begun_at = time.monotonic()
        self._restarts: set[asyncio.Task[None]] = set()

    def reset(self) -> None:
        """Begin to measure from now on."""
        self._begun_at = time.monotonic()
        self.ends = []
        for vm in self._vms:
            vm.reset()

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            await asyncio.sleep(_POLL_S)
            queue_bytes_by_inode = _read_queues()
            for vm in self._vms:
                if vm.is_stopping:
                    # Its peaks count until it has ended.
                    _measure(vm, queue_bytes_by_inode)
                elif self._check(vm, queue_bytes_by_inode):
                    self._start_later(vm)

    async def stop_and_start(self, vm: WatchedVm) -> int:
        """Stop a VM by SIGTERM, start it again and return the exit code."""
        vm.is_stopping = True
        vm.process.send_signal(signal.SIGTERM)
        code = await asyncio.to_thread(vm.process.wait)
        vm.start()
        vm.is_stopping = False
        return code

    def _start_later(self, vm: WatchedVm) -> None:
        vm.is_stopping = True
        task = asyncio.create_task(_restart(vm))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    def _check(
        self, vm: WatchedVm, queue_bytes_by_inode: dict[str, int]
    ) -> bool:
        """Measure a VM; return whether its process has ended or was killed."""
        sum_mb = _measure(vm, queue_bytes_by_inode)
        code = vm.process.poll()
        if code is None and sum_mb <= self._memory_mb:
            return False
        vm.end()
        at_s = round(time.monotonic() - self._begun_at, 2)
        self.ends.append(ProcessEnd(vm.number, at_s, round(sum_mb, 1), code))
        return True


def _measure(vm: WatchedVm, queue_bytes_by_inode: dict[str, int]) -> float:
    with contextlib.suppress(OSError, IndexError):
        return vm.measure(queue_bytes_by_inode)
    # The process has ended.
    return 0


async def _restart(vm: WatchedVm) -> None:
    await asyncio.sleep(_RESTART_DELAY_S)
    vm.start()
    vm.is_stopping = False


def _read_queues() -> dict[str, int]:
    """Return the bytes in the receive queues by inode of the socket."""
    queue_bytes_by_inode = {}
    for name in ('tcp', 'udp'):
        lines = (_PROC / 'net' / name).read_text().splitlines()
        queue_bytes_by_inode.update(parse_queues(lines[1:]))
    return queue_bytes_by_inode


def parse_queues(lines: Iterable[str]) -> dict[str, int]:
    """Return the bytes in receive queues by inode from lines of the kernel."""
    queue_bytes_by_inode = {}
    for line in lines:
        columns = line.split()
        waiting = int(columns[_QUEUES_COLUMN].partition(':')[2], 16)
        if waiting and columns[_STATE_COLUMN] not in _UNTOLD_STATES:
            queue_bytes_by_inode[columns[_INODE_COLUMN]] = waiting
    return queue_bytes_by_inode


def _list_inodes(folder: pathlib.Path) -> list[str]:
    """Return the inodes of the sockets of a process."""
    links = []
    for entry in os.scandir(folder / 'fd'):
        with contextlib.suppress(OSError):
            links.append(os.readlink(entry.path))
    return [
        link.removeprefix(_SOCKET_PREFIX).removesuffix(']')
        for link in links
        if link.startswith(_SOCKET_PREFIX)
    ]
