"""The operators' HTTP API: status, metrics and explanations."""

import importlib
import math
import types
from collections.abc import Iterator
from typing import Any

from jacinthcart.errors import InvalidMessageError
from jacinthcart.front import (
    RawRequest,
    RawResponse,
)
from jacinthcart.node._handler import BaseNodeHandler
from jacinthcart.node._diagnostics import MEMORY_NAMES
from jacinthcart.node._node import Node
from jacinthcart.node._traffic_metrics import collect_traffic
from jacinthcart.readings import START, ItemTable, Position
from jacinthcart.telemetry import Metrics
from jacinthcart.wire import encode_json

_JSON = ((b'Content-Type', b'application/json'),)
_TEXT = ((b'Content-Type', b'text/plain; version=0.0.4'),)
_QUANTILES = types.MappingProxyType({'0.5': 0.5, '0.9': 0.9, '0.99': 0.99})
#: Predictions may be too high as well as too low.
_RATIO_QUANTILES = types.MappingProxyType(
    {'0.01': 0.01, '0.1': 0.1, **_QUANTILES}
)


class OperatorHandler(BaseNodeHandler):
    """Serves `/v1/status` and `/v1/explain` as JSON, `/metrics` as text."""

    async def handle(self, request: RawRequest) -> RawResponse:
        """Return the requested document."""
        if request.path == '/v1/status':
            status = describe_node(self._node)
            return RawResponse(200, _JSON, encode_json(status))
        if request.path == '/metrics':
            return RawResponse(200, _TEXT, encode_metrics(self._node))
        if request.path == '/v1/explain':
            return await _explain(self._node, request.query)
        return RawResponse(404)


async def _explain(node: Node, query: dict[str, str]) -> RawResponse:
    try:
        explanation = await node.explainer.explain(
            query.get('host', ''),
            query.get('path', '/'),
            query.get('workspace'),
        )
    except InvalidMessageError as error:
        return RawResponse(400, _JSON, encode_json({'error': str(error)}))
    answer = {
        'vm': node.settings.vm_id,
        'method': query.get('method', 'GET'),
        'explanation': explanation,
    }
    return RawResponse(200, _JSON, encode_json(answer))


def describe_node(node: Node) -> dict[str, Any]:
    """Return the current state of this VM."""
    catalogue = node.catalogue_state.catalogue
    age_s = node.lease.age_s
    operator_position = _find_operator_position(node.table)
    return {
        'vm': node.settings.vm_id,
        'data_centre': node.settings.data_centre,
        'is_ready': node.is_ready,
        'version': catalogue.version if catalogue else None,
        'era': node.table.newest.era,
        'operator_era': operator_position.era,
        'operator_revision': operator_position.revision,
        'newest_revision': node.table.newest.revision,
        'complete_to': node.table.complete_to.revision,
        'proof_age_s': round(age_s, 3) if math.isfinite(age_s) else None,
        'reads_store': node.reads_store,
        'members': {
            record.address: record.state.value
            for record in (node.members.own, *node.members.list_others())
        },
        'members_counted': node.members.estimate_member_count(),
        'searchers': len(node.catalogue_state.searchers_by_id),
        'cold_searchers': node.list_cold_searchers(),
        'evacuated': sorted(node.catalogue_state.evacuated),
        'allotments': node.describe_quotas(),
        **node.diagnostics.describe_memory(),
    }


def _find_operator_position(table: ItemTable) -> Position:
    """Return the highest position of the keys that a proof must cover."""
    positions = [
        item.position
        for item in table.list_changes(START).items
        if item.key.startswith(table.proof_prefix)
    ]
    return max(positions, default=START)


def encode_metrics(node: Node) -> bytes:
    """Return counters, gauges and latency quantiles in Prometheus format."""
    # Imported on the first request only, as the library takes memory on
    # every VM.
    core = importlib.import_module('prometheus_client.core')
    exposition = importlib.import_module('prometheus_client.exposition')
    registry = core.CollectorRegistry()
    registry.register(_Collector(node, core))
    text: bytes = exposition.generate_latest(registry)
    return text


class _Collector:
    """Converts the node's metrics to those of the Prometheus client."""

    def __init__(self, node: Node, core: Any) -> None:
        """Initialise with the node and the library's `core` module."""
        self._node = node
        self._core = core

    def collect(self) -> Iterator[Any]:
        """Yield all metric families."""
        yield from self._collect_gauges()
        yield self._collect_counters(self._node.metrics)
        yield self._collect_latencies(self._node.metrics)
        yield self._collect_ratios(self._node.metrics)
        yield from collect_traffic(
            self._node.diagnostics.traffic.traffic_by_label, self._core
        )

    def _collect_gauges(self) -> Iterator[Any]:
        status = describe_node(self._node)
        gauge = self._core.GaugeMetricFamily
        for name in (
            'proof_age_s',
            'version',
            'era',
            'operator_era',
            'operator_revision',
            'newest_revision',
            'complete_to',
            'searchers',
            'members_counted',
            *MEMORY_NAMES,
        ):
            status_value = status[name]
            yield gauge(
                f'jacinthcart_{name}',
                f'{name} of this VM',
                value=math.nan if status_value is None else float(status_value),
            )
        members = gauge(
            'jacinthcart_members',
            'members by state',
            labels=['state'],
        )
        states = list(status['members'].values())
        for state in sorted(set(states)):
            members.add_metric([state], states.count(state))
        yield members

    def _collect_counters(self, metrics: Metrics) -> Any:
        counter = self._core.CounterMetricFamily(
            'jacinthcart_events',
            'events by kind and detail',
            labels=['kind', 'detail'],
        )
        for key, amount in sorted(metrics.counts_by_key.items()):
            counter.add_metric([key[0], '/'.join(key[1:])], amount)
        return counter

    def _collect_latencies(self, metrics: Metrics) -> Any:
        family = self._core.GaugeMetricFamily(
            'jacinthcart_latency_seconds',
            'latency quantiles by workspace and route',
            labels=['kind', 'workspace', 'route', 'quantile'],
        )
        for key in metrics.list_histogram_keys():
            kind, workspace, route = key
            for label, quantile in _QUANTILES.items():
                seconds = metrics.quantile_seconds(key, quantile)
                if seconds is not None:
                    family.add_metric([kind, workspace, route, label], seconds)
        return family

    def _collect_ratios(self, metrics: Metrics) -> Any:
        family = self._core.GaugeMetricFamily(
            'jacinthcart_latency_ratio',
            'quantiles of measured to predicted latency of sends, by route',
            labels=['kind', 'route', 'quantile'],
        )
        for key in metrics.list_ratio_keys():
            for label, quantile in _RATIO_QUANTILES.items():
                ratio = metrics.quantile_ratio(key, quantile)
                family.add_metric([*key, label], ratio)
        return family
