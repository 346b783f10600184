"""The root of a query: pins its snapshot, runs it and merges."""

from collections.abc import Iterable

from jacinthcart.dispatch import Snapshot
from jacinthcart.errors import Ran, RefusalCode, RefusalError
from jacinthcart.gather._context import GatherParts, PinnedQuery
from jacinthcart.gather._fanout import Fanout
from jacinthcart.gather._merge import Answer
from jacinthcart.gather._messages import QueryMessage
from jacinthcart.gather._outcomes import PartWork
from jacinthcart.gather._plan import select_works
from jacinthcart.gather._submit import RequestIdMemory
from jacinthcart.settings import Service

_MS_PER_S = 1000
#: A short deadline keeps at least this share of its time for the searchers.
_MARGIN_SHARE = 0.5


def compute_merge_deadline(
    now: float,
    deadline_ms: float,
    merge_margin_ms: int,
) -> float:
    """Return the time (s) until which parts may answer."""
    margin_ms = min(float(merge_margin_ms), deadline_ms * _MARGIN_SHARE)
    return now + (deadline_ms - margin_ms) / _MS_PER_S


class QueryRunner:
    """Answers queries of the entry."""

    def __init__(self, parts: GatherParts, memory: RequestIdMemory) -> None:
        """Keep what the queries share."""
        self._parts = parts
        self._memory = memory

    async def run(self, message: QueryMessage) -> Answer:
        """Return the merged answer of one query; raise RefusalError."""
        query = self._pin(message)
        service = query.view.services_by_id.get(message.service_id)
        if service is None:
            raise RefusalError(
                RefusalCode.UNKNOWN_ROUTE,
                detail='unknown service',
            )
        works = select_works(
            message.route_kind,
            service,
            message.request_id,
            message.query.get('id'),
        )
        if query.is_submit:
            return await self._run_submit(query, service, works)
        return await self._run_idempotent(query, service, works)

    def _pin(self, message: QueryMessage) -> PinnedQuery:
        feed = self._parts.feed
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
        self._parts.check_may_send(query.merge_deadline)
        if view.roster is None:
            raise RefusalError(RefusalCode.NOT_READY, detail='no roster')
        return query

    async def _run_idempotent(
        self,
        query: PinnedQuery,
        service: Service,
        works: Iterable[PartWork],
    ) -> Answer:
        limit = query.message.hit_limit
        fanout = Fanout(self._parts, query, _pin_first(service), works)
        await fanout.run()
        version = fanout.merge.find_common_version(service.index_versions)
        if version is None or self._is_late(query):
            return fanout.merge.build_answer(limit)
        self._parts.metrics.count('rerun', query.message.service_id)
        snapshot = Snapshot(version, service.partition_map)
        rerun = Fanout(self._parts, query, snapshot, works)
        await rerun.run()
        if rerun.merge.count_answered() > fanout.merge.count_answered():
            return rerun.merge.build_answer(limit)
        return fanout.merge.build_answer(limit)

    async def _run_submit(
        self,
        query: PinnedQuery,
        service: Service,
        works: Iterable[PartWork],
    ) -> Answer:
        request_id = query.message.request_id
        home_vm = query.message.home_vm
        if home_vm not in {None, self._parts.feed.process.vm_id}:
            raise RefusalError(
                RefusalCode.INVALID_REQUEST,
                detail='this VM is not the home of the request',
            )
        self._memory.admit(request_id, query.view.policy.request_id_ttl_s)
        fanout = Fanout(self._parts, query, _pin_first(service), works)
        await fanout.run()
        try:
            return fanout.merge.build_answer(query.message.hit_limit)
        except RefusalError as refusal:
            if refusal.ran is Ran.NOT_RUN:
                self._memory.forget(request_id)
            raise

    def _is_late(self, query: PinnedQuery) -> bool:
        return self._parts.feed.clock() >= query.merge_deadline


def _pin_first(service: Service) -> Snapshot:
    return Snapshot(service.index_versions[0], service.partition_map)
