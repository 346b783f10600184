"""Schedules of writes and faults, drawn from a seed."""

import dataclasses
import enum
import random
from collections.abc import Mapping

from tests.readings.returns._store import MAX_COPY_AGE_S, StoreParameters


class StepKind(enum.StrEnum):
    """What happens in a step."""

    CONFIG = 'config'
    EVACUATION = 'evacuation'
    SEARCHER_DRAIN = 'searcher drain'
    SEARCHER_EXIT = 'searcher exit'
    SEARCHER_RESTART = 'searcher restart'
    RETURN = 'return'
    OUTAGE = 'outage'
    HISTORY_LOSS = 'history loss'
    PAUSE = 'pause'
    STORE_CUT = 'store cut'
    STORE_REJECT = 'store reject'
    STORE_SLOW = 'store slow'
    PEER_CUT = 'peer cut'
    PARTITION = 'partition'
    RESTART = 'restart'


WEIGHT_BY_KIND: Mapping[StepKind, float] = {
    StepKind.CONFIG: 5,
    StepKind.EVACUATION: 2,
    StepKind.SEARCHER_DRAIN: 2,
    StepKind.SEARCHER_EXIT: 1.5,
    StepKind.SEARCHER_RESTART: 2,
    StepKind.RETURN: 3,
    StepKind.OUTAGE: 0.5,
    StepKind.HISTORY_LOSS: 0.5,
    StepKind.PAUSE: 1.5,
    StepKind.STORE_CUT: 1,
    StepKind.STORE_REJECT: 0.7,
    StepKind.STORE_SLOW: 0.7,
    StepKind.PEER_CUT: 1,
    StepKind.PARTITION: 0.7,
    StepKind.RESTART: 1.5,
}
ALL_KINDS = frozenset(StepKind)
PLAIN_STORE = StoreParameters()
#: Steps that only write.
WRITES = frozenset(
    (
        StepKind.CONFIG,
        StepKind.EVACUATION,
        StepKind.SEARCHER_DRAIN,
        StepKind.SEARCHER_EXIT,
        StepKind.SEARCHER_RESTART,
    )
)
_MAX_AWAY_S = 5.0
_MAX_FAULT_S = 6.0
_MAX_GAP_S = 1.2


@dataclasses.dataclass(frozen=True)
class Step:
    """One write or fault."""

    kind: StepKind
    #: Seconds until the next step.
    gap_s: float
    #: Length in seconds: of a fault, or for which the store is away.
    length_s: float
    #: Age in seconds of the copy from which the store comes back.
    copy_age_s: float
    #: Chooses what is affected, such as VMs or a searcher.
    choice: int
    #: Decides a detail: a key withdrawn, watches cut, history kept.
    flags: tuple[bool, bool]


@dataclasses.dataclass(frozen=True)
class Schedule:
    """A fleet and what happens to it."""

    seed: int
    vms: int
    steps: tuple[Step, ...]
    store: StoreParameters = PLAIN_STORE

    @property
    def bound_s(self) -> float:
        """Bound on configurations and leaving searchers, from the pages.

        Large deployments have twice the bound of the others.
        """
        return 3.0 if self.vms <= 32 else 6.0

    @property
    def reads_per_s(self) -> int:
        """Limit of the store on calls, from the pages."""
        return 2000 if self.vms <= 32 else 16000


def draw_schedule(
    seed: int,
    vms: int,
    count: int,
    *,
    kinds: frozenset[StepKind] = ALL_KINDS,
    store: StoreParameters = PLAIN_STORE,
) -> Schedule:
    """Draw `count` steps of the given kinds."""
    source = random.Random(f'{seed}/{vms}')
    drawn_kinds = [kind for kind in StepKind if kind in kinds]
    weights = [WEIGHT_BY_KIND[kind] for kind in drawn_kinds]
    steps = [
        _draw_step(source, source.choices(drawn_kinds, weights)[0])
        for _ in range(count)
    ]
    return Schedule(seed, vms, tuple(steps), store)


def _draw_step(source: random.Random, kind: StepKind) -> Step:
    length_s = _MAX_FAULT_S * source.random()
    if kind is StepKind.RETURN:
        length_s = source.choice((0.0, _MAX_AWAY_S * source.random()))
    if kind is StepKind.RESTART:
        length_s = 1.5 * source.random()
    return Step(
        kind,
        gap_s=_MAX_GAP_S * source.random() ** 2,
        length_s=round(length_s, 3),
        copy_age_s=round(MAX_COPY_AGE_S * source.random(), 3),
        choice=source.getrandbits(30),
        flags=(source.choice((True, False)), source.choice((True, False))),
    )
