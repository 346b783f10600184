"""Budget for extra requests, and a rate limiter."""

import anyio

from jacinthcart.program import Clock

#: Most extra requests that unused budget accumulates to, so that a period
#: of low load does not permit a burst of extra requests later.
_MAX_TOKENS = 10.0


class ShareBudget:
    """Token bucket that limits extra requests to a share of ordinary ones."""

    def __init__(self, initial_tokens: float = 0) -> None:
        """Start with tokens for the first `initial_tokens` extra requests."""
        self._tokens = initial_tokens

    def deposit(self, share: float) -> None:
        """Add the budget that one ordinary request contributes."""
        self._tokens = min(self._tokens + share, _MAX_TOKENS)

    def try_withdraw(self) -> bool:
        """Spend budget for one extra request; return whether there was any."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RateLimiter:
    """Limits events to a rate, with a burst of one second's events.

    A cancelled wait does not count as an event. Otherwise requests that time
    out while they wait would delay the next event beyond the deadlines of
    all later requests.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with the full burst available."""
        self._clock = clock
        self._next_at = clock() - 1
        self._lock = anyio.Lock()

    async def wait(self, rate_per_s: float) -> None:
        """Wait until the next event is permitted, in first-come order."""
        async with self._lock:
            now = self._clock()
            permitted_at = max(self._next_at, now - 1)
            if permitted_at > now:
                await anyio.sleep(permitted_at - now)
            self._next_at = permitted_at + 1 / rate_per_s
