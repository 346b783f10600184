"""Interface between control and the fleet-wide rate limits."""

import abc
from typing import Any

from jacinthcart.settings import SettingsView


class BasePermitService(abc.ABC):
    """Grants permits to this VM's entry process and lends tokens to peers."""

    @abc.abstractmethod
    async def handle(self, body: dict[str, Any]) -> dict[str, Any]:
        """Handle `POST /v1/permits` of the entry process.

        Raise InvalidMessageError if the body is invalid.
        """

    @abc.abstractmethod
    async def handle_datagram(
        self,
        message: dict[str, Any],
        received_at: float,
    ) -> None:
        """Handle a `borrow` or `lend` datagram of a peer."""

    @abc.abstractmethod
    def apply_settings(self, view: SettingsView) -> None:
        """Apply the settings in force."""

    @abc.abstractmethod
    def record_roster_activation(self, activated_at: float) -> None:
        """Record the time in seconds at which the roster took effect.

        `handover_seconds` after that time, other VMs have released the
        shares that this VM owns.
        """

    @abc.abstractmethod
    async def run(self) -> None:
        """Borrow tokens in the background until cancelled."""

    @abc.abstractmethod
    def describe(self) -> dict[str, Any]:
        """Return the state of the limits for the administration API."""
