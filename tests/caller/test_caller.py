"""Tests of retries, failover, deadlines and the address cache."""

import unittest
from typing import Any

import anyio
import httpx
from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthcart.caller import (
    Caller,
    CallerError,
    DeadlineError,
    InvalidAnswerError,
    OutcomeLostError,
    RefusedError,
    UnreachableError,
)
from jacinthcart.errors import Ran, RefusalCode
from tests.caller._fakes import (
    ADDRESS_LIFETIME_S,
    OTHER,
    ROUTE,
    SEED,
    THIRD,
    FakeFleet,
    answer,
    failing,
    refusing,
    run_virtual,
)

LOST = failing(httpx.ReadError('reset'))
NOT_CONNECTED = failing(httpx.ConnectError('refused'))
NOT_RUN_REPLIES = (
    NOT_CONNECTED,
    failing(httpx.ConnectTimeout('connect')),
    refusing(RefusalCode.LEAVING),
    refusing(RefusalCode.NOT_READY),
    refusing(RefusalCode.OVERLOADED),
)
UNKNOWN_REPLIES = (
    LOST,
    failing(httpx.RemoteProtocolError('closed')),
    refusing(RefusalCode.BACKEND_FAILED, Ran.UNKNOWN),
    refusing(RefusalCode.INTERNAL, Ran.UNKNOWN),
)


async def never(request: dict[str, Any]) -> httpx.Response:
    """Never answer."""
    await anyio.sleep_forever()


class FailoverTest(unittest.TestCase):
    """A request fails over to another VM only if that is safe."""

    def test_not_run_fails_over_for_every_kind(self) -> None:
        """Guards against a request that fails because one VM does."""
        for reply in NOT_RUN_REPLIES:

            async def test(fleet: FakeFleet, caller: Caller) -> None:
                fleet.reply_by_host = {SEED.address: reply}
                await caller.search(ROUTE, {}, 500)
                fleet.listed_addresses = [SEED, OTHER]
                await anyio.sleep(ADDRESS_LIFETIME_S)
                await caller.submit(ROUTE, {}, 500)
                ids = [request['request_id'] for request in fleet.requests]
                self.assertEqual(
                    fleet.hosts,
                    [SEED.address, OTHER.address, SEED.address, OTHER.address],
                )
                self.assertEqual(ids[0], ids[1])
                self.assertEqual(ids[2], ids[3])

            run_virtual(test)

    def test_unknown_fails_over_for_idempotent_requests_only(self) -> None:
        """Guards against a submit that runs on two VMs."""
        for reply in UNKNOWN_REPLIES:

            async def test(fleet: FakeFleet, caller: Caller) -> None:
                fleet.reply_by_host = {SEED.address: reply}
                await caller.lookup(ROUTE, {}, 500)
                self.assertEqual(len(fleet.hosts), 2)
                await anyio.sleep(ADDRESS_LIFETIME_S)
                with self.assertRaises(CallerError) as caught:
                    await caller.submit(ROUTE, {}, 500)
                self.assertEqual(len(fleet.hosts), 3)
                self.assertIs(caught.exception.ran, Ran.UNKNOWN)
                self.assertEqual(
                    caught.exception.request_id,
                    fleet.requests[-1]['request_id'],
                )

            run_virtual(test)

    def test_final_refusals_are_not_retried(self) -> None:
        """Guards against retries of requests that cannot succeed."""
        for code in (RefusalCode.KEY_INVALID, RefusalCode.DUPLICATE):

            async def test(fleet: FakeFleet, caller: Caller) -> None:
                fleet.reply_by_host = {SEED.address: refusing(code)}
                with self.assertRaises(RefusedError) as caught:
                    await caller.search(ROUTE, {}, 500)
                self.assertIs(caught.exception.code, code)
                self.assertEqual(len(fleet.hosts), 1)

            run_virtual(test)

    def test_submit_without_prefix_is_not_sent(self) -> None:
        """Guards against a submit whose id no gather records."""

        async def test(fleet: FakeFleet, caller: Caller) -> None:
            fleet.prefix = None
            with self.assertRaises(UnreachableError) as caught:
                await caller.submit(ROUTE, {}, 500)
            self.assertIs(caught.exception.ran, Ran.NOT_RUN)
            self.assertEqual(fleet.hosts, [])

        run_virtual(test)

    def test_retry_of_a_submit_keeps_its_id(self) -> None:
        """Guards against reporting `not_run` after an unknown attempt."""

        async def test(fleet: FakeFleet, caller: Caller) -> None:
            fleet.reply_by_host = {SEED.address: LOST}
            with self.assertRaises(OutcomeLostError) as caught:
                await caller.submit(ROUTE, {}, 500)
            first_id = caught.exception.request_id
            fleet.reply_by_host = {
                SEED.address: NOT_CONNECTED,
                OTHER.address: NOT_CONNECTED,
            }
            with self.assertRaises(UnreachableError) as again:
                await caller.submit(ROUTE, {}, 500, first_id)
            self.assertIs(again.exception.ran, Ran.UNKNOWN)
            ids = {request['request_id'] for request in fleet.requests}
            self.assertEqual(ids, {first_id})

        run_virtual(test)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(
            st.sampled_from((*NOT_RUN_REPLIES, *UNKNOWN_REPLIES, answer)),
            min_size=2,
            max_size=2,
        ),
    )
    def test_submit_has_one_id_and_at_most_one_unknown(
        self,
        replies: list[Any],
    ) -> None:
        """Guards against any order of failures running a submit twice."""

        async def test(fleet: FakeFleet, caller: Caller) -> None:
            fleet.reply_by_host = {
                SEED.address: replies[0],
                OTHER.address: replies[1],
            }
            try:
                await caller.submit(ROUTE, {}, 500)
            except CallerError as error:
                may_have_run = replies[len(fleet.hosts) - 1] in UNKNOWN_REPLIES
                self.assertEqual(error.ran is Ran.UNKNOWN, may_have_run)
            ids = {request['request_id'] for request in fleet.requests}
            self.assertEqual(len(ids), 1)
            used = replies[: len(fleet.hosts)]
            for reply in used[:-1]:
                self.assertIn(reply, NOT_RUN_REPLIES)

        run_virtual(test)


