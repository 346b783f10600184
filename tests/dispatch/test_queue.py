"""Tests of fair queueing, early refusals and checks after the queue wait."""

import unittest
from collections.abc import Callable

import anyio

from jacinthcart.dispatch import Dispatcher, PartCall
from jacinthcart.errors import Ran, RefusalCode, RefusalError
from jacinthcart.settings import RequestClass
from tests.dispatch.support import (
    S0,
    Fleet,
    make_call,
    run_virtual,
)

ONE_SLOT = {'slots': 1, 'connections_per_owner': 1}
FLOOD_SIZE = 60


async def _run(dispatcher: Dispatcher, call: PartCall) -> str:
    try:
        part = await dispatcher.run_part(call)
    except RefusalError as refusal:
        return f'{refusal.code}:{refusal.ran}'
    return ','.join(sorted(set(part.missing.values())))


async def _find_position(flood: RequestClass, late: RequestClass) -> int:
    """Return how many requests run before one that follows a flood."""
    fleet = Fleet(searcher_count=1, service=ONE_SLOT)
    dispatcher = fleet.dispatchers[0]
    async with anyio.create_task_group() as tasks:
        for _ in range(FLOOD_SIZE):
            call = make_call(30, 'team/large', flood)
            tasks.start_soon(_run, dispatcher, call)
        await anyio.sleep(0.001)
        call = make_call(30, 'team/small', late, request_id='late')
        tasks.start_soon(_run, dispatcher, call)
    ids = [item.request_id for item in fleet.searchers[S0].messages]
    return ids.index('late')


class FairQueueTest(unittest.TestCase):
    """A flood of requests delays only its own workspace."""

    def test_flood_of_one_workspace_does_not_delay_another(self) -> None:
        """Guards against serving requests in arrival order."""

        async def scenario() -> None:
            ordinary = RequestClass.ORDINARY
            position = await _find_position(ordinary, ordinary)
            self.assertLessEqual(position, 2)

        run_virtual(scenario)

    def test_background_is_not_starved(self) -> None:
        """Guards against starvation by requests of a higher class."""

        async def scenario() -> None:
            position = await _find_position(
                RequestClass.PRIORITY, RequestClass.BACKGROUND
            )
            self.assertLessEqual(position, 9)

        run_virtual(scenario)

    def test_classes_share_a_busy_searcher_by_weight(self) -> None:
        """Guards against strict priorities and against equal shares."""
        classes = (RequestClass.PRIORITY, RequestClass.BACKGROUND)

        async def scenario() -> None:
            fleet = Fleet(searcher_count=1, service=ONE_SLOT)
            dispatcher = fleet.dispatchers[0]
            async with anyio.create_task_group() as tasks:
                for number in range(2 * FLOOD_SIZE):
                    request_class = classes[number % 2]
                    call = make_call(
                        30, 'w', request_class, request_id=request_class.value
                    )
                    tasks.start_soon(_run, dispatcher, call)
            messages = fleet.searchers[S0].messages[:45]
            ids = [message.request_id for message in messages]
            # The weights give background a ninth: 5 of 45.
            self.assertIn(ids.count('background'), range(4, 7))

        run_virtual(scenario)

    def test_background_waits_for_its_share_only(self) -> None:
        """Guards against background requests delaying priority requests."""

        async def scenario() -> None:
            position = await _find_position(
                RequestClass.BACKGROUND, RequestClass.PRIORITY
            )
            self.assertLessEqual(position, 2)

        run_virtual(scenario)

    def test_request_that_would_wait_too_long_is_refused_early(self) -> None:
        """Guards against queueing a request that cannot meet its deadline."""

        async def scenario() -> None:
            fleet = Fleet(searcher_count=1, service=ONE_SLOT)
            fleet.searchers[S0].latency_s = 0.1
            dispatcher = fleet.dispatchers[0]
            await dispatcher.run_part(make_call())
            async with anyio.create_task_group() as tasks:
                for _ in range(10):
                    tasks.start_soon(_run, dispatcher, make_call(30))
                await anyio.sleep(0.001)
                started_at = anyio.current_time()
                with self.assertRaises(RefusalError) as caught:
                    await dispatcher.run_part(make_call(0.5))
                self.assertEqual(anyio.current_time(), started_at)
            self.assertEqual(caught.exception.code, RefusalCode.OVERLOADED)
            self.assertEqual(caught.exception.ran, Ran.NOT_RUN)

        run_virtual(scenario)

    def test_queue_is_bounded(self) -> None:
        """Guards against a queue that grows without limit."""

        async def scenario() -> None:
            fleet = Fleet(
                searcher_count=1, service=ONE_SLOT, policy={'queue_limit': 5}
            )
            outcomes: list[str] = []

            async def collect() -> None:
                outcomes.append(await _run(fleet.dispatchers[0], make_call(30)))

            async with anyio.create_task_group() as tasks:
                for _ in range(20):
                    tasks.start_soon(collect)
            self.assertEqual(outcomes.count('overloaded:not_run'), 14)

        run_virtual(scenario)


