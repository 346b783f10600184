"""End-to-end tests of the request path in one process, over real sockets.

Tests wait only until a state is reached; no result depends on timing.
"""

import collections
import functools
import random
import unittest
from collections.abc import Awaitable, Callable

import anyio
import httpx

from jacinthcart.node import run_node
from jacinthcart.platform.assembly import create_node
from jacinthcart.platform.settings_file import decode_settings
from jacinthcart.serving import merge_records
from jacinthcart_emulator.malformed import MALFORMATIONS_BY_NAME, Malformation
from jacinthcart_emulator.platform_searcher import create_part
from jacinthcart_emulator.platform_store import StoreFault
from jacinthcart_lab.platform_deployment import (
    DeploymentParameters,
    PlatformDeployment,
)

_READY_S = 20
_HOST = {'Host': 'shop.example'}


class NodeFixture:
    """A deployment with its nodes and a caller."""

    def __init__(self, params: DeploymentParameters) -> None:
        """Create a deployment; `run` starts it."""
        self.deployment = PlatformDeployment(params, random.Random(5))
        self.client = httpx.AsyncClient(timeout=5)
        self._requests = 0

    async def run(
        self, scenario: Callable[['NodeFixture'], Awaitable[None]]
    ) -> None:
        """Start the deployment, run the scenario and stop."""
        async with anyio.create_task_group() as tasks:
            await self.deployment.start(tasks)
            for number in range(self.deployment.params.vms):
                settings = decode_settings(
                    self.deployment.create_settings(number),
                )
                node, servers = create_node(settings)
                tasks.start_soon(
                    functools.partial(
                        run_node, node, servers, handle_signals=False
                    ),
                )
            await self._wait_until_ready()
            await scenario(self)
            await self.client.aclose()
            await self.deployment.close()
            tasks.cancel_scope.cancel()

    async def send(
        self,
        path: str,
        *,
        vm: int = 0,
        key: str = 'key-1',
        method: str = 'GET',
        body: bytes = b'',
    ) -> tuple[str, httpx.Response]:
        """Send one request and return its id and the response."""
        self._requests += 1
        request_id = f'{self._requests:016x}'
        address = self.deployment.addresses[vm]
        response = await self.client.request(
            method,
            f'http://{address}:{self.deployment.callers_port}{path}',
            content=body,
            headers={
                **_HOST,
                'X-Jacinthcart-Request-Id': request_id,
                'X-Jacinthcart-Deadline-Ms': '2000',
                'X-Jacinthcart-Credential': key,
            },
        )
        return request_id, response

    async def _wait_until_ready(self) -> None:
        with anyio.fail_after(_READY_S):
            for vm in range(self.deployment.params.vms):
                status = 0
                while status != 200:
                    await anyio.sleep(0.05)
                    status = await self._request_status(vm)

    async def _request_status(self, vm: int) -> int:
        try:
            _, response = await self.send('/search/x', vm=vm)
        except httpx.HTTPError:
            return 0
        return response.status_code


def _run_scenario(
    scenario: Callable[[NodeFixture], Awaitable[None]],
    params: DeploymentParameters | None = None,
) -> None:
    fixture = NodeFixture(params or DeploymentParameters())
    anyio.run(fixture.run, scenario)


def _malform(
    deployment: PlatformDeployment, malformation: Malformation
) -> None:
    """Make every searcher malform all its answers."""
    for searcher in deployment.searchers_by_id.values():
        searcher.faults.malform_fraction = 1
        searcher.faults.malformations = (malformation,)


