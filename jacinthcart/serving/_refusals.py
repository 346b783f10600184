"""Refusals of requests that can't be answered."""

import math
import random
from collections.abc import Iterable, Sequence

from jacinthcart.errors import Ran, RefusalCode, RefusalError
from jacinthcart.routing import CallContext, SearcherClient
from jacinthcart.serving._policy import (
    RetryParameters,
    compute_answerable_at,
    compute_retry_after_s,
)
from jacinthcart.serving._service_run import ServiceRun

#: Retry delay in milliseconds if sends failed or were refused, or if there was
#: no searcher to send to.
_RETRY_MS = 100
#: Retry delay in milliseconds while too many shards have no searcher. Searchers
#: publish their entries about once a second.
_NO_SEARCHER_RETRY_MS = 300
_MS_PER_S = 1000


class RefusalFactory:
    """Creates refusals with a retry delay that suits their cause."""

    def __init__(
        self,
        client: SearcherClient,
        random_source: random.Random,
        params: RetryParameters,
    ) -> None:
        """Create the factory."""
        self._client = client
        self._random = random_source
        self._params = params

    def create(
        self,
        context: CallContext,
        runs: Iterable[ServiceRun],
        optional_parts: int,
    ) -> RefusalError:
        """Return the refusal of a request whose sends failed.

        `optional_parts` is the number of parts that may be missing.
        """
        runs = list(runs)
        ran = _compute_ran(runs)
        failed = [run for run in runs if run.failure is not None]
        code = RefusalCode.OVERLOADED
        if ran is Ran.UNKNOWN:
            code = RefusalCode.BACKEND_FAILED
        return RefusalError(
            code,
            ran,
            detail='; '.join(sorted({run.describe() for run in failed})),
            retry_after_ms=self._compute_retry_ms(
                context,
                [run.service for run in failed],
                optional_parts,
                _RETRY_MS,
            ),
        )

    def create_unserved(
        self,
        context: CallContext,
        services: Sequence[str],
        optional_parts: int,
    ) -> RefusalError:
        """Return the refusal of a query that lacks searchers of `services`."""
        return RefusalError(
            RefusalCode.OVERLOADED,
            detail=f'no searcher available for {", ".join(services)}',
            retry_after_ms=self._compute_retry_ms(
                context, services, optional_parts, _NO_SEARCHER_RETRY_MS
            ),
        )

    def _compute_retry_ms(
        self,
        context: CallContext,
        services: Iterable[str],
        optional_parts: int,
        default_ms: int,
    ) -> int:
        # The default applies unless searchers have asked to wait longer.
        now = self._client.clock()
        table = self._client.table
        answerable_at = compute_answerable_at(
            (table.compute_available_at(service) for service in services),
            optional_parts,
        )
        if answerable_at <= now or math.isinf(answerable_at):
            return default_ms
        retry_after_s = compute_retry_after_s(
            answerable_at - now,
            context.priority,
            self._random.random(),
            self._params,
        )
        return max(default_ms, int(retry_after_s * _MS_PER_S))


def create_leaving(runs: Iterable[ServiceRun]) -> RefusalError:
    """Return the refusal of a request that the shutdown ends."""
    return RefusalError(
        RefusalCode.LEAVING,
        _compute_ran(runs),
        detail='the process shuts down',
        retry_after_ms=0,
    )


def create_timeout(runs: Iterable[ServiceRun]) -> RefusalError:
    """Return the refusal of a request whose deadline has passed."""
    runs = list(runs)
    reasons = sorted(run.describe() for run in runs if not run.response)
    return RefusalError(
        RefusalCode.DEADLINE_PASSED,
        _compute_ran(runs),
        detail='; '.join(reasons),
    )


def _compute_ran(runs: Iterable[ServiceRun]) -> Ran:
    # The refusal cancels the attempts in progress, so that an attempt of which
    # nothing has been sent by now never runs.
    is_unknown = any(run.may_have_run for run in runs)
    return Ran.UNKNOWN if is_unknown else Ran.NOT_RUN
