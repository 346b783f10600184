"""What the gather needs from the dispatcher of searcher requests."""

import abc
from typing import Any, Protocol

from jacinthcart.dispatch import PartCall, PartResult


class BaseDispatcher(Protocol):
    """Runs one part of a query on a searcher.

    A protocol, so that `jacinthcart.dispatch` need not import this package.
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

        The refusal's run state is true for non-idempotent calls.
        """

    @abc.abstractmethod
    def describe(self) -> dict[str, Any]:
        """Return the state of searchers for the report."""
