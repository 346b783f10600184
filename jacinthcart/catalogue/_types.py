"""Data types of the configuration and of searchers."""

import collections
import dataclasses
import enum
import functools
import itertools
from collections.abc import Mapping

#: Priority of the most urgent routes.
_MOST_URGENT = 0


class SearcherState(enum.StrEnum):
    """State of a searcher in its last published entry."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True)
class TrafficShare:
    """A service of a route and its share of the traffic."""

    service: str
    #: Weight relative to the other shares of the route; at least 0.
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Routing rules for requests to one host and path prefix."""

    #: Name in the configuration.
    name: str
    #: Host name of the requests, in lower case.
    host: str
    #: Path prefix that begins and ends with a slash.
    prefix: str
    #: Whether a request may run more than once.
    is_idempotent: bool
    #: Maximum time in seconds to serve a request.
    timeout_s: float
    #: Target latency in seconds; later responses have a reduced value.
    target_s: float
    #: Priority; 0 is the most urgent.
    priority: int
    #: Maximum number of searchers, of each shard if there are shards, that may
    #: run one request.
    attempts: int
    #: Whether callers need no key.
    is_public: bool
    #: Services among which requests are split by weight; empty for a
    #: scatter-gather route.
    shares: tuple[TrafficShare, ...]
    #: Services that each serve one shard; empty unless this is a
    #: scatter-gather route.
    shards: tuple[str, ...]
    #: Number of records in a merged response.
    top_k: int = 0
    #: Minimum fraction of the shards that a response must include.
    min_shard_fraction: float = 0

    @property
    def is_scattered(self) -> bool:
        """Return whether a request goes to every shard."""
        return bool(self.shards)


@dataclasses.dataclass(frozen=True)
class ServiceConfig:
    """Limits that apply to each searcher of a service."""

    name: str
    #: Maximum connections to one searcher from all VMs together.
    max_connections: int
    #: Limit in requests per second of a cold searcher; 0 for no limit.
    cold_rate_per_s: float


@dataclasses.dataclass(frozen=True)
class WorkspaceConfig:
    """Rate limit and priority of a workspace."""

    name: str
    #: Overrides the route's priority; None keeps it.
    priority: int | None
    #: Fleet-wide limit in requests per second; 0 for no limit.
    rate_per_s: float
    #: Requests above the rate that may be sent at once.
    burst: float


@dataclasses.dataclass(frozen=True)
class FrontLimits:
    """Limits on the size and timing of callers' requests."""

    #: Maximum size of the header section in bytes.
    max_header_bytes: int = 16384
    #: Maximum size of the body in bytes.
    max_body_bytes: int = 262144
    #: Seconds within which a header section must be complete once begun.
    header_timeout_s: float = 3.0
    #: Seconds after which an idle connection is closed.
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Searcher:
    """A searcher as described by its published entry."""

    #: Id under which the entry is published.
    searcher_id: str
    service: str
    #: IP address.
    address: str
    #: TCP port.
    port: int
    data_centre: str
    #: Number of requests that it runs concurrently.
    slots: int
    #: State in the last published entry.
    state: SearcherState
    #: Remaining milliseconds of its cold start when the entry was published.
    cold_left_ms: float
    #: Start time of the process in Unix milliseconds; a larger value means a
    #: new process.
    born: int
    #: Sequence number of the entry; increases within a process.
    sequence: int

    @property
    def process(self) -> tuple[str, int]:
        """Return searcher id and start time, which identify the process."""
        return self.searcher_id, self.born


@dataclasses.dataclass(frozen=True)
class Catalogue:
    """One version of the operators' configuration."""

    #: Version; increases, but not always by one.
    version: int
    #: Routes by host, longest prefix first.
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services_by_name: Mapping[str, ServiceConfig]
    workspaces_by_name: Mapping[str, WorkspaceConfig]
    #: Workspace names by caller key.
    workspace_name_by_key: Mapping[str, str]
    #: Limits of callers' requests.
    limits: FrontLimits

    @property
    def needs_keys(self) -> bool:
        """Return whether routes that are not public need a key."""
        return bool(self.workspaces_by_name)

    @functools.cached_property
    def contended_services(self) -> frozenset[str]:
        """Return the shards that urgent queries share with other queries.

        These are the shards of a query route of the highest priority and of a
        route of another one.
        """
        priorities_by_shards: dict[tuple[str, ...], set[int]] = (
            collections.defaultdict(set)
        )
        for route in itertools.chain.from_iterable(
            self.routes_by_host.values()
        ):
            priorities_by_shards[route.shards].add(route.priority)
        return frozenset(
            itertools.chain.from_iterable(
                shards
                for shards, priorities in priorities_by_shards.items()
                if _MOST_URGENT in priorities and len(priorities) > 1
            )
        )


def find_route(catalogue: Catalogue, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix that matches `path`.

    The routes of a host are sorted already, longest prefix first.
    """
    for route in catalogue.routes_by_host.get(host.lower(), ()):
        if path.startswith(route.prefix):
            return route
    return None
