"""Tests of the operators' metrics."""

import unittest

from jacinthcart.node._operator_api import describe_node, encode_metrics
from jacinthcart.platform.assembly import create_node
from jacinthcart.platform.settings_file import decode_settings
from jacinthcart.readings import Position
from tests.platform.test_settings_file import create_fields
from tests.support import create_item


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

    def test_revisions_of_the_copy_are_shown(self) -> None:
        """Guards against copies that differ while their proofs agree."""
        node = create_node(decode_settings(create_fields()))[0]
        node.table.merge([create_item('op/evacuate/a', 4, None)])
        node.table.merge([create_item('servers/a', 9, b'{}')])
        node.table.mark_complete_to(Position(0, 6))
        expected = {
            'era': 0,
            'operator_era': 0,
            'operator_revision': 4,
            'newest_revision': 9,
            'complete_to': 6,
        }
        status = describe_node(node)
        lines = encode_metrics(node).decode().splitlines()
        for name, revision in expected.items():
            with self.subTest(name):
                self.assertEqual(status.get(name), revision)
                self.assertIn(f'jacinthcart_{name} {revision}.0', lines)

    def test_memory_and_traffic_are_shown(self) -> None:
        """Guards against a searcher that sends without end unseen."""
        node = create_node(decode_settings(create_fields()))[0]
        traffic = node.diagnostics.traffic.get('s-1')
        traffic.sends = 3
        traffic.parse_s = 0.5
        traffic.received_bytes = 70_000
        traffic.unfinished_by_reason['too large'] += 2
        status = describe_node(node)
        lines = encode_metrics(node).decode().splitlines()
        for line in (
            'jacinthcart_searcher_sends_total{searcher="s-1"} 3.0',
            'jacinthcart_searcher_parse_seconds_total{searcher="s-1"} 0.5',
            'jacinthcart_searcher_received_bytes_total{searcher="s-1"} 70000.0',
            'jacinthcart_searcher_unfinished_responses_total'
            '{reason="too large",searcher="s-1"} 2.0',
            'jacinthcart_memory_limit_bytes 2e+08',
            'jacinthcart_response_body_bytes 0.0',
        ):
            with self.subTest(line):
                self.assertIn(line, lines)
        self.assertGreater(status['resident_bytes'], 1_000_000)
        self.assertEqual(status['searcher_queue_bytes'], 0)
