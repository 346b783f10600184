"""Ids of non-idempotent requests and their deduplication at the home VM."""

import dataclasses
import heapq
import random
import re

from jacinthcart.errors import Ran, RefusalCode, RefusalError
from jacinthcart.program import Clock

_MS_PER_S = 1000
_INCARNATION_BITS = 64
_ID_PATTERN = re.compile(
    r'(?P<vm>[a-z0-9][a-z0-9_-]*)\.(?P<incarnation>[0-9a-f]{1,32})'
    r'\.(?P<issued_ms>[0-9]{1,15})\.(?P<random>[A-Za-z0-9_-]{1,64})',
    re.ASCII,
)


@dataclasses.dataclass(frozen=True)
class _RequestId:
    """Parsed id of a non-idempotent request."""

    #: VM that deduplicates the id.
    home_vm: str
    #: Incarnation of that VM's gather process that issued the prefix.
    incarnation: str
    #: Time of issue in milliseconds on that gather's clock.
    issued_ms: int


class RequestIdRegistry:
    """Ensures that each request id of this home VM runs at most once.

    Ids are kept for `request_id_ttl_s` after they were issued. An id that
    may have been dropped already is refused because of its age, even if the
    setting is raised later.
    """

    def __init__(
        self,
        vm_id: str,
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        """Choose the incarnation and start without registered ids."""
        self._vm_id = vm_id
        self._clock = clock
        self._incarnation = f'{random_source.getrandbits(_INCARNATION_BITS):x}'
        self._registered_ids: set[str] = set()
        #: Heap of ids, ordered by their time of issue in milliseconds.
        self._id_heap: list[tuple[int, str]] = []
        self._expired_before_ms = 0.0

    def create_prefix(self) -> str:
        """Return a prefix for request ids whose home is this process."""
        return f'{self._vm_id}.{self._incarnation}.{int(self._now_ms())}'

    def register(self, request_id: str, ttl_s: float) -> None:
        """Register an id before its request runs.

        Raise RefusalError if the id is invalid, expired or already
        registered.
        """
        parsed = self._parse(request_id)
        self._expire_old(ttl_s)
        self._check_validity(parsed)
        if request_id in self._registered_ids:
            raise RefusalError(
                RefusalCode.DUPLICATE,
                Ran.UNKNOWN,
                detail='the request id was used before',
            )
        self._registered_ids.add(request_id)
        heapq.heappush(self._id_heap, (parsed.issued_ms, request_id))

    def release(self, request_id: str) -> None:
        """Allow the id to be used again after a request that did not run."""
        self._registered_ids.discard(request_id)

    def __len__(self) -> int:
        """Return the number of registered ids."""
        return len(self._registered_ids)

    def _check_validity(self, parsed: _RequestId) -> None:
        if parsed.incarnation != self._incarnation:
            raise RefusalError(
                RefusalCode.EXPIRED_REQUEST_ID,
                Ran.UNKNOWN,
                detail='the home has restarted since it issued this id',
            )
        if parsed.issued_ms > self._now_ms():
            raise RefusalError(
                RefusalCode.INVALID_REQUEST,
                detail='the request id is from the future',
            )
        if parsed.issued_ms < self._expired_before_ms:
            raise RefusalError(
                RefusalCode.EXPIRED_REQUEST_ID,
                Ran.UNKNOWN,
                detail='the request id is too old',
            )

    def _parse(self, request_id: str) -> _RequestId:
        match = _ID_PATTERN.fullmatch(request_id)
        if match is None:
            raise RefusalError(
                RefusalCode.INVALID_REQUEST,
                detail='the request id has no valid prefix',
            )
        if match['vm'] != self._vm_id:
            raise RefusalError(
                RefusalCode.INVALID_REQUEST,
                detail='this VM is not the home of the request id',
            )
        return _RequestId(
            match['vm'],
            match['incarnation'],
            int(match['issued_ms']),
        )

    def _expire_old(self, ttl_s: float) -> None:
        oldest_kept_ms = self._now_ms() - ttl_s * _MS_PER_S
        self._expired_before_ms = max(
            self._expired_before_ms,
            oldest_kept_ms,
        )
        while self._id_heap and self._id_heap[0][0] < self._expired_before_ms:
            self._registered_ids.discard(heapq.heappop(self._id_heap)[1])

    def _now_ms(self) -> float:
        return self._clock() * _MS_PER_S
