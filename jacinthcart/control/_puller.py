"""Pulls settings and warm entries from peers that know more."""

import dataclasses
from collections.abc import Callable

from jacinthcart.control._notifier import Notifier
from jacinthcart.control._state import ControlState
from jacinthcart.control._warm import read_warm_entries
from jacinthcart.errors import InvalidMessageError, WireError
from jacinthcart.feed import WarmEntry
from jacinthcart.membership import Member, MemberState
from jacinthcart.settings import Endpoint
from jacinthcart.sync import BasePeerClient, PeerSettings
from jacinthcart.telemetry import Logger, Metrics

_IDLE_WAIT_S = 60.0


@dataclasses.dataclass(frozen=True)
class _Offer:
    revision: int
    warm_digest: str


class PeerPuller:
    """Pulls one peer at a time, the highest revision first.

    A peer whose pull failed is left until its next heartbeat offers again.
    """

    def __init__(
        self,
        client: BasePeerClient,
        state: ControlState,
        metrics: Metrics,
        logger: Logger,
    ) -> None:
        """Prepare; set the listeners before `run`."""
        self.on_settings: Callable[[PeerSettings], None] = _ignore_settings
        self.on_warm: Callable[[dict[str, WarmEntry]], None] = _ignore_warm
        self._client = client
        self._state = state
        self._metrics = metrics
        self._logger = logger
        self._offers_by_vm: dict[str, _Offer] = {}
        self._offered = Notifier()

    def offer(self, member: Member) -> None:
        """Take what a peer told about itself."""
        told = member.state
        if not self._is_news(told):
            return
        self._offers_by_vm[told.vm] = _Offer(told.revision, told.warm_digest)
        self._offered.notify()

    async def run(self) -> None:
        """Pull until cancelled."""
        while True:
            if self._offers_by_vm:
                await self._take_offer()
            else:
                await self._offered.wait(_IDLE_WAIT_S)

    async def pull_settings(self, peer: Endpoint) -> PeerSettings | None:
        """Pull settings once; return them, None without an answer."""
        try:
            settings = await self._client.pull_settings(
                peer,
                self._state.store.revision,
            )
        except (WireError, InvalidMessageError) as error:
            self._count_failure(peer, error)
            return None
        self._metrics.count('pull', 'settings')
        self.on_settings(settings)
        return settings

    async def pull_warm(self, peer: Endpoint) -> None:
        """Pull the warm table once."""
        try:
            entries = read_warm_entries(await self._client.pull_warm(peer))
        except (WireError, InvalidMessageError) as error:
            self._count_failure(peer, error)
            return
        self._metrics.count('pull', 'warm')
        self.on_warm(entries)

    async def _take_offer(self) -> None:
        vm_id = max(
            self._offers_by_vm,
            key=lambda offered: self._offers_by_vm[offered].revision,
        )
        offer = self._offers_by_vm.pop(vm_id)
        peer = self._find_endpoint(vm_id)
        if peer is None:
            return
        if offer.revision > self._state.store.revision:
            await self.pull_settings(peer)
        if offer.warm_digest != self._state.warm.digest:
            await self.pull_warm(peer)

    def _is_news(self, told: MemberState) -> bool:
        if told.revision > self._state.store.revision:
            return True
        return told.warm_digest != self._state.warm.digest

    def _find_endpoint(self, vm_id: str) -> Endpoint | None:
        roster = self._state.view.roster
        entry = roster.vms_by_id.get(vm_id) if roster else None
        if entry is None:
            return None
        return Endpoint(address=entry.address, port=entry.control_port)

    def _count_failure(self, peer: Endpoint, error: Exception) -> None:
        self._metrics.count('pull', 'failed')
        self._logger.warning(
            'pull_failed',
            limit_key=f'pull_failed {peer}',
            peer=str(peer),
            error=str(error),
        )


def _ignore_settings(settings: PeerSettings) -> None:
    """Take no notice of settings."""


def _ignore_warm(entries: dict[str, WarmEntry]) -> None:
    """Take no notice of warm entries."""
