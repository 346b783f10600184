"""Query root: pins the snapshot, runs the parts and merges the answer."""

from collections.abc import Iterable

from jacinthcart.dispatch import Snapshot
from jacinthcart.errors import Ran, RefusalCode, RefusalError
from jacinthcart.gather._context import GatherContext, PinnedQuery
from jacinthcart.gather._fanout import Fanout
from jacinthcart.gather._merge import Answer
from jacinthcart.gather._messages import QueryMessage
from jacinthcart.gather._outcomes import PartRequest
from jacinthcart.gather._plan import select_part_requests
from jacinthcart.gather._request_ids import RequestIdRegistry
from jacinthcart.settings import Service

_MS_PER_S = 1000
#: Limits the merge margin to this fraction of a short deadline, so that at
#: least half of the time remains for the searchers.
_MAX_MARGIN_FRACTION = 0.5


def compute_merge_deadline(
    now: float,
    deadline_ms: float,
    merge_margin_ms: int,
) -> float:
    """Return the time in seconds until which part outcomes are accepted.

    `deadline_ms` is the time from `now` to the deadline.
    """
    margin_ms = min(float(merge_margin_ms), deadline_ms * _MAX_MARGIN_FRACTION)
    return now + (deadline_ms - margin_ms) / _MS_PER_S


class QueryRunner:
    """Answers queries from entries."""

    def __init__(
        self,
        context: GatherContext,
        request_ids: RequestIdRegistry,
    ) -> None:
        """Store the dependencies shared by all queries."""
        self._context = context
        self._request_ids = request_ids

    async def run(self, message: QueryMessage) -> Answer:
        """Return the merged answer of one query; raise RefusalError."""
        query = self._pin(message)
        service = query.view.services_by_id.get(message.service_id)
        if service is None:
            raise RefusalError(
                RefusalCode.UNKNOWN_ROUTE,
                detail='unknown service',
            )
        requests = select_part_requests(
            message.route_kind,
            service,
            message.request_id,
            message.query.get('id'),
        )
        if query.is_submit:
            return await self._run_submit(query, service, requests)
        return await self._run_idempotent(query, service, requests)

    def _pin(self, message: QueryMessage) -> PinnedQuery:
        feed = self._context.feed
        view = feed.view
        query = PinnedQuery(
            message,
            view,
            compute_merge_deadline(
                feed.clock(),
                message.deadline_ms,
                view.policy.merge_margin_ms,
            ),
        )
        self._context.check_may_send(query.merge_deadline)
        if view.roster is None:
            raise RefusalError(RefusalCode.NOT_READY, detail='no roster')
        return query

    async def _run_idempotent(
        self,
        query: PinnedQuery,
        service: Service,
        requests: Iterable[PartRequest],
    ) -> Answer:
        limit = query.message.hit_limit
        fanout = Fanout(
            self._context,
            query,
            _pin_first_version(service),
            requests,
        )
        await fanout.run()
        version = fanout.merge.find_common_version(service.index_versions)
        if version is None or self._is_past_deadline(query):
            return fanout.merge.build_answer(limit)
        self._context.metrics.count('rerun', query.message.service_id)
        snapshot = Snapshot(version, service.partition_map)
        rerun = Fanout(self._context, query, snapshot, requests)
        await rerun.run()
        if rerun.merge.count_answered() > fanout.merge.count_answered():
            return rerun.merge.build_answer(limit)
        return fanout.merge.build_answer(limit)

    async def _run_submit(
        self,
        query: PinnedQuery,
        service: Service,
        requests: Iterable[PartRequest],
    ) -> Answer:
        request_id = query.message.request_id
        home_vm = query.message.home_vm
        if home_vm not in {None, self._context.feed.process.vm_id}:
            raise RefusalError(
                RefusalCode.INVALID_REQUEST,
                detail='this VM is not the home of the request',
            )
        self._request_ids.register(
            request_id,
            query.view.policy.request_id_ttl_s,
        )
        fanout = Fanout(
            self._context,
            query,
            _pin_first_version(service),
            requests,
        )
        await fanout.run()
        try:
            return fanout.merge.build_answer(query.message.hit_limit)
        except RefusalError as refusal:
            if refusal.ran is Ran.NOT_RUN:
                self._request_ids.release(request_id)
            raise

    def _is_past_deadline(self, query: PinnedQuery) -> bool:
        return self._context.feed.clock() >= query.merge_deadline


def _pin_first_version(service: Service) -> Snapshot:
    return Snapshot(service.index_versions[0], service.partition_map)
