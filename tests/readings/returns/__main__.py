"""Runs by hand: `python -m tests.readings.returns --seed 1 --count 50`."""

import argparse
import sys
import time

from tests.readings.returns._run import run_schedule
from tests.readings.returns._schedule import StepKind, draw_schedule
from tests.readings.returns._store import StoreParameters


def main() -> int:
    """Return 1 if a schedule breaks a rule."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1, help='first seed')
    parser.add_argument('--count', type=int, default=1, help='seeds to run')
    parser.add_argument('--vms', type=int, default=8)
    parser.add_argument('--steps', type=int, default=40)
    parser.add_argument('--no-return', action='store_true')
    parser.add_argument('--no-era', action='store_true', help='no header')
    parser.add_argument('--trace', action='store_true', help='print the steps')
    parser.add_argument('--lines', type=int, default=3, help='shown per seed')
    options = parser.parse_args()
    kinds = frozenset(StepKind)
    if options.no_return:
        kinds -= {StepKind.RETURN}
    store = StoreParameters(tells_era=not options.no_era)
    failed = 0
    for seed in range(options.seed, options.seed + options.count):
        schedule = draw_schedule(
            seed, options.vms, options.steps, kinds=kinds, store=store
        )
        if options.trace:
            for step in schedule.steps:
                _show(step)
        began = time.process_time()
        outcome = run_schedule(schedule)
        failed += bool(outcome.violations)
        rules = sorted({one.rule for one in outcome.violations})
        _show(
            f'seed {seed}: {len(outcome.violations)} violations {rules}, '
            f'{outcome.returns} returns, {outcome.store_calls} store calls, '
            f'{outcome.seconds:.0f} s in {time.process_time() - began:.1f} s'
        )
        for violation in outcome.violations[: options.lines]:
            _show(f'  {violation}')
    _show(f'{failed} of {options.count} seeds break a rule')
    return int(failed > 0)


def _show(line: object) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
