"""Interface of the dispatcher, as the gather program requires it."""

import abc
from typing import Any, Protocol

from jacinthcart.dispatch import PartCall, PartResult


class BaseDispatcher(Protocol):
    """Runs one part of a query on a searcher.

    Declared as a protocol so that `jacinthcart.dispatch` does not have to
    import this package.
    """

    @abc.abstractmethod
    async def run(self) -> None:
        """Run background work until cancelled."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close connections to searchers."""

    @abc.abstractmethod
    async def run_part(self, call: PartCall) -> PartResult:
        """Run one part before its deadline; raise RefusalError.

        If the call is non-idempotent, `ran` of the refusal is NOT_RUN only
        when no searcher has run it.
        """

    @abc.abstractmethod
    def describe(self) -> dict[str, Any]:
        """Return the state of the searchers for the report."""
