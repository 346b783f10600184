"""Description of a decision of overload control."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class OverloadDecision:
    """What overload control would decide on a query, and from what."""

    #: Mode; queries are held and refused only if it is `on`.
    mode: str
    #: Routes with the priorities of the queries that compete for the same
    #: shards, this one included.
    competing: tuple[tuple[str, int], ...]
    #: Queueing delay in seconds with which all of them are in time.
    slack_s: float
    #: Slowest of the shards that an answer needs.
    decisive_shard: str
    #: Queueing delay of that shard in seconds.
    delay_s: float
    #: Fraction of such queries that is admitted, from 0 to 1.
    admitted_fraction: float
    #: Seconds after which a query that was not admitted is refused.
    max_wait_s: float
