"""Models of the experiment file."""

import pathlib
from typing import Self

import pydantic

from jacinthcart.settings import RequestClass, RouteKind

MAX_DURATION_S = 86400
MAX_REQUESTS = 10_000_000


class _ExperimentModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class EntryAddress(_ExperimentModel):
    """Address and port of the entry of one VM."""

    address: pydantic.IPvAnyAddress
    port: int = pydantic.Field(ge=1, le=65535)


class RouteLoad(_ExperimentModel):
    """A route and its weight among the arrivals of a workspace."""

    route: str = pydantic.Field(pattern='^[^/]+/[^/]+$')
    kind: RouteKind
    request_class: RequestClass
    weight: float = pydantic.Field(default=1, gt=0)
    deadline_ms: int = pydantic.Field(default=2000, ge=1)


class WorkspaceLoad(_ExperimentModel):
    """A workspace with its key, routes and weight among all arrivals."""

    workspace: str = pydantic.Field(pattern='^[^/]+/[^/]+$')
    #: Name of the environment variable that holds the key.
    key_environment: str | None = None
    #: File that holds the key.
    key_file: pathlib.Path | None = None
    weight: float = pydantic.Field(default=1, gt=0)
    #: Entry for all requests; None uses the entries in address responses.
    pinned_entry: EntryAddress | None = None
    routes: tuple[RouteLoad, ...] = pydantic.Field(min_length=1)
    #: Fleet-wide rate limit that the answers are checked against.
    rate: float | None = pydantic.Field(default=None, gt=0)
    burst: float | None = pydantic.Field(default=None, gt=0)

    @pydantic.model_validator(mode='after')
    def _check_pairs(self) -> Self:
        if self.key_environment and self.key_file:
            raise ValueError(
                'key_environment and key_file are mutually exclusive'
            )
        if (self.rate is None) != (self.burst is None):
            raise ValueError('rate and burst must be given together')
        return self


class Bursts(_ExperimentModel):
    """Periodic bursts of requests in addition to the steady arrivals."""

    every_s: float = pydantic.Field(gt=0)
    size: int = pydantic.Field(ge=1)


class Phase(_ExperimentModel):
    """A period of the run with its own arrival rate."""

    name: str
    duration_s: float = pydantic.Field(gt=0, le=MAX_DURATION_S)
    #: Factor applied to the rates of all workspaces.
    factor: float = pydantic.Field(default=1, ge=0)
    #: Additional factors for the rates of individual workspaces.
    factor_by_workspace: dict[str, float] = {}
    bursts: Bursts | None = None


class Experiment(_ExperimentModel):
    """Definition of one run of `jacinthcart-load`."""

    name: str
    seed: int = 1
    #: Entries that callers first request addresses from.
    entries: tuple[EntryAddress, ...] = pydantic.Field(min_length=1)
    workspaces: tuple[WorkspaceLoad, ...] = pydantic.Field(min_length=1)
    #: Mean arrivals per second over all workspaces together.
    rate_per_s: float = pydantic.Field(gt=0)
    #: Zipf exponent that favours the first workspaces; 0 keeps the weights.
    skew: float = pydantic.Field(default=0, ge=0)
    phases: tuple[Phase, ...] = pydantic.Field(min_length=1)
    max_requests: int = pydantic.Field(default=100_000, ge=1, le=MAX_REQUESTS)
    #: Requests above this number in flight are recorded as not sent.
    max_in_flight: int = pydantic.Field(default=1000, ge=1)

    @property
    def duration_s(self) -> float:
        """Total duration of all phases in seconds."""
        return sum(phase.duration_s for phase in self.phases)
