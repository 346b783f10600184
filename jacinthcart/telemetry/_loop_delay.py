"""Measures how late the event loop runs its tasks."""

from collections.abc import Callable

import anyio

from jacinthcart.telemetry._logs import Logger
from jacinthcart.telemetry._metrics import Metrics

#: Seconds between two measurements.
_INTERVAL_S = 0.25
#: Seconds from which on a delay is counted and logged. Limits of requests and
#: heartbeats are fractions of a second.
_LONG_DELAY_S = 0.1
_MILLISECONDS_PER_SECOND = 1000
_METRIC = 'event_loop_delay'


class LoopDelayRecorder:
    """Records the delay of a task that sleeps for short intervals.

    All tasks are as late while one of them computes without a pause, or while
    the process does not run.
    """

    def __init__(
        self,
        metrics: Metrics,
        logger: Logger,
        clock: Callable[[], float],
    ) -> None:
        """Create the recorder; `clock` returns seconds."""
        self._metrics = metrics
        self._logger = logger
        self._clock = clock

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_at = self._clock() + _INTERVAL_S
            await anyio.sleep(_INTERVAL_S)
            self._record(max(0.0, self._clock() - due_at))

    def _record(self, delay_s: float) -> None:
        # Histograms of durations have a workspace and a route.
        self._metrics.record_seconds((_METRIC, '', ''), delay_s)
        if delay_s < _LONG_DELAY_S:
            return
        delay_ms = round(delay_s * _MILLISECONDS_PER_SECOND)
        self._metrics.count(_METRIC, 'long')
        self._metrics.count(_METRIC, 'long_ms', amount=delay_ms)
        self._logger.warning(
            'event loop delayed', limit_key=_METRIC, delay_ms=delay_ms
        )
