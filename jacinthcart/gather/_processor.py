"""Estimates how long a new request waits for the CPU of this process."""

import time
from collections.abc import Callable

from jacinthcart.program import Clock

#: Time over which CPU cost per request and utilisation are measured.
_WINDOW_S = 1.0
#: Below this utilisation the wait of a request is negligible, whatever its
#: CPU cost.
_BUSY_UTILISATION = 0.7


class ProcessorWaitEstimator:
    """Measures CPU time per request and core utilisation over windows.

    A gather runs on one core. Without the estimate a busy gather accepts
    queries that it cannot answer before their deadline, and every accepted
    query delays all others.
    """

    def __init__(
        self,
        clock: Clock,
        read_cpu: Callable[[], float] = time.process_time,
    ) -> None:
        """Start the first window; `read_cpu` returns used CPU seconds."""
        self._clock = clock
        self._read_cpu = read_cpu
        self._window_started_at = clock()
        self._window_start_cpu_s = read_cpu()
        self._finished = 0
        self._cost_s = 0.0
        self._utilisation = 0.0

    def record_finished(self) -> None:
        """Count a finished request."""
        self._finished += 1
        self._close_window()

    def estimate_wait_s(self, in_flight: int) -> float:
        """Return the CPU time needed for the requests in flight and a new one.

        The estimate is 0 while the core is not busy.
        """
        self._close_window()
        if self._utilisation < _BUSY_UTILISATION:
            return 0
        return (in_flight + 1) * self._cost_s

    def _close_window(self) -> None:
        elapsed_s = self._clock() - self._window_started_at
        if elapsed_s < _WINDOW_S:
            return
        used_s = self._read_cpu() - self._window_start_cpu_s
        self._utilisation = used_s / elapsed_s
        if self._finished:
            self._cost_s = used_s / self._finished
        self._window_started_at += elapsed_s
        self._window_start_cpu_s += used_s
        self._finished = 0
