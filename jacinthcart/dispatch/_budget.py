"""Budgets: a share of requests, and a rate."""

import anyio

from jacinthcart.program import Clock

#: Unused budget is kept up to this many extra requests, so that a quiet
#: period does not pay for a burst.
_MAX_TOKENS = 10.0


class ShareBudget:
    """Permits extra requests up to a share of the ordinary ones."""

    def __init__(self, initial_tokens: float = 0) -> None:
        """Start with tokens for the first extra requests."""
        self._tokens = initial_tokens

    def deposit(self, share: float) -> None:
        """Count one ordinary request."""
        self._tokens = min(self._tokens + share, _MAX_TOKENS)

    def try_withdraw(self) -> bool:
        """Return whether one extra request may be sent; count it."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RateLimiter:
    """Spaces events to at most a rate, with a burst of one second.

    A wait that is cancelled uses no turn: otherwise requests that time out
    while they wait push the next turn further away than their deadlines,
    and no later request gets one in time.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with a full second's burst."""
        self._clock = clock
        self._next_at = clock() - 1
        self._lock = anyio.Lock()

    async def wait(self, rate_per_s: float) -> None:
        """Wait for this event's turn; waits are served in order."""
        async with self._lock:
            now = self._clock()
            turn_at = max(self._next_at, now - 1)
            if turn_at > now:
                await anyio.sleep(turn_at - now)
            self._next_at = turn_at + 1 / rate_per_s
