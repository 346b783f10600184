"""Checks the guarantees against the records of callers and searchers."""

import collections
import dataclasses

from jacinthcart.serving import merge_records
from jacinthcart_emulator.platform_searcher import Execution, create_part

#: Maximum number of records in an answer to a search.
_TOP_K = 5
#: Number of records in each part.
_RECORDS = 6
_OK = 200
#: HTTP statuses of final responses.
_FINAL_STATUSES = range(200, 600)
#: HTTP statuses which state that the request was not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
#: Tolerance for the transit time of a request and the time between clock
#: readings, in seconds.
_SLACK_S = 0.1


@dataclasses.dataclass(frozen=True)
class Call:
    """A request as observed by its caller."""

    request_id: str
    #: Name of the route: `search`, `order` or a route of some versions only.
    kind: str
    #: Key of the workspace, possibly revoked.
    key: str
    #: Number of the VM.
    vm: int
    #: Time in seconds on the monotonic clock.
    sent_at: float
    #: Time of the answer; equals `sent_at` if there was none.
    ended_at: float
    #: HTTP status; 0 when the connection ended without an answer.
    status: int
    #: `<service>.<request id>` of each merged part.
    stamps: tuple[str, ...] = ()
    #: Number of missing parts that the answer reports.
    missing: int = 0
    #: Body of the answer.
    body: bytes = b''


def check_calls(
    calls: list[Call],
    executions: list[Execution],
    shards: list[str],
    revoked_at_by_key: dict[str, float],
    key_bound_s: float,
) -> list[str]:
    """Return a line for each violation of a guarantee.

    A request must not run when it was sent more than `key_bound_s` after its
    key was revoked.
    """
    run_counts = collections.Counter(
        (one.request_id, one.service) for one in executions
    )
    ran_ids = {one.request_id for one in executions}
    violations = []
    for call in calls:
        violations.extend(_check_status(call))
        if call.kind == 'search' and call.status == _OK:
            violations.extend(_check_merge(call, shards))
        if call.kind == 'order':
            violations.extend(_check_order(call, run_counts, ran_ids))
        revoked_at = revoked_at_by_key.get(call.key)
        if revoked_at is not None and call.request_id in ran_ids:
            late_s = call.sent_at - revoked_at - key_bound_s
            if late_s > _SLACK_S:
                violations.append(
                    f'{call.request_id} ran although it was sent '
                    f'{late_s:.3f} s after the time bound of its revoked key',
                )
    violations.extend(_check_executions(calls, executions))
    return violations


def _check_status(call: Call) -> list[str]:
    if call.status and call.status not in _FINAL_STATUSES:
        return [f'{call.request_id} has status {call.status}']
    return []


def _check_merge(call: Call, shards: list[str]) -> list[str]:
    services = [stamp.partition('.')[0] for stamp in call.stamps]
    request_ids = {stamp.partition('.')[2] for stamp in call.stamps}
    if request_ids != {call.request_id} or len(set(services)) != len(services):
        return [f'{call.request_id} has invalid part stamps {call.stamps}']
    if len(services) + call.missing != len(shards):
        return [f'{call.request_id} reports {call.missing} missing parts']
    parts = [create_part(one, call.request_id, _RECORDS) for one in services]
    if merge_records(parts, _TOP_K) != call.body:
        return [f'{call.request_id} has a body other than its merged parts']
    return []


def _check_order(
    call: Call,
    run_counts: collections.Counter[tuple[str, str]],
    ran_ids: set[str],
) -> list[str]:
    violations = []
    if run_counts[call.request_id, 'orders'] > 1:
        violations.append(f'{call.request_id} ran more than once')
    if call.status in _NOT_RUN_STATUSES and call.request_id in ran_ids:
        violations.append(f'{call.request_id} ran despite status {call.status}')
    if call.status == _OK:
        expected = create_part('orders', call.request_id, _RECORDS)
        if call.body != expected:
            violations.append(f'{call.request_id} has an unexpected body')
    return violations


def _check_executions(
    calls: list[Call],
    executions: list[Execution],
) -> list[str]:
    sent_ids = {call.request_id for call in calls}
    return [
        f'{one.searcher_id} ran {one.request_id} for workspace '
        f'{one.workspace}, but no caller sent such a request'
        for one in executions
        if one.request_id not in sent_ids or one.workspace != 'mill'
    ]
