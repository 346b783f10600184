"""Integrates the fleet-wide rate limits into the control process."""

import random
from typing import Any

from jacinthcart.control._permits import BasePermitService
from jacinthcart.errors import InvalidMessageError
from jacinthcart.limits import (
    BasePeerMessenger,
    Borrower,
    Lender,
    PermitService,
    TokenLedger,
)
from jacinthcart.network import BaseDatagrams
from jacinthcart.program import Clock, read_boot_clock
from jacinthcart.settings import Endpoint, ProcessSettings, SettingsView
from jacinthcart.telemetry import DecisionLog, Metrics


class RosterMessenger(BasePeerMessenger):
    """Sends datagrams to VMs at their addresses in the roster."""

    def __init__(self, datagrams: BaseDatagrams) -> None:
        """Create a messenger without a roster."""
        self._datagrams = datagrams
        self._peers_by_vm: dict[str, Endpoint] = {}

    def apply_settings(self, view: SettingsView) -> None:
        """Update the addresses from the roster in force."""
        vms_by_id = view.roster.vms_by_id if view.roster else {}
        self._peers_by_vm = {
            vm_id: Endpoint(address=entry.address, port=entry.control_port)
            for vm_id, entry in vms_by_id.items()
        }

    async def send(self, vm_id: str, message: dict[str, Any]) -> None:
        """Send one message; drop it if the VM is not in the roster."""
        peer = self._peers_by_vm.get(vm_id)
        if peer is not None:
            await self._datagrams.send(message, peer)


class SharedPermitService(BasePermitService):
    """Manages this VM's token shares, with lending between VMs."""

    def __init__(
        self,
        vm_id: str,
        datagrams: BaseDatagrams,
        metrics: Metrics,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        """Create a service with empty buckets."""
        self._ledger = TokenLedger(vm_id, clock, metrics, decisions)
        self._messenger = RosterMessenger(datagrams)
        self._borrower = Borrower(
            self._ledger,
            self._messenger,
            clock,
            metrics,
            random.Random(),
        )
        self._lender = Lender(self._ledger, self._messenger, clock, metrics)
        self._service = PermitService(self._borrower, clock)

    async def handle(self, body: dict[str, Any]) -> dict[str, Any]:
        """Grant permits to entry; raise InvalidMessageError if invalid."""
        return await self._service.handle(body)

    async def handle_datagram(
        self,
        message: dict[str, Any],
        received_at: float,
    ) -> None:
        """Handle a `borrow` or `lend` datagram.

        Raise InvalidMessageError if it is of another kind or malformed.
        """
        match message.get('kind'):
            case 'borrow':
                await self._lender.handle(message, received_at)
            case 'lend':
                await self._borrower.handle(message, received_at)
            case unknown:
                raise InvalidMessageError(f'unknown kind {unknown}')

    def apply_settings(self, view: SettingsView) -> None:
        """Apply the rates, policy and addresses in force."""
        self._messenger.apply_settings(view)
        self._ledger.apply_settings(view)

    def record_roster_activation(self, activated_at: float) -> None:
        """Record the time at which the roster took effect."""
        self._ledger.record_roster_activation(activated_at)

    async def run(self) -> None:
        """Borrow tokens in the background until cancelled."""
        await self._borrower.run()

    def describe(self) -> dict[str, Any]:
        """Return the state of the shares by workspace id."""
        return self._ledger.describe()


def create_permit_service(
    process: ProcessSettings,
    datagrams: BaseDatagrams,
    metrics: Metrics,
    decisions: DecisionLog,
) -> BasePermitService:
    """Create the permit service of one VM."""
    return SharedPermitService(
        process.vm_id,
        datagrams,
        metrics,
        read_boot_clock,
        decisions,
    )
