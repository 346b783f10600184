"""Probe requests that let a ramp advance without traffic."""

import anyio

from jacinthcart.dispatch._allowances import AllowanceTracker
from jacinthcart.dispatch._link import SearcherLink
from jacinthcart.dispatch._messages import PartCall, Snapshot
from jacinthcart.dispatch._replicas import Replica
from jacinthcart.dispatch._sender import Sender
from jacinthcart.feed import StateFeed
from jacinthcart.settings import RequestClass

_MS_PER_S = 1000
_PROBE_TIMEOUT_S = 1.0


class Prober:
    """Sends a one-shard search to an idle searcher in each ramp step.

    Probes use the same slots and allowances as queries.
    """

    def __init__(
        self, feed: StateFeed, allowances: AllowanceTracker, sender: Sender
    ) -> None:
        """Send probes through `sender` where `allowances` requires them."""
        self._feed = feed
        self._allowances = allowances
        self._sender = sender

    def needs_probe(self, link: SearcherLink) -> bool:
        """Return whether to send a probe now.

        Only an idle searcher whose ramp step has no good response yet is
        probed, at most once in `ramp_step_ms`.
        """
        if link.in_flight or link.queue:
            return False
        if not self._allowances.needs_probe(link.replica):
            return False
        step_s = self._feed.view.policy.ramp_step_ms / _MS_PER_S
        now = self._feed.clock()
        if link.probed_at is not None and now - link.probed_at < step_s:
            return False
        return self._feed.is_serving()

    async def probe(self, link: SearcherLink) -> None:
        """Send one probe; its response counts like that of a query."""
        now = self._feed.clock()
        link.probed_at = now
        call = _create_call(link.replica, link.versions, now)
        await self._sender.attempt(link, call, call.deadline, anyio.Event())


def _create_call(
    replica: Replica,
    held_versions: frozenset[int],
    now: float,
) -> PartCall:
    service = replica.service
    listed = service.index_versions
    held = [version for version in listed if version in held_versions]
    return PartCall(
        request_id='probe',
        service_id=replica.service_id,
        part=replica.part,
        shards=service.parts_by_name[replica.part].shards[:1],
        snapshot=Snapshot((held or listed)[0], service.partition_map),
        query={'probe': True},
        workspace_id='',
        request_class=RequestClass.BACKGROUND,
        deadline=now + _PROBE_TIMEOUT_S,
    )
