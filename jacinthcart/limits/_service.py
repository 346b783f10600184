"""Control's side of `POST /v1/permits`."""

from typing import Any

from jacinthcart.limits._borrower import Borrower
from jacinthcart.limits._messages import (
    GrantedPermits,
    PermitsReply,
    PermitsRequest,
    parse_message,
)
from jacinthcart.program import Clock


class PermitService:
    """Answers entry's requests for permits."""

    def __init__(self, borrower: Borrower, clock: Clock) -> None:
        """Get the permits from `borrower`."""
        self._borrower = borrower
        self._clock = clock

    async def handle(self, body: dict[str, Any]) -> dict[str, Any]:
        """Return the reply body; raise InvalidMessageError."""
        request = parse_message(PermitsRequest, body)
        acquired = await self._borrower.acquire(request.counts)
        now = self._clock()
        reply = PermitsReply(
            granted={
                workspace_id: GrantedPermits(
                    count=grant.count,
                    lifetime_ms=grant.remaining_ms(now),
                )
                for workspace_id, grant in acquired.granted.items()
            },
            retry_after_ms=acquired.retry_after_ms,
        )
        return reply.model_dump()
