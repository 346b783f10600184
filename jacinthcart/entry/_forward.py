"""Client for calls from the entry to gather processes."""

import dataclasses
from collections.abc import Callable
from typing import Any

import anyio
import pydantic

from jacinthcart.entry._gather_messages import (
    GatherAnswerMessage,
    GatherRefusalMessage,
)
from jacinthcart.errors import (
    InvalidMessageError,
    InvariantViolationError,
    NotSentError,
    OutcomeUnknownError,
    Ran,
    RefusalCode,
    RefusalError,
    WireError,
)
from jacinthcart.feed import StateFeed
from jacinthcart.settings import RequestClass, RouteKind
from jacinthcart.telemetry import Metrics
from jacinthcart.wire import (
    ConnectionPool,
    HttpResponse,
    decode_json,
    encode_json,
)

#: Creates a pool from address, port and maximum number of connections.
PoolFactory = Callable[[str, int, int], ConnectionPool]

_MAX_LOCAL_CONNECTIONS = 256
_MAX_REMOTE_CONNECTIONS = 32
_PREFIX_CACHE_S = 1
_PREFIX_TIMEOUT_S = 0.5
_MS_PER_S = 1000
_STATUS_REFUSED = 409
#: Extra time to wait after the deadline: gather may send a partial answer
#: just before it, which still has to cross the network.
_ANSWER_MARGIN_S = 0.05


@dataclasses.dataclass(frozen=True)
class GatherCall:
    """One request to gather; does not contain the caller's key."""

    #: Id of the caller's request.
    request_id: str
    #: Service id, `<team>/<name>`.
    service_id: str
    #: Kind of the route.
    route_kind: RouteKind
    #: Workspace that the request runs for.
    workspace_id: str
    #: Request class of the route.
    request_class: RequestClass
    #: Deadline in seconds on the feed's clock.
    deadline: float
    #: The caller's query, passed on unchanged.
    query: dict[str, Any]
    #: VM that deduplicates the request id; None for idempotent requests.
    home_vm: str | None = None


