"""Tests of the arrival schedule."""

import collections
import unittest

import pydantic

from jacinthcart.load import create_arrivals
from tests.load.samples import WORKSPACE, make_experiment


class ArrivalsTest(unittest.TestCase):
    """The schedule depends only on the experiment."""

    def test_equal_seeds_give_equal_schedules(self) -> None:
        """Guards against runs that differ from their baseline by chance."""
        first, again, other = (
            list(create_arrivals(make_experiment(seed=seed)))
            for seed in (1, 1, 2)
        )
        self.assertEqual(first, again)
        self.assertNotEqual(
            [arrival.at_s for arrival in first],
            [arrival.at_s for arrival in other],
        )

    def test_duration_and_count_bound_the_run(self) -> None:
        """Guards against a run that does not end."""
        arrivals = list(create_arrivals(make_experiment()))
        self.assertLess(arrivals[-1].at_s, 10)
        bounded = list(create_arrivals(make_experiment(max_requests=7)))
        self.assertEqual(bounded, arrivals[:7])

    def test_phases_weights_and_skew_set_the_rates(self) -> None:
        """Guards against load for the wrong workspace or at the wrong time."""
        second = WORKSPACE.model_copy(update={'workspace': 'team/two'})
        experiment = make_experiment(
            workspaces=[WORKSPACE.model_dump(), second.model_dump()],
            rate_per_s=300,
            skew=1,
            phases=[
                {'name': 'calm', 'duration_s': 10},
                {
                    'name': 'noisy',
                    'duration_s': 10,
                    'factor_by_workspace': {'team/two': 5},
                },
                {'name': 'silent', 'duration_s': 5, 'factor': 0},
            ],
        )
        counts = collections.Counter(
            (arrival.phase, arrival.workspace.workspace)
            for arrival in create_arrivals(experiment)
        )
        expected = {
            ('calm', 'team/one'): 2000,
            ('calm', 'team/two'): 1000,
            ('noisy', 'team/one'): 2000,
            ('noisy', 'team/two'): 5000,
        }
        self.assertEqual(counts.keys(), expected.keys())
        for key, count in expected.items():
            self.assertAlmostEqual(counts[key] / count, 1, delta=0.1)

    def test_bursts_are_added_to_the_steady_arrivals(self) -> None:
        """Guards against bursts that are lost or spread out."""
        phase = {
            'name': 'bursty',
            'duration_s': 10,
            'bursts': {'every_s': 4, 'size': 5},
        }
        experiment = make_experiment(phases=[phase])
        counts = collections.Counter(
            arrival.at_s for arrival in create_arrivals(experiment)
        )
        bursts = {at_s: size for at_s, size in counts.items() if size > 1}
        self.assertEqual(bursts, {4: 5, 8: 5})

    def test_invalid_experiments_are_rejected(self) -> None:
        """Guards against a typo that silently changes a run."""
        for fields in ({'rate': 5}, {'phases': []}, {'rate_per_s': 0}):
            with self.assertRaises(pydantic.ValidationError):
                make_experiment(**fields)
