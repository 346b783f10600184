"""Tests for the control program over real loopback sockets."""

import hashlib
import socket
import unittest

import anyio
import httpx
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from jacinthcart.control import run_control
from jacinthcart.launch import StopSignal
from jacinthcart.settings import Endpoint, ProcessSettings
from jacinthcart.wire import serve_application
from tests.control._fleet import create_roster

ADMIN_KEY = 'operator'
HEADERS = {'authorization': f'Bearer {ADMIN_KEY}'}
VALUES = {
    'fleet/roster': {'revision': 1, 'value': create_roster(1)},
    'fleet/policy': {'revision': 2, 'value': {'serving_lease_ms': 200}},
    'broken': 7,
}


def _find_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind(('127.0.0.1', 0))
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


async def _watch(request):
    after = int(request.query_params['after'])
    if after >= 2:
        await anyio.sleep(float(request.query_params['wait_s']))
        return JSONResponse({'revision': 2, 'values': {}})
    return JSONResponse({'revision': 2, 'values': VALUES})


async def _list_vms(request):
    return JSONResponse({'vms': {'vm000': {'state': 'live'}}})


async def _poll_until(client, url, is_done):
    while True:
        try:
            state = (await client.get(url)).json()
        except httpx.TransportError:
            state = {}
        if state and is_done(state):
            return state
        await anyio.sleep(0.02)


class ProgramTest(unittest.TestCase):
    """The program serves local processes and operators, then stops."""

    def test_state_feed_administration_and_graceful_shutdown(self) -> None:
        """Guards against components that are not wired together."""
        anyio.run(self._run)

    async def _run(self):
        service, control, admin = _find_ports(3)
        process = _create_process(service, control, admin)
        stop = StopSignal()
        ended = anyio.Event()
        application = Starlette(
            routes=[Route('/v1/watch', _watch), Route('/v1/vms', _list_vms)],
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                serve_application,
                application,
                '127.0.0.1',
                service,
                ended,
                0.1,
            )
            tasks.start_soon(self._run_control, process, stop, ended)
            with anyio.fail_after(20):
                await self._check(control, admin)
                stop.event.set()
                await ended.wait()

    async def _run_control(self, process, stop, ended):
        await run_control(process, stop)
        ended.set()

    async def _check(self, control, admin):
        state_url = f'http://127.0.0.1:{control}/v1/state?program=entry&ready=1'
        admin_url = f'http://127.0.0.1:{admin}/admin/v1'
        async with httpx.AsyncClient() as client:
            state = await _poll_until(
                client,
                state_url,
                lambda polled: polled['lease_ms'] and polled['live_vms'],
            )
            self.assertEqual(state['revision'], 2)
            self.assertEqual(
                set(state['values']),
                {'fleet/roster', 'fleet/policy'},
            )
            refused = await client.get(f'{admin_url}/status')
            self.assertEqual(refused.status_code, 401)
            status = await client.get(f'{admin_url}/status', headers=HEADERS)
            self.assertEqual(status.json()['revision'], 2)
            merged = await client.get(
                f'{admin_url}/histograms',
                headers=HEADERS,
            )
            self.assertEqual(merged.json()['programs'], ['control'])


def _create_process(service, control, admin):
    return ProcessSettings(
        vm_id='vm000',
        data_centre='a',
        address='127.0.0.1',
        entry_port=1,
        gather_port=1,
        control_port=control,
        admin_port=admin,
        admin_key_sha256=hashlib.sha256(ADMIN_KEY.encode()).hexdigest(),
        config_service=Endpoint(address='127.0.0.1', port=service),
    )
