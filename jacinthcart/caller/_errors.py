"""Failures of requests, as the caller sees them."""

from jacinthcart.caller._answers import Address
from jacinthcart.errors import JacinthcartError, Ran, RefusalCode


class CallerError(JacinthcartError):
    """A request gave no answer.

    `ran` covers every attempt: it is `not_run` only when no attempt may
    have run.
    """

    def __init__(self, detail: str, ran: Ran = Ran.NOT_RUN) -> None:
        """Keep what happened and whether the request may have run."""
        super().__init__(detail)
        self.ran = ran
        #: Id to use for another try of a non-idempotent request.
        self.request_id: str | None = None


class UnreachableError(CallerError):
    """No byte of the request was sent: no VM accepted a connection."""


class DeadlineError(CallerError):
    """The deadline passed before another attempt could be made."""


class OutcomeLostError(CallerError):
    """The request was sent and no answer arrived."""

    def __init__(self, detail: str) -> None:
        """Keep what happened; the request may have run."""
        super().__init__(detail, Ran.UNKNOWN)


class InvalidAnswerError(CallerError):
    """The answer is malformed or belongs to another request."""

    def __init__(self, detail: str) -> None:
        """Keep what was wrong; the request may have run."""
        super().__init__(detail, Ran.UNKNOWN)


class RefusedError(CallerError):
    """The system refused the request."""

    def __init__(
        self,
        code: RefusalCode,
        ran: Ran,
        detail: str,
        retry_after_ms: int | None,
        try_addresses: tuple[Address, ...],
    ) -> None:
        """Keep the refusal as it was received."""
        super().__init__(f'{code}: {detail}' if detail else code, ran)
        self.code = code
        self.retry_after_ms = retry_after_ms
        self.try_addresses = try_addresses
