"""Tests of early refusals by a gather whose core is busy."""

import random
import unittest

from jacinthcart.errors import Ran, RefusalCode, RefusalError
from jacinthcart.gather._processor import ProcessorWaitEstimator
from jacinthcart.gather._request_ids import RequestIdRegistry
from jacinthcart.gather._service import GatherService
from jacinthcart.telemetry import DecisionLog
from tests.gather.fakes import Fleet, create_service, run_in_virtual_time


class ProcessorWaitEstimatorTest(unittest.TestCase):
    """The estimate follows the CPU time of the last window."""

    def setUp(self) -> None:
        """Start at time 0 with no CPU time used."""
        self.now = 0.0
        self.used_s = 0.0
        self.estimator = ProcessorWaitEstimator(
            lambda: self.now,
            lambda: self.used_s,
        )

    def _pass_second(self, used_s: float, finished: int) -> None:
        self.used_s += used_s
        for _ in range(finished):
            self.estimator.record_finished()
        self.now += 1

    def test_busy_core_gives_the_cost_of_all_requests(self) -> None:
        """Guards against accepting queries that cannot finish in time."""
        self._pass_second(0.9, finished=9)
        self.assertAlmostEqual(self.estimator.estimate_wait_s(4), 0.5)

    def test_idle_core_gives_no_wait(self) -> None:
        """Guards against refusals by a gather with spare CPU time."""
        self._pass_second(0.2, finished=1)
        self.assertEqual(self.estimator.estimate_wait_s(4), 0)


class BusyGatherTest(unittest.TestCase):
    """A busy gather refuses before it sends anything."""

    def test_query_that_would_wait_too_long_is_refused(self) -> None:
        """Guards against queries that finish late with an unknown outcome."""
        fleet = Fleet(create_service(1), vm_count=1)
        used_s = [0.0]

        async def body() -> RefusalError:
            vm = fleet.vms_by_id['vm0']
            now = [0.0]
            estimator = ProcessorWaitEstimator(
                lambda: now[0],
                lambda: used_s[0],
            )
            used_s[0] = 0.9
            estimator.record_finished()
            now[0] = 1.0
            vm.service = GatherService(
                vm.service._context,
                RequestIdRegistry('vm0', vm.feed.clock, random.Random(1)),
                DecisionLog(),
                estimator,
            )
            with self.assertRaises(RefusalError) as caught:
                await vm.query()
            return caught.exception

        refusal = run_in_virtual_time(body)
        self.assertEqual(refusal.code, RefusalCode.OVERLOADED)
        self.assertEqual(refusal.ran, Ran.NOT_RUN)
        self.assertEqual(fleet.list_calls(), [])
