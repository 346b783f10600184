"""Execution of a part call: attempts on replicas until one answers."""

import types
from collections.abc import Awaitable, Callable

from jacinthcart.dispatch._link import SearcherLink
from jacinthcart.dispatch._messages import PartCall, PartResult
from jacinthcart.dispatch._outcome import MissingReason, Outcome, Progress
from jacinthcart.errors import Ran, RefusalCode, RefusalError

_CODE_BY_REASON = types.MappingProxyType(
    {
        MissingReason.NO_REPLICA: RefusalCode.NO_REPLICA,
        MissingReason.TIMEOUT: RefusalCode.DEADLINE_PASSED,
        MissingReason.WRONG_VERSION: RefusalCode.NO_REPLICA,
        MissingReason.OVERLOADED: RefusalCode.OVERLOADED,
        MissingReason.FAILED: RefusalCode.BACKEND_FAILED,
    },
)

#: Returns the next link that is not excluded, or None.
ChooseLink = Callable[[set[str]], SearcherLink | None]
#: Runs a request, possibly with a hedge, and returns every outcome.
RunAttempt = Callable[[SearcherLink, set[str]], Awaitable[list[Outcome]]]
#: Spends budget on one retry; returns whether there was any.
TryWithdrawRetry = Callable[[], bool]
#: Raises RefusalError when the serving lease has expired.
CheckServing = Callable[[], None]


class PartRun:
    """Runs a part call, trying each replica at most once.

    A request that may have run is retried only when it is idempotent. A
    request that was not sent is tried on another replica without using the
    retry budget, because it put no load on a searcher.
    """

    def __init__(
        self,
        call: PartCall,
        choose_link: ChooseLink,
        attempt: RunAttempt,
        try_withdraw_retry: TryWithdrawRetry,
        check_serving: CheckServing,
    ) -> None:
        """Start without attempts."""
        self._call = call
        self._choose_link = choose_link
        self._attempt = attempt
        self._try_withdraw_retry = try_withdraw_retry
        self._check_serving = check_serving
        self._excluded: set[str] = set()
        self._progress = Progress.NOT_SENT
        self._reason = MissingReason.NO_REPLICA
        self._versions: frozenset[int] = frozenset()

    async def run(self) -> PartResult:
        """Return the result; see `Dispatcher.run_part` for RefusalError."""
        link = self._choose_link(self._excluded)
        while link is not None:
            self._excluded.add(link.replica.searcher_id)
            outcomes = await self._attempt(link, self._excluded)
            for outcome in outcomes:
                self._record_outcome(outcome)
                if outcome.reply is not None:
                    return PartResult(dict(outcome.reply.hits_by_shard), {})
            link = self._choose_retry(max(out.progress for out in outcomes))
        return self._build_result()

    def _record_outcome(self, outcome: Outcome) -> None:
        self._versions |= outcome.versions
        if outcome.reason and outcome.progress >= self._progress:
            self._progress = outcome.progress
            self._reason = outcome.reason

    def _choose_retry(self, progress: Progress) -> SearcherLink | None:
        if progress is Progress.UNKNOWN and self._call.is_submit:
            return None
        link = self._choose_link(self._excluded)
        if link is None or progress is Progress.NOT_SENT:
            return link
        return link if self._try_withdraw_retry() else None

    def _build_result(self) -> PartResult:
        if self._progress is Progress.NOT_SENT:
            self._check_serving()
        is_refused = self._call.is_submit or (
            self._progress is Progress.NOT_SENT
            and self._reason is MissingReason.OVERLOADED
        )
        if is_refused:
            may_have_run = self._progress is Progress.UNKNOWN
            raise RefusalError(
                _CODE_BY_REASON[self._reason],
                Ran.UNKNOWN if may_have_run else Ran.NOT_RUN,
                detail=f'{self._call.part}: {self._reason}',
            )
        return PartResult(
            {},
            dict.fromkeys(self._call.shards, self._reason.value),
            self._versions - {self._call.snapshot.index_version},
        )
