"""Selects the owner of a part to call and the next one after a failure."""

import collections
from collections.abc import Sequence

from jacinthcart.gather._context import GatherContext, PinnedQuery
from jacinthcart.gather._outcomes import PartRequest
from jacinthcart.gather._plan import Plan, VmRank, plan_parts
from jacinthcart.ownership import find_warmer, qualify_searcher

#: One attempt on any owner, then one on each warmer of the searchers, usually
#: three: while searchers are cold, only their warmers can run the part.
_MAX_ATTEMPTS_PER_PART = 4
_LIVE = 'live'


class OwnerSelector:
    """Selects owners of parts for one query."""

    def __init__(self, context: GatherContext, query: PinnedQuery) -> None:
        """Start with no VM tried."""
        self._feed = context.feed
        self._peers = context.peers
        self._owner_table = context.owner_table
        self._view = query.view
        self._service_id = query.message.service_id
        self._tried_by_part: dict[str, set[str]] = collections.defaultdict(set)

    def mark_tried(self, part: str, vm_id: str) -> None:
        """Exclude the VM from further attempts on the part."""
        self._tried_by_part[part].add(vm_id)

    def can_retry(self, part: str) -> bool:
        """Return whether the part may be retried on another VM."""
        if len(self._tried_by_part[part]) >= _MAX_ATTEMPTS_PER_PART:
            return False
        return bool(self._list_candidates(part))

    def plan(self, requests: Sequence[PartRequest]) -> Plan:
        """Assign each part to this VM or to a VM that was not tried yet."""
        return plan_parts(
            requests,
            {
                request.part: self._list_candidates(request.part)
                for request in requests
            },
            self._feed.process.vm_id,
            self._rank_vm,
        )

    def _list_candidates(self, part: str) -> list[str]:
        """Return the VMs that may run a part and were not tried yet.

        Other VMs in a data centre that is taken out of service receive no
        requests. After the first failed attempt the warmers of the part's
        searchers are preferred, because only they send to a cold searcher.
        """
        owners = self._owner_table.get_owners(
            self._view,
            self._service_id,
            part,
        )
        tried = self._tried_by_part[part]
        candidates = [
            vm_id
            for vm_id in owners
            if vm_id not in tried and self._may_send_to(vm_id)
        ]
        if not tried:
            return candidates
        service = self._view.services_by_id[self._service_id]
        warmers = {
            find_warmer(qualify_searcher(self._service_id, name), owners)
            for name in service.parts_by_name[part].searchers_by_id
        }
        return [vm_id for vm_id in candidates if vm_id in warmers] or candidates

    def _may_send_to(self, vm_id: str) -> bool:
        roster = self._view.roster
        if roster is None or vm_id == self._feed.process.vm_id:
            return True
        data_centre = roster.vms_by_id[vm_id].data_centre
        return self._feed.view.is_data_centre_in(data_centre)

    def _rank_vm(self, vm_id: str) -> VmRank:
        roster = self._view.roster
        is_same_data_centre = (
            roster is not None
            and roster.vms_by_id[vm_id].data_centre
            == self._feed.process.data_centre
        )
        is_live = (
            not self._feed.live_vms or self._feed.live_vms.get(vm_id) == _LIVE
        )
        is_preferred = is_live and not self._peers.is_backing_off(vm_id)
        return (
            not is_preferred,
            not is_same_data_centre,
            self._peers.get_latency_s(vm_id),
        )