class EndToEndTests(unittest.TestCase):
    """Callers receive complete and correct answers to their requests."""

    def test_answer_holds_the_greatest_records_of_all_shards(self) -> None:
        """A merged answer must equal the merge of the shards' answers."""

        async def scenario(fixture: NodeFixture) -> None:
            request_id, response = await fixture.send('/search/q?x=1')
            shards = fixture.deployment.list_services()[:-1]
            parts = [create_part(one, request_id, 6) for one in shards]
            self.assertEqual(response.content, merge_records(parts, 5))
            self.assertEqual(
                response.headers['X-Jacinthcart-Missing-Parts'],
                '0',
            )

        _run_scenario(scenario)

    def test_extra_answers_never_reach_another_request(self) -> None:
        """Guards against a second answer on a keep-alive connection."""

        async def scenario(fixture: NodeFixture) -> None:
            for searcher in fixture.deployment.searchers_by_id.values():
                searcher.faults.duplicate_fraction = 0.5
            for _ in range(60):
                request_id, response = await fixture.send('/search/q')
                if response.status_code != 200:
                    continue
                stamps = response.headers['X-Jacinthcart-Part-Stamps']
                for stamp in stamps.split(', '):
                    self.assertTrue(stamp.endswith(request_id), stamp)

        _run_scenario(scenario, DeploymentParameters(vms=1))

    def test_non_idempotent_request_never_runs_twice(self) -> None:
        """After a lost answer the outcome is unknown, so it is not resent."""

        async def scenario(fixture: NodeFixture) -> None:
            for searcher in fixture.deployment.searchers_by_id.values():
                searcher.faults.reset_fraction = 0.5
                searcher.faults.shed_fraction = 0.3
            statuses = {}
            for _ in range(60):
                request_id, response = await fixture.send(
                    '/order/o',
                    method='POST',
                    body=b'wrap',
                )
                statuses[request_id] = response.status_code
            runs = [
                one.request_id
                for one in fixture.deployment.executions
                if one.service == 'orders'
            ]
            self.assertEqual(len(runs), len(set(runs)))
            refused = {key for key, one in statuses.items() if one == 503}
            self.assertFalse(refused & set(runs))

        _run_scenario(scenario, DeploymentParameters(vms=1))

    def test_malformed_answers_do_not_reach_callers(self) -> None:
        """Guards against callers that get what a searcher in trouble sends.

        The request may have run, so the caller is told so, and a
        non-idempotent one is not sent again.
        """

        async def scenario(fixture: NodeFixture) -> None:
            deployment = fixture.deployment
            sent_by_path: dict[str, list[str]] = {
                '/order/o': [],
                '/search/q': [],
            }
            for name, malformation in MALFORMATIONS_BY_NAME.items():
                _malform(deployment, malformation)
                for path, sent in sent_by_path.items():
                    request_id, response = await fixture.send(
                        path, method='POST' if path == '/order/o' else 'GET'
                    )
                    self.assertEqual(response.status_code, 502, name)
                    sent.append(request_id)
            runs = collections.Counter(
                one.request_id
                for one in deployment.executions
                if one.service == 'orders'
            )
            orders = sent_by_path['/order/o']
            self.assertEqual(runs, collections.Counter(orders))

        _run_scenario(scenario, DeploymentParameters(vms=1))

    def test_unsigned_success_does_not_reach_callers(self) -> None:
        """Guards against a success that no searcher vouches for."""

        async def scenario(fixture: NodeFixture) -> None:
            for searcher in fixture.deployment.searchers_by_id.values():
                searcher.faults.unsigned_fraction = 1
            _, response = await fixture.send('/order/o', method='POST')
            self.assertEqual(response.status_code, 502)
            runs = [
                one
                for one in fixture.deployment.executions
                if one.service == 'orders'
            ]
            self.assertEqual(len(runs), 1)

        _run_scenario(scenario, DeploymentParameters(vms=1))

    def test_failure_does_not_promise_that_the_request_has_not_run(
        self,
    ) -> None:
        """Guards against a second run of a request by its caller.

        Statuses that promise callers that a request has not run were passed
        on from searchers that did not state so.
        """

        async def scenario(fixture: NodeFixture) -> None:
            deployment = fixture.deployment
            for status in (408, 429, 503):
                for searcher in deployment.searchers_by_id.values():
                    searcher.faults.failure_fraction = 1
                    searcher.faults.failure_status = status
                _, response = await fixture.send('/order/o', method='POST')
                self.assertEqual(response.status_code, 502, status)
                self.assertNotIn('X-Jacinthcart-Server-Stamp', response.headers)
            runs = [
                one for one in deployment.executions if one.service == 'orders'
            ]
            self.assertEqual(len(runs), 3)

        _run_scenario(scenario, DeploymentParameters(vms=1))

    def test_idempotent_request_is_sent_again_after_malformed_answer(
        self,
    ) -> None:
        """A searcher in trouble must not end requests that may be repeated."""

        async def scenario(fixture: NodeFixture) -> None:
            for service in fixture.deployment.list_services():
                broken = fixture.deployment.searchers_by_id[f'{service}-0']
                broken.faults.malform_fraction = 1
            for _ in range(20):
                _, response = await fixture.send('/search/q')
                self.assertEqual(response.status_code, 200)
                missing = response.headers['X-Jacinthcart-Missing-Parts']
                self.assertEqual(missing, '0')

        _run_scenario(scenario, DeploymentParameters(vms=1))

    def test_head_request_gets_the_head_alone(self) -> None:
        """Guards against waiting until the deadline for a body.

        The caller learns the length that the searcher states and uses its
        connection for further requests.
        """

        async def scenario(fixture: NodeFixture) -> None:
            length = str(len(create_part('orders', '', 6)))
            for method in ('HEAD', 'POST', 'HEAD', 'HEAD', 'POST'):
                _, response = await fixture.send('/order/o', method=method)
                self.assertEqual(response.status_code, 200)
                self.assertEqual(response.headers['Content-Length'], length)
                self.assertEqual(bool(response.content), method != 'HEAD')
            _, merged = await fixture.send('/search/q', method='HEAD')
            self.assertEqual(merged.status_code, 200)
            self.assertEqual(merged.headers['X-Jacinthcart-Missing-Parts'], '0')

        _run_scenario(scenario, DeploymentParameters(vms=1))

    def test_searchers_see_the_workspace_and_not_the_key(self) -> None:
        """The API key must not leave the VM."""

        async def scenario(fixture: NodeFixture) -> None:
            await fixture.send('/search/q')
            workspaces = {
                one.workspace for one in fixture.deployment.executions
            }
            self.assertEqual(workspaces, {'mill'})

        _run_scenario(scenario, DeploymentParameters(vms=1))

    def test_unknown_key_and_route_are_denied(self) -> None:
        """A denial needs a recent proof and has a final status."""

        async def scenario(fixture: NodeFixture) -> None:
            _, denied = await fixture.send('/search/q', key='other')
            self.assertEqual(denied.status_code, 401)
            _, unknown = await fixture.send('/nothing/q')
            self.assertEqual(unknown.status_code, 404)

        _run_scenario(scenario, DeploymentParameters(vms=1))

    def test_revoked_key_stops_on_every_vm(self) -> None:
        """Guards against keys that stay valid on VMs not reading the store."""

        async def scenario(fixture: NodeFixture) -> None:
            fixture.deployment.keys = ['key-2']
            fixture.deployment.publish_config()
            for vm in range(fixture.deployment.params.vms):
                status = 200
                while status == 200:
                    _, response = await fixture.send('/search/q', vm=vm)
                    status = response.status_code
                    await anyio.sleep(0.02)
                self.assertEqual(status, 401)

        _run_scenario(scenario, DeploymentParameters(vms=4))

    def test_silent_store_stops_keyed_requests(self) -> None:
        """Guards against accepting revoked keys without a recent proof."""

        async def scenario(fixture: NodeFixture) -> None:
            fixture.deployment.store.fault = StoreFault.SILENT
            status = 200
            while status == 200:
                _, response = await fixture.send('/search/q')
                status = response.status_code
                await anyio.sleep(0.05)
            self.assertEqual(status, 503)
            self.assertIn('Retry-After', response.headers)

        _run_scenario(scenario, DeploymentParameters(vms=1))

    def test_draining_searcher_gets_no_more_requests(self) -> None:
        """All VMs stop sending requests to a draining searcher."""

        async def scenario(fixture: NodeFixture) -> None:
            draining = 'shard0-0'
            fixture.deployment.publish_searcher(draining, 'draining')
            await anyio.sleep(2)
            fixture.deployment.executions.clear()
            for vm in range(2):
                for _ in range(10):
                    await fixture.send('/search/q', vm=vm)
            used = {one.searcher_id for one in fixture.deployment.executions}
            self.assertNotIn(draining, used)

        _run_scenario(scenario, DeploymentParameters(vms=2))
