"""The searchers that one request may be sent to."""

from jacinthcart.catalogue import Searcher
from jacinthcart.routing import CallContext, SearcherClient
from jacinthcart.serving._policy import HoldPolicy


class Candidates:
    """Chooses among a service's searchers, excluding those already tried."""

    def __init__(
        self,
        context: CallContext,
        service: str,
        client: SearcherClient,
        hold_policy: HoldPolicy,
    ) -> None:
        """Create the candidates; no searcher has been tried yet."""
        self.tried: set[str] = set()
        self._route = context.route
        self._service = service
        self._client = client
        self._hold_policy = hold_policy

    def choose(self, *, includes_backed_off: bool) -> Searcher | None:
        """Return the untried searcher with the lowest cost, or None."""
        return self._client.table.choose(
            self._service,
            self.tried,
            self._client.estimate_service_time_s(self._route),
            self._route.target_s,
            includes_backed_off=includes_backed_off,
        )

    def compute_earliest_send(self) -> float:
        """Return the earliest clock time of a send to an untried searcher."""
        return self._client.table.compute_earliest_send(
            self._service, self.tried
        )

    def should_hold(self, searcher: Searcher) -> bool:
        """Return whether to hold the request back from `searcher` for now."""
        table = self._client.table
        return self._hold_policy.should_hold(
            self._service,
            table.get_health(searcher).in_flight,
            table.estimate_latency_s(
                searcher,
                self._client.estimate_service_time_s(self._route),
            ),
            self._client.clock(),
        )
