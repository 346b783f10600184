"""Server side of `POST /v1/permits`, used by the control process."""

from typing import Any

from jacinthcart.limits._borrower import Borrower
from jacinthcart.limits._messages import (
    GrantedPermits,
    PermitsResponse,
    PermitsRequest,
    parse_message,
)
from jacinthcart.program import Clock


class PermitService:
    """Handles permit requests of the entry process."""

    def __init__(self, borrower: Borrower, clock: Clock) -> None:
        """Create a service that acquires permits through `borrower`."""
        self._borrower = borrower
        self._clock = clock

    async def handle(self, body: dict[str, Any]) -> dict[str, Any]:
        """Return the response body.

        Raise InvalidMessageError if the request body is invalid.
        """
        request = parse_message(PermitsRequest, body)
        acquired = await self._borrower.acquire(request.counts)
        now = self._clock()
        response = PermitsResponse(
            granted={
                workspace_id: GrantedPermits(
                    count=grant.count,
                    lifetime_ms=grant.remaining_ms(now),
                )
                for workspace_id, grant in acquired.granted.items()
            },
            retry_after_ms=acquired.retry_after_ms,
        )
        return response.model_dump()