class DeadlineTest(unittest.TestCase):
    """All attempts together observe the deadline and retry-after waits."""

    def test_request_without_answer_ends_at_the_deadline(self) -> None:
        """Guards against each attempt having the whole deadline again."""

        async def test(fleet: FakeFleet, caller: Caller) -> None:
            fleet.reply_by_host = {SEED.address: never, OTHER.address: never}
            with self.assertRaises(OutcomeLostError):
                await caller.search(ROUTE, {}, 500)
            self.assertLess(anyio.current_time(), 0.7)
            self.assertEqual(fleet.hosts, [SEED.address])

        run_virtual(test)

    def test_retry_after_wait_is_observed(self) -> None:
        """Guards against retries while the workspace is over its rate."""

        async def test(fleet: FakeFleet, caller: Caller) -> None:
            over_rate = refusing(RefusalCode.OVER_RATE, retry_after_ms=200)
            fleet.reply_by_host = {
                SEED.address: over_rate,
                OTHER.address: over_rate,
            }
            with self.assertRaises(RefusedError):
                await caller.search(ROUTE, {}, 500)
            self.assertEqual(len(fleet.hosts), 3)
            self.assertAlmostEqual(anyio.current_time(), 0.4, delta=0.01)
            deadlines = [request['deadline_ms'] for request in fleet.requests]
            for seen, wanted in zip(deadlines, (500, 300, 100), strict=True):
                self.assertAlmostEqual(seen, wanted, delta=1)

        run_virtual(test)

    def test_no_address_ends_at_the_deadline(self) -> None:
        """Guards against a hang when no VM lists addresses."""

        async def test(fleet: FakeFleet, caller: Caller) -> None:
            async def hang(request: httpx.Request) -> httpx.Response:
                await anyio.sleep_forever()

            fleet.handle_async_request = hang
            with self.assertRaises(DeadlineError) as caught:
                await caller.search(ROUTE, {}, 500)
            self.assertIs(caught.exception.ran, Ran.NOT_RUN)
            self.assertAlmostEqual(anyio.current_time(), 0.5, delta=0.01)

        run_virtual(test)

    def test_refusal_with_an_invalid_status_is_not_believed(self) -> None:
        """Guards against a second run after a malformed refusal."""

        async def test(fleet: FakeFleet, caller: Caller) -> None:
            for status in (201, 302, 600, 999):
                refusal = refusing(RefusalCode.NOT_READY, status=status)
                fleet.reply_by_host = {
                    SEED.address: refusal,
                    OTHER.address: refusal,
                }
                with self.assertRaises(InvalidAnswerError) as caught:
                    await caller.submit(ROUTE, {}, 1000)
                self.assertIs(caught.exception.ran, Ran.UNKNOWN)

        run_virtual(test)

    def test_answer_to_another_request_is_not_returned(self) -> None:
        """Guards against returning the answer to another request."""

        async def answer_another(request: dict[str, Any]) -> httpx.Response:
            return await answer({**request, 'request_id': 'another'})

        async def test(fleet: FakeFleet, caller: Caller) -> None:
            fleet.reply_by_host = {
                SEED.address: answer_another,
                OTHER.address: answer_another,
            }
            with self.assertRaises(InvalidAnswerError) as caught:
                await caller.search(ROUTE, {}, 500)
            self.assertIs(caught.exception.ran, Ran.UNKNOWN)

        run_virtual(test)


class AddressCacheTest(unittest.TestCase):
    """Addresses are cached for at most their lifetime."""

    def test_addresses_are_dropped_after_their_lifetime(self) -> None:
        """Guards against using addresses of VMs that were removed."""

        async def test(fleet: FakeFleet, caller: Caller) -> None:
            fleet.listed_addresses = [OTHER]
            await caller.search(ROUTE, {}, 500)
            fleet.is_listing = False
            await anyio.sleep(ADDRESS_LIFETIME_S * 0.9)
            await caller.search(ROUTE, {}, 500)
            await anyio.sleep(ADDRESS_LIFETIME_S * 0.1)
            with self.assertRaises(UnreachableError):
                await caller.search(ROUTE, {}, 500)
            with self.assertRaises(UnreachableError):
                await caller.submit(ROUTE, {}, 500)
            self.assertEqual(fleet.hosts, [OTHER.address, OTHER.address])
            fleet.is_listing = True
            fleet.listed_addresses = [THIRD]
            await caller.search(ROUTE, {}, 500)
            self.assertEqual(fleet.hosts[-1], THIRD.address)

        run_virtual(test)

    def test_addresses_are_not_fetched_for_each_request(self) -> None:
        """Guards against an address request for each query."""

        async def test(fleet: FakeFleet, caller: Caller) -> None:
            for _ in range(5):
                await caller.search(ROUTE, {}, 500)
            self.assertEqual(fleet.list_requests, 1)

        run_virtual(test)
