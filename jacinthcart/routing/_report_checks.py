"""Comparison of the load reports of searchers with their latencies."""

import dataclasses

from jacinthcart.catalogue import Searcher
from jacinthcart.routing._cost import estimate_reported_latency_s
from jacinthcart.routing._load_report import LoadReport
from jacinthcart.routing._searcher_log import SearcherLog
from jacinthcart.routing._table import RoutingTable


class ReportChecks:
    """Completes reports and finds those that contradict latencies."""

    def __init__(self, table: RoutingTable, log: SearcherLog) -> None:
        """Create the checks."""
        self._table = table
        self._log = log

    def complete(self, searcher: Searcher, load: LoadReport) -> LoadReport:
        """Return the report as predictions use it.

        The slowdown counts as usual if queueing delays matter and it is not
        reported. The searcher's slowness then includes that of its machine.
        """
        if load.slowdown is not None:
            return load
        if not self._table.queue_delays.needs_estimates(searcher.service):
            return load
        return dataclasses.replace(load, slowdown=1.0)

    def check(
        self,
        searcher: Searcher,
        load: LoadReport | None,
        latency_s: float,
        service_time_s: float,
    ) -> None:
        """Compare a report with the latency of the response that brought it.

        `load` has just been recorded and `service_time_s` is the usual
        service time of the request. Reports without a slowdown are not
        compared: predictions don't rely on them.
        """
        if load is None or load.slowdown is None:
            return
        health = self._table.get_health(searcher)
        service_times = self._table.service_times
        was_credible = health.report_accuracy.is_credible
        health.report_accuracy.record(
            latency_s,
            estimate_reported_latency_s(
                health,
                load,
                service_time_s=service_time_s,
                mean_service_time_s=service_times.get_mean_s(searcher.service),
                slots=searcher.slots,
            ),
            service_time_s,
        )
        if was_credible and not health.report_accuracy.is_credible:
            self._log.log_unreliable_load(searcher)
