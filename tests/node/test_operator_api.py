"""Tests of the operators' metrics."""

import unittest

from jacinthcart.node._operator_api import encode_metrics
from jacinthcart.platform.assembly import create_node
from jacinthcart.platform.settings_file import decode_settings
from tests.platform.test_settings_file import create_fields


class MetricsPageTests(unittest.TestCase):
    """The page `/metrics`."""

    def test_ratios_are_not_listed_as_latencies(self) -> None:
        """Guards against a ratio that fails the page or reads as seconds."""
        node = create_node(decode_settings(create_fields()))[0]
        node.metrics.record_ratio(('prediction', 'a'), 2.5)
        node.metrics.record_seconds(('request', 'mill', 'a'), 0.5)
        lines = encode_metrics(node).decode().splitlines()
        self.assertIn(
            'jacinthcart_latency_ratio'
            '{kind="prediction",quantile="0.9",route="a"} 2.5',
            lines,
        )
        self.assertFalse(
            [
                line
                for line in lines
                if line.startswith('jacinthcart_latency_seconds')
                and 'prediction' in line
            ]
        )
