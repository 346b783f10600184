"""Tests of how the entry reports gather's results to callers."""

import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from jacinthcart.errors import (
    NotSentError,
    OutcomeUnknownError,
    Ran,
    RefusalCode,
)
from jacinthcart.wire import HttpResponse
from tests.entry._harness import (
    PREFIX,
    SEARCH,
    SUBMIT,
    WORKSPACE,
    Harness,
    complete_answer,
    respond,
    run_virtual,
)

GatherAnswer = Callable[[dict[str, Any]], Awaitable[HttpResponse]]


def always(response: HttpResponse) -> GatherAnswer:
    """Return a gather function that always gives the same response."""

    async def answer(query: dict[str, Any]) -> HttpResponse:
        return response

    return answer


def failing(error: Exception) -> GatherAnswer:
    """Return a gather function that raises `error`."""

    async def answer(query: dict[str, Any]) -> HttpResponse:
        raise error

    return answer


async def never(query: dict[str, Any]) -> HttpResponse:
    """Never answer."""
    await anyio.sleep_forever()


class RunStateTest(unittest.TestCase):
    """Refusals report `not_run` only if the request did not run."""

    def check(
        self,
        answer: GatherAnswer,
        code: RefusalCode,
        ran: Ran,
    ) -> None:
        """Check the refusals of a search and a submit."""

        async def test(harness: Harness) -> None:
            harness.gather.answer = answer
            for path in (SEARCH, SUBMIT):
                response = await harness.send_query(path)
                refusal = response.json()['refusal']
                self.assertEqual(
                    (refusal['code'], refusal['ran']),
                    (code, ran),
                )
                self.assertEqual(response.json()['workspace'], WORKSPACE)
                sent_id = harness.gather.queries[-1]['request_id']
                self.assertEqual(response.json()['request_id'], sent_id)
            self.assertEqual(len(harness.gather.queries), 2)

        run_virtual(test)

    def test_gather_that_refuses_the_connection(self) -> None:
        """Guards against reporting `unknown` for a request not sent.

        Callers would not retry a submit that may have run.
        """
        self.check(
            failing(NotSentError('connect')),
            RefusalCode.NOT_READY,
            Ran.NOT_RUN,
        )

    def test_gather_that_fails_after_the_request_was_sent(self) -> None:
        """Guards against repeating a request that may have run."""
        self.check(
            failing(OutcomeUnknownError('lost')),
            RefusalCode.BACKEND_FAILED,
            Ran.UNKNOWN,
        )

    def test_gather_that_does_not_answer_in_time(self) -> None:
        """Guards against reporting a timed-out request as not run."""
        self.check(never, RefusalCode.DEADLINE_PASSED, Ran.UNKNOWN)

    def test_gather_whose_answer_is_malformed(self) -> None:
        """Guards against reporting a malformed answer as not run."""
        responses = (
            HttpResponse(200, {}, b'{'),
            respond(200, []),
            respond(409, {'refusal': {'code': 'no_such', 'ran': 'not_run'}}),
            respond(409, {'refusal': None}),
            respond(502, {'refusal': {'code': 'shed', 'ran': 'not_run'}}),
        )
        for response in responses:
            with self.subTest(response=response):
                self.check(
                    always(response),
                    RefusalCode.INTERNAL,
                    Ran.UNKNOWN,
                )

    def test_gathers_own_refusal_is_passed_on(self) -> None:
        """Guards against the entry altering gather's refusal."""
        for ran in Ran:
            refusal = {'code': 'overloaded', 'ran': ran, 'detail': ''}
            self.check(
                always(respond(409, {'refusal': refusal})),
                RefusalCode.OVERLOADED,
                ran,
            )

    def test_retry_after_reaches_the_caller(self) -> None:
        """Guards against callers retrying too early during overload."""
        refusal = {
            'code': 'overloaded',
            'ran': 'not_run',
            'detail': '',
            'retry_after_ms': 1200,
        }

        async def test(harness: Harness) -> None:
            harness.gather.answer = always(respond(409, {'refusal': refusal}))
            response = await harness.send_query()
            retry_after_ms = response.json()['refusal']['retry_after_ms']
            self.assertEqual(retry_after_ms, 1200)
            self.assertEqual(response.headers['retry-after'], '2')

        run_virtual(test)


