"""The exception hierarchy of the project."""

from jacinthcart.errors._codes import Ran, RefusalCode


class JacinthcartError(Exception):
    """Base class of all errors that this project raises."""


class SettingsError(JacinthcartError):
    """A settings value violates a rule."""

    def __init__(self, path: str, rule: str) -> None:
        """Initialise with the settings path and the violated rule."""
        super().__init__(f'{path}: {rule}')
        self.path = path
        self.rule = rule


class InvalidMessageError(JacinthcartError):
    """A message between processes does not match its model."""


class BodyTooLargeError(JacinthcartError):
    """The body of a request or response exceeds the limit of a single one."""


class BodyMemoryError(JacinthcartError):
    """A body was dropped because all bodies together exceed their limit."""


class InvariantViolationError(JacinthcartError):
    """A condition that must always hold does not hold."""

    def __init__(self, invariant: str, detail: str) -> None:
        """Initialise with the invariant's name and the observation."""
        super().__init__(f'{invariant}: {detail}')
        self.invariant = invariant
        self.detail = detail


class WireError(JacinthcartError):
    """A call to another process failed."""


class NotSentError(WireError):
    """The call failed before any byte of the request was sent."""


class RequestMemoryError(NotSentError):
    """A searcher, or this VM, holds too many bytes of unanswered requests."""


class OutcomeUnknownError(WireError):
    """The call failed after bytes of the request may have been sent."""


class MalformedResponseError(OutcomeUnknownError):
    """The bytes that arrived are not a response in HTTP/1.1.

    Nothing in them counts, not even a statement that the request has not run.
    """


class ResponseTooLargeError(MalformedResponseError):
    """A response exceeds a limit of a single response."""


class RefusalError(JacinthcartError):
    """A request is refused; `ran` tells whether it may have run."""

    def __init__(
        self,
        code: RefusalCode,
        ran: Ran = Ran.NOT_RUN,
        *,
        detail: str = '',
        retry_after_ms: int | None = None,
    ) -> None:
        """Initialise; `detail` is a short explanation of the refusal."""
        super().__init__(f'{code}: {detail}' if detail else str(code))
        self.code = code
        self.ran = ran
        self.detail = detail
        self.retry_after_ms = retry_after_ms