class GatherClient:
    """Sends requests to the local gather or to the home VM of their id.

    A request is sent only once. Refusals report `not_run` only if no byte
    of the request was sent or gather itself reported `not_run`.
    """

    def __init__(
        self,
        feed: StateFeed,
        metrics: Metrics,
        create_pool: PoolFactory = ConnectionPool,
    ) -> None:
        """Create the connection pool for the local gather."""
        self._feed = feed
        self._metrics = metrics
        self._create_pool = create_pool
        process = feed.process
        self._local_pool = create_pool(
            process.address,
            process.gather_port,
            _MAX_LOCAL_CONNECTIONS,
        )
        self._remote_pool_by_vm: dict[str, ConnectionPool] = {}
        self._prefix: str | None = None
        self._prefix_expires_at = 0.0
        self._prefix_lock = anyio.Lock()

    async def forward(self, call: GatherCall) -> GatherAnswerMessage:
        """Send one request and return its validated answer.

        Raise RefusalError.
        """
        pool = await self._get_pool(call.home_vm)
        remaining_s = call.deadline - self._feed.clock()
        deadline_ms = int(remaining_s * _MS_PER_S)
        if deadline_ms < 1:
            raise RefusalError(RefusalCode.DEADLINE_PASSED)
        body = _encode_call(call, deadline_ms)
        try:
            response = await pool.call(
                'POST',
                '/v1/queries',
                body,
                timeout_s=remaining_s + _ANSWER_MARGIN_S,
            )
        except (WireError, TimeoutError) as error:
            raise _convert_transport_error(error) from error
        return self._read_response(response, call)

    async def get_request_id_prefix(self) -> str | None:
        """Return the local gather's request id prefix.

        The prefix is cached for one second. Return None if gather does not
        answer.
        """
        async with self._prefix_lock:
            if self._feed.clock() >= self._prefix_expires_at:
                requested_at = self._feed.clock()
                self._prefix = await self._fetch_prefix()
                self._prefix_expires_at = requested_at + _PREFIX_CACHE_S
            return self._prefix

    async def close(self) -> None:
        """Close every connection."""
        await self._local_pool.close()
        for pool in self._remote_pool_by_vm.values():
            await pool.close()

    async def _fetch_prefix(self) -> str | None:
        try:
            response = await self._local_pool.call(
                'GET',
                '/v1/request-id-prefix',
                timeout_s=_PREFIX_TIMEOUT_S,
            )
            message = decode_json(response.body)
        except (WireError, TimeoutError, InvalidMessageError):
            return None
        prefix = None
        if response.is_success and isinstance(message, dict):
            prefix = message.get('prefix')
        return prefix if isinstance(prefix, str) else None

    async def _get_pool(self, home_vm: str | None) -> ConnectionPool:
        if home_vm is None or home_vm == self._feed.process.vm_id:
            return self._local_pool
        roster = self._feed.view.roster
        entry = roster.vms_by_id.get(home_vm) if roster else None
        if entry is None:
            # An earlier attempt with this id may have run on the missing VM.
            raise RefusalError(
                RefusalCode.EXPIRED_REQUEST_ID,
                Ran.UNKNOWN,
                detail='the home VM of the request id is not in the roster',
            )
        if not self._feed.view.is_data_centre_in(entry.data_centre):
            raise RefusalError(
                RefusalCode.LEAVING,
                detail='the home VM of the request id is in a data centre '
                'that is out',
            )
        endpoint = (entry.address, entry.gather_port)
        pool = self._remote_pool_by_vm.get(home_vm)
        if pool is None or (pool.address, pool.port) != endpoint:
            pool = await self._replace_pool(home_vm, *endpoint)
        return pool

    async def _replace_pool(
        self,
        vm_id: str,
        address: str,
        port: int,
    ) -> ConnectionPool:
        replaced = self._remote_pool_by_vm.get(vm_id)
        pool = self._create_pool(address, port, _MAX_REMOTE_CONNECTIONS)
        self._remote_pool_by_vm[vm_id] = pool
        if replaced is not None:
            await replaced.close()
        return pool

    def _read_response(
        self,
        response: HttpResponse,
        call: GatherCall,
    ) -> GatherAnswerMessage:
        message = _decode_object(response.body)
        self._check_request_id(message, call.request_id)
        if response.status == _STATUS_REFUSED:
            raise _decode_refusal(message)
        if not response.is_success:
            raise _internal_refusal(f'gather sent status {response.status}')
        try:
            return GatherAnswerMessage.model_validate(message)
        except pydantic.ValidationError as error:
            raise _internal_refusal('gather sent an invalid answer') from error

    def _check_request_id(
        self,
        message: dict[str, Any],
        request_id: str,
    ) -> None:
        # A refusal may lack the request id, an answer must have it.
        is_refusal = 'refusal' in message and 'request_id' not in message
        try:
            self._metrics.check(
                'answer_matches_request',
                is_refusal or message.get('request_id') == request_id,
            )
        except InvariantViolationError as error:
            raise _internal_refusal('gather answered another id') from error


def _encode_call(call: GatherCall, deadline_ms: int) -> bytes:
    return encode_json(
        {
            'request_id': call.request_id,
            'service_id': call.service_id,
            'route_kind': call.route_kind,
            'workspace_id': call.workspace_id,
            'request_class': call.request_class,
            'deadline_ms': deadline_ms,
            'query': call.query,
            'home_vm': call.home_vm,
        },
    )


def _decode_object(body: bytes) -> dict[str, Any]:
    try:
        message = decode_json(body)
    except InvalidMessageError as error:
        raise _internal_refusal('gather sent invalid JSON') from error
    if not isinstance(message, dict):
        raise _internal_refusal('gather sent an invalid message')
    return message


def _convert_transport_error(error: Exception) -> RefusalError:
    if isinstance(error, NotSentError):
        return RefusalError(
            RefusalCode.NOT_READY,
            detail='gather is not reachable',
        )
    if isinstance(error, OutcomeUnknownError):
        return RefusalError(
            RefusalCode.BACKEND_FAILED,
            Ran.UNKNOWN,
            detail='connection to gather was lost',
        )
    return RefusalError(
        RefusalCode.DEADLINE_PASSED,
        Ran.UNKNOWN,
        detail='no answer before the deadline',
    )


def _decode_refusal(message: dict[str, Any]) -> RefusalError:
    try:
        refusal = GatherRefusalMessage.model_validate(message.get('refusal'))
    except pydantic.ValidationError:
        return _internal_refusal('gather sent an invalid refusal')
    return RefusalError(
        refusal.code,
        refusal.ran,
        detail=refusal.detail,
        retry_after_ms=refusal.retry_after_ms,
    )


def _internal_refusal(detail: str) -> RefusalError:
    return RefusalError(RefusalCode.INTERNAL, Ran.UNKNOWN, detail=detail)
