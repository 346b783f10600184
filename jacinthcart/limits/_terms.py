"""What a workspace's settings mean for its token owners."""

import dataclasses

from jacinthcart.settings import Policy, Workspace

_MS_PER_S = 1000
#: The part of the burst that permits in flight may take up at most.
_LIFETIME_BURST_SHARE = 0.1


@dataclasses.dataclass(frozen=True)
class LimitTerms:
    """Rate, capacity and permit lifetime over all owners together."""

    #: Tokens a second.
    rate: float
    #: Tokens in all buckets: the burst less one lifetime's worth of rate.
    capacity: float
    #: Permit lifetime in seconds.
    lifetime_s: float
    #: Owners; few enough that each bucket can hold a whole token.
    owner_count: int


def create_terms(workspace: Workspace, policy: Policy) -> LimitTerms:
    """Return the terms of one workspace under the policy."""
    lifetime_s = min(
        policy.permit_lifetime_ms / _MS_PER_S,
        _LIFETIME_BURST_SHARE * workspace.burst / workspace.rate,
    )
    capacity = workspace.burst - workspace.rate * lifetime_s
    owner_count = max(1, min(policy.share_spread, int(capacity)))
    return LimitTerms(workspace.rate, capacity, lifetime_s, owner_count)
