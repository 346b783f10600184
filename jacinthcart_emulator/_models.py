"""Input files and control messages of the emulators."""

import pydantic


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid')


class SearcherSpec(_Model):
    """Configuration of one emulated searcher."""

    id: str
    address: str
    port: int
    shards: tuple[int, ...]
    #: Index versions that searches may use.
    versions: tuple[int, ...] = (1,)
    #: Revision of the assignment of shards to parts.
    partition_map: int = 1
    #: Searches that run at the same time.
    slots: int = 2
    #: Searches that may wait for a slot.
    queue_limit: int = 50
    #: Maximum number of connections; further ones are closed immediately.
    connection_limit: int = 25
    #: Time to accept a new connection, in milliseconds.
    connect_ms: float = 0
    #: Median service time of a request, in milliseconds.
    service_ms: float = 5
    #: Standard deviation of the logarithm of the service time.
    service_spread: float = 0.2
    #: Whether the searcher is cold when it starts.
    cold: bool = False
    #: Searches that a cold searcher accepts at the same time.
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

    Each fraction is the probability that the fault affects a search.
    """

    #: Id of the searcher, or `*` for all searchers of the process.
    searcher: str
    #: Multiply the service time of a search by `straggle_factor`.
    straggle_fraction: float | None = None
    straggle_factor: float | None = None
    #: Send half of an answer, then close the connection.
    truncate_fraction: float | None = None
    #: Send the answer to the previous search instead.
    cross_fraction: float | None = None
    #: Answer from the index version after the requested one.
    wrong_version_fraction: float | None = None
    #: Omit the results of the last requested shard.
    missing_shard_fraction: float | None = None
    #: Never answer a search.
    stall: bool | None = None
    #: Close each new connection immediately.
    refuse_connections: bool | None = None
    #: Refuse every search and report the state `draining`.
    draining: bool | None = None
    #: Make the searcher cold or warm; its generation changes only with
    #: `new_generation`.
    cold: bool | None = None
    new_generation: bool = False
    #: Report the state `warm` and a load of 0 while cold.
    hide_state: bool | None = None
    versions: tuple[int, ...] | None = None
    shards: tuple[int, ...] | None = None
    partition_map: int | None = None


class ConfigPut(_Model):
    """New values by path, as an operator publishes them.

    None deletes a path.
    """

    values: dict[str, object]


class ConfigFault(_Model):
    """A change of the faults of the configuration service."""

    #: Reject every read with status 503.
    down: bool | None = None
    #: Serve reads as of this revision; -1 disables the fault.
    stale_at: int | None = None
    #: Discard every change newer than this revision, as a restart from an
    #: older state does.
    restart_at: int | None = None
    #: Delay of the VM list, in seconds.
    vm_list_lag_s: float | None = None
    #: New VM list: state by VM id.
    vms: dict[str, str] | None = None
