"""Tests of histograms."""

import math
import unittest

from jacinthcart.telemetry import Metrics


class RatioTests(unittest.TestCase):
    """Ratios have histograms apart from those of durations."""

    def test_quantiles_of_ratios(self) -> None:
        """Guards against a ratio that is read in another unit."""
        metrics = Metrics()
        for ratio in (0.5, 1, 2.5):
            metrics.record_ratio(('prediction', 'a'), ratio)
        quantile = metrics.quantile_ratio(('prediction', 'a'), 0.5)
        self.assertEqual(quantile, 1)
        self.assertEqual(metrics.list_ratio_keys(), [('prediction', 'a')])
        self.assertEqual(metrics.list_histogram_keys(), [])

    def test_ratio_out_of_range_is_recorded_at_the_bound(self) -> None:
        """Guards against an exception while a response is processed."""
        metrics = Metrics()
        for key, ratio in (('low', 0), ('high', 1e9), ('endless', math.inf)):
            metrics.record_ratio((key,), ratio)
        self.assertEqual(metrics.quantile_ratio(('low',), 0.5), 0.01)
        for key in ('high', 'endless'):
            highest = metrics.quantile_ratio((key,), 0.5) or 0
            self.assertAlmostEqual(highest, 100, delta=1)
