"""Tests of the measured delay of the event loop."""

from unittest import TestCase, mock

import anyio

from jacinthcart.telemetry import LoopDelayRecorder, Metrics
from tests.support import run_in_virtual_time

_KEY = ('event_loop_delay', '', '')


async def _run(pauses_s: dict[int, float]) -> tuple[Metrics, mock.Mock]:
    """Run for 20 measurements; the loop stands still before some of them."""
    metrics = Metrics()
    logger = mock.Mock()
    paused_s = 0.0
    recorder = LoopDelayRecorder(
        metrics, logger, lambda: anyio.current_time() + paused_s
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(recorder.run)
        await anyio.sleep(0.1)
        for number in range(20):
            paused_s += pauses_s.get(number, 0)
            await anyio.sleep(0.25)
        tasks.cancel_scope.cancel()
    return metrics, logger


class LoopDelayTests(TestCase):
    """A pause of the loop is seen whatever its cause."""

    def test_pause_is_counted_and_logged(self) -> None:
        """Guards against a loop that stands still without a sign."""
        metrics, logger = run_in_virtual_time(_run, {5: 0.4, 9: 1.5})
        counts = metrics.counts_by_key
        self.assertEqual(counts['event_loop_delay', 'long'], 2)
        self.assertEqual(counts['event_loop_delay', 'long_ms'], 1900)
        longest_s = metrics.quantile_seconds(_KEY, 1)
        self.assertAlmostEqual(longest_s or 0, 1.5, delta=0.02)
        logger.warning.assert_called_with(
            'event loop delayed', limit_key='event_loop_delay', delay_ms=1500
        )

    def test_short_delays_are_not_logged(self) -> None:
        """Guards against lines about a loop that is only busy."""
        metrics, logger = run_in_virtual_time(_run, {5: 0.05})
        logger.warning.assert_not_called()
        median_s = metrics.quantile_seconds(_KEY, 0.5, 20)
        self.assertLess(median_s or 1, 0.001)
