"""An emulated searcher: slots, cold start, faults and counters."""

import collections
import dataclasses
import random
import secrets
from typing import Any

import anyio

from jacinthcart_emulator._corpus import compute_hits
from jacinthcart_emulator._models import SearcherFault, SearcherSpec

_MS_PER_S = 1000
_FAULT_FIELDS = (
    'straggle_fraction',
    'straggle_factor',
    'truncate_fraction',
    'cross_fraction',
    'wrong_version_fraction',
    'missing_shard_fraction',
    'stall',
    'refuse_connections',
    'draining',
    'hide_state',
)


@dataclasses.dataclass
class Faults:
    """Active faults; see SearcherFault."""

    straggle_fraction: float = 0
    straggle_factor: float = 10
    truncate_fraction: float = 0
    cross_fraction: float = 0
    wrong_version_fraction: float = 0
    missing_shard_fraction: float = 0
    stall: bool = False
    refuse_connections: bool = False
    draining: bool = False
    hide_state: bool = False


class EmulatedSearcher:
    """Answers searches for its shards and counts the requests."""

    def __init__(
        self, spec: SearcherSpec, random_source: random.Random
    ) -> None:
        """Initialise from `spec` with a new generation."""
        self.spec = spec
        self.faults = Faults()
        self.random_source = random_source
        self.generation = secrets.token_hex(4)
        self.is_cold = spec.cold
        self.versions = spec.versions
        self.shards = spec.shards
        self.partition_map = spec.partition_map
        self.connections = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self.runs_by_submit_id: collections.Counter[str] = collections.Counter()
        self._running = 0
        self._waiting = 0
        self._requests_since_cold = 0
        self._slots = anyio.Semaphore(spec.slots)
        self._scopes_by_sub_id: dict[str, anyio.CancelScope] = {}

    async def search(
        self,
        message: dict[str, Any],
        deadline_ms: float,
    ) -> tuple[int, dict[str, Any]]:
        """Run a search; return the HTTP status and the body.

        A search that gets no slot within `deadline_ms`, or is cancelled while
        it waits, is refused as `shed`.
        """
        self.counts['received'] += 1
        refusal = self._check_admission(message)
        if refusal is not None:
            return refusal
        sub_id = message['sub_id']
        has_slot = await self._wait_for_slot(sub_id, deadline_ms / _MS_PER_S)
        if not has_slot:
            return self._refuse(message, 'shed')
        try:
            return await self._run(message)
        finally:
            self._slots.release()

    def cancel(self, sub_id: str) -> None:
        """Cancel a search that waits for a slot; a running one continues."""
        self.counts['cancelled'] += 1
        scope = self._scopes_by_sub_id.get(sub_id)
        if scope is not None:
            scope.cancel()

    def apply_fault(self, fault: SearcherFault) -> None:
        """Apply the fields of `fault` that are not None."""
        for name in _FAULT_FIELDS:
            setting = getattr(fault, name)
            if setting is not None:
                setattr(self.faults, name, setting)
        self.versions = fault.versions or self.versions
        self.shards = fault.shards or self.shards
        self.partition_map = fault.partition_map or self.partition_map
        if fault.cold is not None:
            self.is_cold = fault.cold
            self._requests_since_cold = 0
        if fault.new_generation:
            self.generation = secrets.token_hex(4)

    def describe(self) -> dict[str, Any]:
        """Return the state and the counters of the searcher."""
        return {
            **self.counts,
            'state': self._reported_state(),
            'is_cold': self.is_cold,
            'generation': self.generation,
            'connections': self.connections,
            'submits_run': len(self.runs_by_submit_id),
            'submits_run_twice': sum(
                runs > 1 for runs in self.runs_by_submit_id.values()
            ),
        }

    def reported_load(self) -> float:
        """Return the searches in progress per slot.

        Searches that wait for a slot are included. Return 0 while the fault
        `hide_state` hides a cold searcher.
        """
        if self.faults.hide_state and self.is_cold:
            return 0
        return (self._running + self._waiting) / self.spec.slots

    async def _wait_for_slot(self, sub_id: str, wait_s: float) -> bool:
        has_slot = False
        self._waiting += 1
        try:
            with anyio.move_on_after(wait_s) as scope:
                self._scopes_by_sub_id[sub_id] = scope
                await self._slots.acquire()
                has_slot = True
        finally:
            self._waiting -= 1
            self._scopes_by_sub_id.pop(sub_id, None)
        return has_slot

    def _check_admission(
        self,
        message: dict[str, Any],
    ) -> tuple[int, dict[str, Any]] | None:
        if self.faults.draining:
            return self._refuse(message, 'draining')
        if message['index_version'] not in self.versions:
            return self._refuse(message, 'wrong_version')
        if message['partition_map'] != self.partition_map:
            return self._refuse(message, 'wrong_version')
        in_progress = self._running + self._waiting
        if self.is_cold:
            record_maximum(self.counts, 'max_cold_concurrency', in_progress + 1)
            if in_progress >= self.spec.cold_allowance:
                self.counts['cold_overruns'] += 1
                return self._refuse(message, 'cold')
        if in_progress >= self.spec.slots + self.spec.queue_limit:
            return self._refuse(message, 'shed')
        return None

    def _refuse(
        self,
        message: dict[str, Any],
        code: str,
    ) -> tuple[int, dict[str, Any]]:
        self.counts[f'refused_{code}'] += 1
        status = 409 if code == 'wrong_version' else 503
        return status, {
            'code': code,
            'versions': list(self.versions),
            **self._common_fields(message),
        }

    async def _run(
        self,
        message: dict[str, Any],
    ) -> tuple[int, dict[str, Any]]:
        self._running += 1
        record_maximum(self.counts, 'max_concurrency', self._running)
        if message.get('submit'):
            self.runs_by_submit_id[message['request_id']] += 1
        try:
            await anyio.sleep(self._draw_service_s())
        finally:
            self._running -= 1
        self.counts['run'] += 1
        self._count_warm_up_request()
        return 200, self._build_answer(message)

    def _build_answer(self, message: dict[str, Any]) -> dict[str, Any]:
        version = message['index_version']
        if draw_bool(self.random_source, self.faults.wrong_version_fraction):
            version += 1
        shards = list(message['shards'])
        if draw_bool(self.random_source, self.faults.missing_shard_fraction):
            shards = shards[:-1]
        return {
            **self._common_fields(message),
            'load': self.reported_load(),
            'index_version': version,
            'partition_map': self.partition_map,
            'results': {
                str(shard): compute_hits(message['query'], shard, version)
                for shard in shards
                if shard in self.shards
            },
        }

    def _common_fields(self, message: dict[str, Any]) -> dict[str, Any]:
        return {
            'sub_id': message['sub_id'],
            'generation': self.generation,
            'state': self._reported_state(),
        }

    def _reported_state(self) -> str:
        if self.faults.draining:
            return 'draining'
        if self.is_cold and not self.faults.hide_state:
            return 'cold'
        return 'warm'

    def _count_warm_up_request(self) -> None:
        if not self.is_cold:
            return
        self._requests_since_cold += 1
        if self._requests_since_cold >= self.spec.warm_after_requests:
            self.is_cold = False

    def _draw_service_s(self) -> float:
        median = self.spec.service_ms / _MS_PER_S
        spread = self.spec.service_spread
        drawn = median * self.random_source.lognormvariate(0, spread)
        if draw_bool(self.random_source, self.faults.straggle_fraction):
            self.counts['straggled'] += 1
            return drawn * self.faults.straggle_factor
        return drawn


def draw_bool(random_source: random.Random, fraction: float) -> bool:
    """Return true with probability `fraction`.

    Draw no random number if `fraction` is 0, so that an inactive fault does
    not change the other draws from `random_source`.
    """
    return fraction > 0 and random_source.random() < fraction


def record_maximum(
    counts: collections.Counter[str],
    name: str,
    observed: int,
) -> None:
    """Set the counter `name` to `observed` if that is higher."""
    counts[name] = max(counts[name], observed)
