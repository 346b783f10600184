"""Shared fixtures for the rate limiter tests."""

import math
import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from trio.testing import MockClock

from jacinthcart.limits import BasePeerMessenger, TokenLedger
from jacinthcart.settings import SettingsView, build_view
from jacinthcart.telemetry import DecisionLog, Metrics

WORKSPACE = 'voskovka/praha'
VMS = [f'vm-{number}' for number in range(8)]


class ManualClock:
    """A clock that is advanced only by the test."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class RecordingMessenger(BasePeerMessenger):
    """Records sent messages."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, dict[str, Any]]] = []

    async def send(self, vm_id: str, message: dict[str, Any]) -> None:
        self.sent.append((vm_id, message))


def create_view(
    rate: float = 400,
    burst: float = 400,
    vm_ids: list[str] | None = None,
    **policy: Any,
) -> SettingsView:
    entry = {
        'address': '127.0.0.1',
        'data_centre': 'one',
        'entry_port': 7000,
        'gather_port': 7001,
        'control_port': 7002,
        'admin_port': 7003,
    }
    return build_view(
        {
            'fleet/roster': {
                'vms_by_id': {vm_id: entry for vm_id in vm_ids or VMS},
            },
            'fleet/policy': policy,
            'teams/voskovka/workspaces/praha': {'rate': rate, 'burst': burst},
        },
        1,
    )


def create_ledger(clock: Callable[[], float]) -> Any:
    ledger = create_waiting_ledger(clock)
    ledger.record_roster_activation(-math.inf)
    return ledger


def create_waiting_ledger(clock: Callable[[], float]) -> Any:
    return TokenLedger(
        VMS[0],
        clock,
        Metrics(),
        DecisionLog(),
        random.Random(1),
    )


def count_granted(ledger: TokenLedger, count: int = 1000) -> int:
    granted = ledger.acquire({WORKSPACE: count}).granted
    return granted[WORKSPACE].count if granted else 0


def run_virtual(test: Callable[[], Awaitable[None]]) -> None:
    anyio.run(
        test,
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )
