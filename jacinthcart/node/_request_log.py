"""Logs the outcome of each request at limited rates."""

from typing import Any

from jacinthcart.catalogue import CatalogueState
from jacinthcart.errors import RefusalError
from jacinthcart.node._log_line_limiter import LogLineLimiter
from jacinthcart.program import Clock
from jacinthcart.readings import FreshnessLease, ItemTable
from jacinthcart.routing import CallerRequest
from jacinthcart.serving import Admitted, MergedAnswer, ServedAnswer
from jacinthcart.telemetry import Logger, Metrics

_MS_PER_S = 1000
#: Maximum log lines per second for complete answers, which matter least.
_SERVED_LINES_PER_S = 5.0
#: Maximum lines per second for answers with missing shards or an error status.
_PARTIAL_LINES_PER_S = 20.0
#: Maximum lines per second for refusals and callers that disconnected.
_REFUSED_LINES_PER_S = 60.0
_MIN_ERROR_STATUS = 400


class RequestLog:
    """Logs how each request ended, with the state of this VM at that time."""

    def __init__(
        self,
        catalogue_state: CatalogueState,
        table: ItemTable,
        lease: FreshnessLease,
        clock: Clock,
        logger: Logger,
        metrics: Metrics,
    ) -> None:
        """Initialise with the sources of the logged fields."""
        self._catalogue_state = catalogue_state
        self._table = table
        self._lease = lease
        self._clock = clock
        self._logger = logger
        self._metrics = metrics
        self._served = LogLineLimiter(clock, _SERVED_LINES_PER_S, metrics)
        self._partial = LogLineLimiter(clock, _PARTIAL_LINES_PER_S, metrics)
        self._refused = LogLineLimiter(clock, _REFUSED_LINES_PER_S, metrics)

    def log_answer(
        self,
        request: CallerRequest,
        admitted: Admitted,
        answer: ServedAnswer | MergedAnswer,
    ) -> None:
        """Count an answer and log it."""
        elapsed_s = self._clock() - request.received_at
        route = admitted.route
        self._metrics.count('request', 'served')
        self._metrics.record_seconds(
            ('request', admitted.workspace or '', route.name),
            elapsed_s,
        )
        is_partial = _is_partial(answer)
        limiter = self._partial if is_partial else self._served
        suppressed = limiter.try_acquire()
        if suppressed is None:
            return
        status = 0
        if isinstance(answer, ServedAnswer):
            status = answer.response.head.status
        self._logger.info(
            'request answered',
            **self._describe(request),
            route=route.name,
            workspace=admitted.workspace,
            status=status or None,
            missing=answer.report.missing,
            sends=answer.report.sends if is_partial else None,
            suppressed=suppressed,
        )

    def log_refusal(
        self,
        request: CallerRequest,
        refusal: RefusalError,
    ) -> None:
        """Count a refusal and log it."""
        self._metrics.count('refused', refusal.code.value)
        suppressed = self._refused.try_acquire()
        if suppressed is None:
            return
        self._logger.warning(
            'request refused',
            **self._describe(request),
            path=request.path,
            code=refusal.code.value,
            ran=refusal.ran.value,
            detail=refusal.detail,
            retry_after_ms=refusal.retry_after_ms,
            suppressed=suppressed,
        )

    def log_caller_left(self, request: CallerRequest) -> None:
        """Count and log a caller that disconnected before its answer."""
        self._metrics.count('request', 'caller_left')
        suppressed = self._refused.try_acquire()
        if suppressed is not None:
            self._logger.info(
                'caller left',
                **self._describe(request),
                suppressed=suppressed,
            )

    def _describe(self, request: CallerRequest) -> dict[str, Any]:
        now = self._clock()
        catalogue = self._catalogue_state.catalogue
        return {
            'request_id': request.request_id,
            'version': catalogue.version if catalogue else None,
            'position': str(self._table.newest),
            'proof_age_s': round(self._lease.age_s, 3),
            'elapsed_ms': round((now - request.received_at) * _MS_PER_S, 1),
            'time_left_ms': round((request.deadline - now) * _MS_PER_S),
        }


def _is_partial(answer: ServedAnswer | MergedAnswer) -> bool:
    if isinstance(answer, MergedAnswer):
        return answer.missing > 0
    return answer.response.head.status >= _MIN_ERROR_STATUS
