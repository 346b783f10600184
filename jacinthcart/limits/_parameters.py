"""Rate limit parameters derived from a workspace's settings."""

import dataclasses

from jacinthcart.settings import Policy, Workspace

_MS_PER_S = 1000
#: Maximum fraction of the burst that outstanding permits may take up.
_LIFETIME_BURST_FRACTION = 0.1


@dataclasses.dataclass(frozen=True)
class LimitParameters:
    """Rate, capacity and permit lifetime, totalled over all owners."""

    #: Refill rate in tokens per second.
    rate: float
    #: Total bucket capacity: the burst minus the tokens of one lifetime.
    capacity: float
    #: Permit lifetime in seconds.
    lifetime_s: float
    #: Number of owners, limited so that each bucket can hold a whole token.
    owner_count: int


def derive_parameters(workspace: Workspace, policy: Policy) -> LimitParameters:
    """Return the limit parameters of one workspace under `policy`."""
    lifetime_s = min(
        policy.permit_lifetime_ms / _MS_PER_S,
        _LIFETIME_BURST_FRACTION * workspace.burst / workspace.rate,
    )
    capacity = workspace.burst - workspace.rate * lifetime_s
    owner_count = max(1, min(policy.share_spread, int(capacity)))
    return LimitParameters(workspace.rate, capacity, lifetime_s, owner_count)
