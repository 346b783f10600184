"""Tests of non-idempotent requests: each id runs at most once."""

import unittest
from collections.abc import Awaitable, Callable

import anyio

from jacinthcart.dispatch import PartCall, PartResult
from jacinthcart.errors import Ran, RefusalCode, RefusalError
from tests.gather.fakes import Fleet, Vm, create_service, run_in_virtual_time


class SubmitTest(unittest.TestCase):
    """Request ids are deduplicated at their home VM."""

    def setUp(self) -> None:
        """Start three gathers; the part is owned by two of them."""
        self.fleet = Fleet(create_service(1, owners=2))
        self.home = self.fleet.find_non_owner('p0')

    def run_body(self, body: Callable[[], Awaitable[None]]) -> None:
        """Run a test in virtual time."""
        run_in_virtual_time(body)

    def create_id(self, vm: Vm) -> str:
        """Return a request id whose home is the VM."""
        return f'{vm.service.create_prefix()["prefix"]}.abc'

    async def check_refused(
        self,
        vm: Vm,
        request_id: str,
        code: RefusalCode,
        ran: Ran,
    ) -> None:
        """Check that a submit is refused with the code and `ran` value."""
        with self.assertRaises(RefusalError) as caught:
            await vm.submit(request_id)
        refusal = caught.exception
        self.assertEqual((refusal.code, refusal.ran), (code, ran))

    def test_duplicate_request_does_not_run(self) -> None:
        """Guards against a duplicate run, also while the first one runs."""

        async def body() -> None:
            request_id = self.create_id(self.home)
            owners = self.fleet.get_owners('p0')
            self.fleet.delay_s_by_vm = dict.fromkeys(owners, 0.2)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.home.submit, request_id)
                await anyio.sleep(0.1)
                for _ in range(2):
                    await self.check_refused(
                        self.home,
                        request_id,
                        RefusalCode.DUPLICATE,
                        Ran.UNKNOWN,
                    )
                    await anyio.sleep(0.2)

        self.run_body(body)
        self.assertEqual(len(self.fleet.list_calls()), 1)

    def test_other_vm_is_not_the_home(self) -> None:
        """Guards against a second run through another VM."""

        async def body() -> None:
            request_id = self.create_id(self.home)
            for vm in self.fleet.vms_by_id.values():
                if vm is not self.home:
                    await self.check_refused(
                        vm,
                        request_id,
                        RefusalCode.INVALID_REQUEST,
                        Ran.NOT_RUN,
                    )

        self.run_body(body)
        self.assertEqual(self.fleet.list_calls(), [])

    def test_restarted_home_refuses_ids_of_its_previous_run(self) -> None:
        """Guards against a second run after a restart lost the known ids."""

        async def body() -> None:
            request_id = self.create_id(self.home)
            await self.home.submit(request_id)
            self.home.restart()
            await self.check_refused(
                self.home,
                request_id,
                RefusalCode.EXPIRED_REQUEST_ID,
                Ran.UNKNOWN,
            )

        self.run_body(body)
        self.assertEqual(len(self.fleet.list_calls()), 1)

    def test_expired_id_is_refused_when_the_time_to_live_grows(self) -> None:
        """Guards against a second run of an id that has expired."""

        async def body() -> None:
            request_id = self.create_id(self.home)
            await self.home.submit(request_id)
            await anyio.sleep(601)
            await self.home.submit(self.create_id(self.home))
            self.assertEqual(
                self.home.service.create_report()['request_ids'],
                1,
            )
            self.fleet.apply('fleet/policy', {'request_id_ttl_s': 6000})
            await self.check_refused(
                self.home,
                request_id,
                RefusalCode.EXPIRED_REQUEST_ID,
                Ran.UNKNOWN,
            )

        self.run_body(body)

    def test_submit_with_lost_reply_is_not_retried(self) -> None:
        """Guards against a retry on a second owner after a lost reply."""

        async def body() -> None:
            self.fleet.breaking.update(self.fleet.get_owners('p0'))
            request_id = self.create_id(self.home)
            for code in (RefusalCode.BACKEND_FAILED, RefusalCode.DUPLICATE):
                await self.check_refused(
                    self.home,
                    request_id,
                    code,
                    Ran.UNKNOWN,
                )

        self.run_body(body)
        self.assertEqual(len(self.fleet.list_calls()), 1)

    def test_request_that_did_not_run_may_be_retried(self) -> None:
        """Guards against blocking an id after a `not_run` refusal."""

        async def refuse_first(call: PartCall) -> PartResult:
            for vm in self.fleet.vms_by_id.values():
                vm.dispatcher.runner = None
            raise RefusalError(RefusalCode.OVERLOADED, retry_after_ms=40)

        for vm in self.fleet.vms_by_id.values():
            vm.dispatcher.runner = refuse_first

        async def body() -> None:
            request_id = self.create_id(self.home)
            with self.assertRaises(RefusalError) as caught:
                await self.home.submit(request_id)
            self.assertEqual(caught.exception.ran, Ran.NOT_RUN)
            self.assertEqual(caught.exception.retry_after_ms, 40)
            answer = await self.home.submit(request_id)
            self.assertEqual(answer['coverage']['shards_answered'], 2)

        self.run_body(body)

    def test_unreachable_owner_is_replaced_before_sending(self) -> None:
        """Guards against a refusal while another owner is reachable."""

        async def body() -> None:
            self.fleet.unreachable.add(min(self.fleet.get_owners('p0')))
            await self.home.submit(self.create_id(self.home))

        self.run_body(body)
        self.assertEqual(len(self.fleet.list_calls()), 1)
