"""Traffic with single searchers in the format of Prometheus."""

from collections.abc import Iterator, Mapping
from typing import Any

from jacinthcart.routing import SearcherTraffic

#: Names of counters by the attribute that they show.
_COUNTERS = (
    ('sends', 'searcher_sends'),
    ('received_bytes', 'searcher_received_bytes'),
    ('parse_s', 'searcher_parse_seconds'),
)


def collect_traffic(
    traffic_by_label: Mapping[str, SearcherTraffic], core: Any
) -> Iterator[Any]:
    """Yield a counter family for each figure.

    `core` is the module of this name of the Prometheus client.
    """
    items = sorted(traffic_by_label.items())
    for attribute, name in _COUNTERS:
        family = core.CounterMetricFamily(
            f'jacinthcart_{name}', f'{name} by searcher', labels=['searcher']
        )
        for label, traffic in items:
            family.add_metric([label], getattr(traffic, attribute))
        yield family
    unfinished = core.CounterMetricFamily(
        'jacinthcart_searcher_unfinished_responses',
        'responses that began to arrive and did not complete',
        labels=['searcher', 'reason'],
    )
    for label, traffic in items:
        for reason, count in sorted(traffic.unfinished_by_reason.items()):
            unfinished.add_metric([label, reason], count)
    yield unfinished
