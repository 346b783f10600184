"""Input files and fault messages of the emulators."""

import pydantic


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid')


class SearcherSpec(_Model):
    """One emulated searcher."""

    id: str
    address: str
    port: int
    shards: tuple[int, ...]
    versions: tuple[int, ...] = (1,)
    partition_map: int = 1
    slots: int = 2
    queue_limit: int = 50
    connection_limit: int = 25
    #: Time to accept a new connection, in milliseconds.
    connect_ms: float = 0
    #: Median service time of a request, in milliseconds.
    service_ms: float = 5
    #: Standard deviation of the logarithm of the service time.
    service_spread: float = 0.2
    cold: bool = False
    cold_allowance: int = 1
    #: Requests that a cold searcher serves before it is warm.
    warm_after_requests: int = 20


class SearchersFile(_Model):
    """Searchers of one process; `seed` makes service times reproducible."""

    control_address: str
    control_port: int
    seed: int = 1
    searchers: tuple[SearcherSpec, ...]


class SearcherFault(_Model):
    """A change of the faults of a searcher; None leaves a field unchanged.

    Fractions are relative to all answers, times are in milliseconds.
    """

    searcher: str
    straggle_fraction: float | None = None
    straggle_factor: float | None = None
    truncate_fraction: float | None = None
    cross_fraction: float | None = None
    wrong_version_fraction: float | None = None
    missing_shard_fraction: float | None = None
    stall: bool | None = None
    refuse_connections: bool | None = None
    draining: bool | None = None
    #: Make the searcher cold; its generation changes only with
    #: `new_generation`.
    cold: bool | None = None
    new_generation: bool = False
    #: Report the state `warm` while cold.
    hide_state: bool | None = None
    versions: tuple[int, ...] | None = None
    shards: tuple[int, ...] | None = None
    partition_map: int | None = None


class ConfigPut(_Model):
    """New values by path, as an operator publishes them; None deletes."""

    values: dict[str, object]


class ConfigFault(_Model):
    """A change of the faults of the configuration service."""

    #: Reject every read.
    down: bool | None = None
    #: Serve reads as of this revision; -1 disables the fault.
    stale_at: int | None = None
    #: Discard every change newer than this revision.
    restart_at: int | None = None
    #: Delay of the VM list, in seconds.
    vm_list_lag_s: float | None = None
    #: New content of the VM list.
    vms: dict[str, str] | None = None
