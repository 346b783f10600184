"""The exception tree: every failure has a type."""

from jacinthcart.errors._codes import Ran, RefusalCode


class JacinthcartError(Exception):
    """Base of every error that this project raises on purpose."""


class SettingsError(JacinthcartError):
    """A settings value breaks a rule; names the path and the rule."""

    def __init__(self, path: str, rule: str) -> None:
        """Keep the settings path and the broken rule."""
        super().__init__(f'{path}: {rule}')
        self.path = path
        self.rule = rule


class InvalidMessageError(JacinthcartError):
    """A message between processes does not match its model."""


class InvariantViolationError(JacinthcartError):
    """A condition that must always hold was found broken."""

    def __init__(self, invariant: str, detail: str) -> None:
        """Keep the name of the invariant and what was observed."""
        super().__init__(f'{invariant}: {detail}')
        self.invariant = invariant
        self.detail = detail


class WireError(JacinthcartError):
    """A call to another process failed."""


class NotSentError(WireError):
    """The call failed before any byte of the request was sent."""


class OutcomeUnknownError(WireError):
    """The call failed after bytes of the request may have been sent."""


class RefusalError(JacinthcartError):
    """A request is refused with a typed code and a truthful run state."""

    def __init__(
        self,
        code: RefusalCode,
        ran: Ran = Ran.NOT_RUN,
        *,
        detail: str = '',
        retry_after_ms: int | None = None,
    ) -> None:
        """Keep code, run state, a short detail and the retry delay (ms)."""
        super().__init__(f'{code}: {detail}' if detail else str(code))
        self.code = code
        self.ran = ran
        self.detail = detail
        self.retry_after_ms = retry_after_ms
