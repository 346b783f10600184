"""What control needs of the fleet-wide rate limits."""

import abc
from typing import Any

from jacinthcart.settings import SettingsView


class BasePermitService(abc.ABC):
    """Grants permits to this VM's entry and lends tokens to peers."""

    @abc.abstractmethod
    async def handle(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer the entry's `POST /v1/permits`.

        Raise InvalidMessageError when the body has another shape.
        """

    @abc.abstractmethod
    async def handle_datagram(
        self,
        message: dict[str, Any],
        received_at: float,
    ) -> None:
        """Take a `borrow` or `lend` datagram of a peer."""

    @abc.abstractmethod
    def apply_settings(self, view: SettingsView) -> None:
        """Take the settings in force."""

    @abc.abstractmethod
    def record_roster_activation(self, since: float) -> None:
        """Take since when the roster is known to be in force, in seconds.

        Other VMs have given up the shares of this one `handover_seconds`
        later.
        """

    @abc.abstractmethod
    async def run(self) -> None:
        """Borrow until cancelled."""

    @abc.abstractmethod
    def describe(self) -> dict[str, Any]:
        """Return the limits held, for the administration API."""
