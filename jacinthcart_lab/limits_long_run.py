"""Long randomised run of the rate limiter: `--seed N --steps N`."""

import argparse
import random
import sys

from jacinthcart_lab.limits_chaos import (
    ChaosFigures,
    draw_faults,
    run_chaos,
)
from jacinthcart_lab.limits_tight import (
    TightFigures,
    draw_tight_faults,
    run_tight,
)

_FAULTS_PER_FLEET = 15


def _run_fleet(seed: int, is_tight: bool) -> ChaosFigures | TightFigures:
    rng = random.Random(seed)
    if is_tight:
        return run_tight(seed, draw_tight_faults(rng, _FAULTS_PER_FLEET))
    return run_chaos(seed, draw_faults(rng, _FAULTS_PER_FLEET))


def main() -> int:
    """Run fleets until enough steps are done; return 1 on an excess."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--steps', type=int, default=300_000)
    parser.add_argument(
        '--tight',
        action='store_true',
        help='one burst and full demand, checked against the exact bound',
    )
    arguments = parser.parse_args()
    rng = random.Random(arguments.seed)
    steps = 0
    admitted = 0
    while steps < arguments.steps:
        seed = rng.getrandbits(32)
        figures = _run_fleet(seed, arguments.tight)
        steps += figures.steps
        admitted += figures.admitted
        if figures.excess:
            print(f'fleet seed {seed}: excess {figures.excess}')
            return 1
    print(
        f'seed {arguments.seed}: {steps} steps, {admitted} admitted, '
        f'no window over rate and burst',
    )
    return 0


if __name__ == '__main__':
    sys.exit(main())
