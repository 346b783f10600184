"""Pulls settings and warm entries from peers that may have newer ones."""

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
class _Candidate:
    revision: int
    warm_digest: str


class PeerPuller:
    """Pulls from one peer at a time, the highest revision first.

    After a failed pull, a peer is retried only after its next heartbeat.
    """

    def __init__(
        self,
        client: BasePeerClient,
        state: ControlState,
        metrics: Metrics,
        logger: Logger,
    ) -> None:
        """Create a puller; listeners must be set before `run` is called."""
        self.on_settings: Callable[[PeerSettings], None] = _ignore_settings
        self.on_warm: Callable[[dict[str, WarmEntry]], None] = _ignore_warm
        self._client = client
        self._state = state
        self._metrics = metrics
        self._logger = logger
        self._candidates_by_vm: dict[str, _Candidate] = {}
        self._candidate_added = Notifier()

    def add_candidate(self, member: Member) -> None:
        """Queue a peer with a higher revision or another warm table."""
        reported = member.state
        if not self._may_have_updates(reported):
            return
        self._candidates_by_vm[reported.vm] = _Candidate(
            reported.revision, reported.warm_digest
        )
        self._candidate_added.notify()

    async def run(self) -> None:
        """Pull from queued peers until cancelled."""
        while True:
            if self._candidates_by_vm:
                await self._pull_candidate()
            else:
                await self._candidate_added.wait(_IDLE_WAIT_S)

    async def pull_settings(self, peer: Endpoint) -> PeerSettings | None:
        """Pull settings once; return None if the pull failed."""
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

    async def _pull_candidate(self) -> None:
        vm_id = max(
            self._candidates_by_vm,
            key=lambda candidate_id: (
                self._candidates_by_vm[candidate_id].revision
            ),
        )
        candidate = self._candidates_by_vm.pop(vm_id)
        peer = self._get_endpoint(vm_id)
        if peer is None:
            return
        if candidate.revision > self._state.store.revision:
            await self.pull_settings(peer)
        if candidate.warm_digest != self._state.warm.digest:
            await self.pull_warm(peer)

    def _may_have_updates(self, reported: MemberState) -> bool:
        if reported.revision > self._state.store.revision:
            return True
        return reported.warm_digest != self._state.warm.digest

    def _get_endpoint(self, vm_id: str) -> Endpoint | None:
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
    """Ignore settings; default of `on_settings`."""


def _ignore_warm(entries: dict[str, WarmEntry]) -> None:
    """Ignore warm entries; default of `on_warm`."""