class RecheckTest(unittest.TestCase):
    """Conditions are checked again after the queue wait, before sending."""

    def _check_queued_requests(
        self, change: Callable[[Fleet], None], expected: str
    ) -> None:
        async def scenario() -> None:
            fleet = Fleet(searcher_count=1, service=ONE_SLOT)
            outcomes: list[str] = []

            async def collect() -> None:
                outcomes.append(await _run(fleet.dispatchers[0], make_call()))

            async with anyio.create_task_group() as tasks:
                for _ in range(5):
                    tasks.start_soon(collect)
                await anyio.sleep(0.005)
                change(fleet)
            self.assertEqual(len(fleet.searchers[S0].messages), 1)
            self.assertEqual(outcomes.count(expected), 4)
            self.assertEqual(outcomes.count(''), 1)

        run_virtual(scenario)

    def test_leaving_searcher_gets_no_queued_request(self) -> None:
        """Guards against sending new requests to a leaving searcher."""

        def change(fleet: Fleet) -> None:
            fleet.searcher_settings['s0']['state'] = 'leaving'
            fleet.apply()

        self._check_queued_requests(change, 'no_replica')

    def test_data_centre_out_gets_no_queued_request(self) -> None:
        """Guards against sending to a data centre that is `out`."""

        def change(fleet: Fleet) -> None:
            fleet.data_centre_states['dc-0'] = 'out'
            fleet.apply()

        self._check_queued_requests(change, 'no_replica')

    def test_lost_lease_stops_queued_requests(self) -> None:
        """Guards against an isolated VM sending its queued requests."""

        def change(fleet: Fleet) -> None:
            fleet.feeds[0].is_lease_valid = False

        self._check_queued_requests(change, 'not_ready:not_run')

    def test_draining_response_stops_queued_requests(self) -> None:
        """Guards against sending to a searcher that reported `draining`."""

        def change(fleet: Fleet) -> None:
            fleet.searchers[S0].state = 'draining'

        async def scenario() -> None:
            fleet = Fleet(searcher_count=1, service=ONE_SLOT)
            change(fleet)
            async with anyio.create_task_group() as tasks:
                for _ in range(5):
                    tasks.start_soon(_run, fleet.dispatchers[0], make_call())
            self.assertEqual(len(fleet.searchers[S0].messages), 1)

        run_virtual(scenario)

    def test_deadline_that_passed_in_the_queue_stops_the_send(self) -> None:
        """Guards against sending a request after its deadline."""

        async def scenario() -> None:
            fleet = Fleet(searcher_count=1, service=ONE_SLOT)
            fleet.searchers[S0].latency_s = 1
            dispatcher = fleet.dispatchers[0]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_run, dispatcher, make_call(5))
                await anyio.sleep(0.1)
                refused = await _run(dispatcher, make_call(0.9))
            self.assertEqual(refused, 'overloaded:not_run')
            self.assertEqual(len(fleet.searchers[S0].messages), 1)

        run_virtual(scenario)
