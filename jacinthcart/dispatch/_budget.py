"""Budget for extra requests, and a rate limiter."""

import anyio

from jacinthcart.program import Clock

#: Maximum number of unused tokens, so that a period of low load does not
#: permit a burst of extra requests later.
_MAX_TOKENS = 10.0


class ExtraRequestBudget:
    """Token bucket that limits the ratio of extra to ordinary requests."""

    def __init__(self, initial_tokens: float = 0) -> None:
        """Start with `initial_tokens`; each extra request costs one."""
        self._tokens = initial_tokens

    def deposit(self, ratio: float) -> None:
        """Add `ratio` of a token for one ordinary request."""
        self._tokens = min(self._tokens + ratio, _MAX_TOKENS)

    def try_withdraw(self) -> bool:
        """Spend a token on an extra request; return whether there was one."""
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
        """Wait until the next event is permitted, in order of arrival."""
        async with self._lock:
            now = self._clock()
            permitted_at = max(self._next_at, now - 1)
            if permitted_at > now:
                await anyio.sleep(permitted_at - now)
            self._next_at = permitted_at + 1 / rate_per_s