class AnswerTest(unittest.TestCase):
    """Answers match their request and report their actual coverage."""

    def test_answer_to_another_request_is_not_passed_on(self) -> None:
        """Guards against returning the answer to another request."""

        async def test(harness: Harness) -> None:
            harness.gather.answer = always(
                respond(200, complete_answer('another')),
            )
            self.assertEqual(
                await harness.get_refusal(request_id='mine'),
                (RefusalCode.INTERNAL, Ran.UNKNOWN),
            )
            counts = harness.components.metrics.counts_by_key
            key = ('invariant_violation', 'answer_matches_request')
            self.assertEqual(counts[key], 1)

        run_virtual(test)

    def test_answer_without_request_id_is_not_passed_on(self) -> None:
        """Guards against answers that cannot be matched to a request."""

        async def test(harness: Harness) -> None:
            answer = complete_answer('mine')
            answer.pop('request_id')
            harness.gather.answer = always(respond(200, answer))
            self.assertEqual(
                await harness.get_refusal(request_id='mine'),
                (RefusalCode.INTERNAL, Ran.UNKNOWN),
            )

        run_virtual(test)

    def test_complete_is_computed_from_the_counts(self) -> None:
        """Guards against a partial answer marked as complete."""

        async def test(harness: Harness) -> None:
            answer = complete_answer('mine')
            answer['coverage'] = {
                'shards_asked': 3,
                'shards_answered': 2,
                'missing': [{'shard': 2, 'reason': 'timeout'}],
                'complete': True,
            }
            harness.gather.answer = always(respond(200, answer))
            response = await harness.send_query(request_id='mine')
            self.assertIs(response.json()['coverage']['complete'], False)
            answer['coverage'].update(shards_answered=3, missing=[])
            harness.gather.answer = always(respond(200, answer))
            response = await harness.send_query(request_id='mine')
            self.assertIs(response.json()['coverage']['complete'], True)

        run_virtual(test)


class HomeTest(unittest.TestCase):
    """Non-idempotent requests go to the home VM of their id."""

    def test_request_goes_to_the_home_of_its_id(self) -> None:
        """Guards against a retry that runs again on another VM."""

        async def test(harness: Harness) -> None:
            await harness.send_query(SUBMIT, request_id='vm3.inc9.5.abc')
            address, target, _, _ = harness.gather.calls[-1]
            self.assertEqual(address, '127.0.0.3')
            self.assertEqual(target, '/v1/queries')
            self.assertEqual(harness.gather.queries[-1]['home_vm'], 'vm3')

        run_virtual(test)

    def test_request_without_id_gets_an_id_of_the_local_gather(self) -> None:
        """Guards against ids that no gather records."""

        async def test(harness: Harness) -> None:
            ids = set()
            for _ in range(2):
                response = await harness.send_query(SUBMIT)
                ids.add(response.json()['request_id'])
            self.assertEqual(len(ids), 2)
            for request_id in ids:
                self.assertEqual(request_id.rpartition('.')[0], PREFIX)
            self.assertEqual(harness.gather.calls[-1][0], '127.0.0.1')

        run_virtual(test)

    def test_no_id_without_gather(self) -> None:
        """Guards against an id generated without gather's prefix."""

        async def test(harness: Harness) -> None:
            harness.gather.prefix = None
            self.assertEqual(
                await harness.get_refusal(SUBMIT),
                (RefusalCode.NOT_READY, Ran.NOT_RUN),
            )
            self.assertEqual(harness.gather.queries, [])

        run_virtual(test)

    def test_home_outside_the_roster_may_have_run_the_request(self) -> None:
        """Guards against `not_run` for an id whose record is lost."""

        async def test(harness: Harness) -> None:
            self.assertEqual(
                await harness.get_refusal(SUBMIT, request_id='vm9.inc.1.1'),
                (RefusalCode.EXPIRED_REQUEST_ID, Ran.UNKNOWN),
            )
            self.assertEqual(harness.gather.queries, [])

        run_virtual(test)

    def test_home_in_a_data_centre_that_is_out_gets_no_request(self) -> None:
        """Guards against new requests in a data centre that is out."""

        async def test(harness: Harness) -> None:
            harness.feed.put(
                {'fleet/data_centres': {'state_by_name': {'dc2': 'out'}}},
            )
            self.assertEqual(
                await harness.get_refusal(SUBMIT, request_id='vm3.inc.1.1'),
                (RefusalCode.LEAVING, Ran.NOT_RUN),
            )
            self.assertEqual(harness.gather.queries, [])

        run_virtual(test)
