"""VM of the system under test, controlled by the soak."""

import pathlib
import signal
import subprocess
import time

import anyio

from jacinthcart_lab._processes import spawn
from jacinthcart_lab.soak._proxy import FaultProxy

_POLL_S = 0.05


class SoakVm:
    """The process of one VM and its proxy to the store."""

    def __init__(
        self,
        number: int,
        settings: pathlib.Path,
        log: pathlib.Path,
        proxy: FaultProxy,
    ) -> None:
        self.number = number
        self.proxy = proxy
        self.log = log
        self.is_expected_to_run = False
        #: Monotonic times in seconds at which the process was started.
        self.started_at: list[float] = []
        self._settings = settings
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start or restart the process; its log is appended to."""
        self._process = spawn(
            self.log,
            'jacinthcart.platform',
            environment={'JACINTHCART_CONFIG': str(self._settings)},
        )
        self.is_expected_to_run = True
        self.started_at.append(time.monotonic())

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal_number)

    async def wait(self) -> int:
        """Wait until the process has ended and return its exit code."""
        while self._process is not None and self._process.poll() is None:
            await anyio.sleep(_POLL_S)
        return self._process.returncode if self._process else 0
