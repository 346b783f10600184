"""Long randomised run of the rate limiter: `--seed N --steps N`."""

import dataclasses
import random
import sys
from typing import Annotated

import cappa

from jacinthcart_lab.limits_chaos import (
    ChaosResult,
    draw_faults,
    run_chaos,
)
from jacinthcart_lab.limits_tight import (
    TightResult,
    draw_tight_faults,
    run_tight,
)

_FAULTS_PER_FLEET = 15


def _run_fleet(seed: int, is_tight: bool) -> ChaosResult | TightResult:
    rng = random.Random(seed)
    if is_tight:
        return run_tight(seed, draw_tight_faults(rng, _FAULTS_PER_FLEET))
    return run_chaos(seed, draw_faults(rng, _FAULTS_PER_FLEET))


@dataclasses.dataclass
class LongRun:
    """Run fleets with random faults.

    Stop when the responses and sent datagrams of all runs reach `steps`.
    """

    seed: Annotated[int, cappa.Arg(long=True)] = 1
    steps: Annotated[int, cappa.Arg(long=True)] = 300_000
    #: Whether to keep the burst constant and check the exact bound, with demand
    #: above the rate.
    tight: Annotated[bool, cappa.Arg(long=True)] = False

    def __call__(self) -> None:
        """Exit with 1 if a window exceeds rate and burst."""
        rng = random.Random(self.seed)
        steps = 0
        admitted = 0
        while steps < self.steps:
            seed = rng.getrandbits(32)
            fleet_result = _run_fleet(seed, self.tight)
            steps += fleet_result.steps
            admitted += fleet_result.admitted
            if fleet_result.excess:
                sys.stdout.write(
                    f'fleet seed {seed}: {fleet_result.excess} requests '
                    'above rate and burst\n',
                )
                sys.exit(1)
        sys.stdout.write(
            f'seed {self.seed}: {steps} steps, {admitted} admitted, '
            'no window exceeds rate and burst\n',
        )


if __name__ == '__main__':
    cappa.invoke(LongRun)
