"""What load reports and the latencies beside them tell."""

from jacinthcart.catalogue import Route, Searcher
from jacinthcart.routing._cost import estimate_reported_latency_s
from jacinthcart.routing._load_report import LoadReport
from jacinthcart.routing._searcher_log import SearcherLog
from jacinthcart.routing._table import RoutingTable

#: Service time assumed until one is known, as a fraction of the target.
_DEFAULT_SERVICE_FRACTION = 0.25


class ReportRecorder:
    """Learns service times, and whose reports contradict their latencies."""

    def __init__(self, table: RoutingTable, log: SearcherLog) -> None:
        """Create the recorder."""
        self._table = table
        self._log = log
        #: Names of the routes of which a response has reported a slowdown.
        self.routes_with_slowdown: set[str] = set()

    def check(
        self,
        searcher: Searcher,
        load: LoadReport | None,
        latency_s: float,
        service_time_s: float,
    ) -> None:
        """Compare a report with the latency of the response that brought it.

        `load` has just been recorded and `service_time_s` is the usual
        service time of the request. Reports from which no queueing delay is
        predicted are not compared.
        """
        if load is None or not self._predicts_delay(searcher, load):
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

    def record_service_time(
        self,
        searcher: Searcher,
        route: Route,
        load: LoadReport,
        latency_s: float,
    ) -> None:
        """Record the latency of a response if queueing delays are predicted.

        They are where the slowdown is reported and where queries are urgent.
        """
        if not self._predicts_delay(searcher, load):
            return
        if load.slowdown is not None:
            self.routes_with_slowdown.add(route.name)
        health = self._table.get_health(searcher)
        is_credible = health.report_accuracy.is_credible
        self._table.service_times.record(
            route.name,
            searcher.service,
            latency_s / health.compute_slowdown(health.load_at),
            route.target_s * _DEFAULT_SERVICE_FRACTION,
            is_queued=load.waiting > 0 or not is_credible,
        )

    def _predicts_delay(self, searcher: Searcher, load: LoadReport) -> bool:
        return load.slowdown is not None or (
            self._table.queue_delays.needs_estimates(searcher.service)
        )
