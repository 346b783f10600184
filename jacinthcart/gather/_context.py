"""What the queries of one gather share, and the pinned query."""

import dataclasses

from jacinthcart.errors import RefusalCode, RefusalError
from jacinthcart.feed import StateFeed
from jacinthcart.gather._backend import BaseDispatcher
from jacinthcart.gather._messages import QueryMessage
from jacinthcart.gather._peers import PeerSet
from jacinthcart.gather._plan import OwnerTable
from jacinthcart.settings import RouteKind, SettingsView
from jacinthcart.telemetry import Metrics


@dataclasses.dataclass(frozen=True)
class GatherParts:
    """What the queries of one gather share."""

    #: Settings in force, live VMs and the serving lease.
    feed: StateFeed
    #: Searchers of the parts that this VM owns.
    dispatcher: BaseDispatcher
    #: Gathers of other VMs.
    peers: PeerSet
    #: Owners of parts by view.
    owner_table: OwnerTable
    #: Histograms and counters.
    metrics: Metrics

    def check_may_send(self, deadline: float) -> None:
        """Raise RefusalError without lease or past the deadline (s)."""
        if not self.feed.is_serving():
            raise RefusalError(RefusalCode.NOT_READY, detail='no lease')
        if self.feed.clock() >= deadline:
            raise RefusalError(RefusalCode.DEADLINE_PASSED)


@dataclasses.dataclass(frozen=True)
class PinnedQuery:
    """A query with the settings of the moment that it started."""

    #: The validated request.
    message: QueryMessage
    #: Settings in force when the query started.
    view: SettingsView
    #: Time in seconds until which parts may answer.
    merge_deadline: float

    @property
    def is_submit(self) -> bool:
        """Return whether the request must run at most once."""
        return self.message.route_kind is RouteKind.SUBMIT
