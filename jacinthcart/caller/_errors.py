"""Errors raised by the client library."""

from jacinthcart.caller._answers import Address
from jacinthcart.errors import JacinthcartError, Ran, RefusalCode


class CallerError(JacinthcartError):
    """A request failed without an answer.

    `ran` covers all attempts: it is `not_run` only if none of them can
    have run.
    """

    def __init__(self, detail: str, ran: Ran = Ran.NOT_RUN) -> None:
        """Store the message and whether the request may have run."""
        super().__init__(detail)
        self.ran = ran
        #: Id to reuse when a non-idempotent request is retried.
        self.request_id: str | None = None


class UnreachableError(CallerError):
    """No VM accepted a connection; no byte of the request was sent."""


class DeadlineError(CallerError):
    """The deadline passed before another attempt could be made."""


class OutcomeLostError(CallerError):
    """The request was sent, but no answer arrived."""

    def __init__(self, detail: str) -> None:
        """Store the message; the request may have run."""
        super().__init__(detail, Ran.UNKNOWN)


class InvalidAnswerError(CallerError):
    """The answer is malformed or belongs to another request."""

    def __init__(self, detail: str) -> None:
        """Store the message; the request may have run."""
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
        """Store the fields of the received refusal."""
        super().__init__(f'{code}: {detail}' if detail else code, ran)
        self.code = code
        self.retry_after_ms = retry_after_ms
        self.try_addresses = try_addresses
