"""Callers that send several requests over each connection to a VM."""

import dataclasses
import random
import time
from collections.abc import Sequence

import anyio
import httpx

from jacinthcart_lab.platform_deployment import PlatformDeployment
from jacinthcart_lab.soak._checks import Call

_CALL_TIMEOUT_S = 3.0
_PAUSE_S = 0.05
#: Routes of every version.
MAIN_ROUTES = frozenset(('search', 'order'))


class SoakCallers:
    """Sends requests and records the outcome of each."""

    def __init__(
        self,
        deployment: PlatformDeployment,
        seed: int,
        revoked_keys: Sequence[str],
    ) -> None:
        """Call `deployment` with its current keys and with revoked keys."""
        self.calls: list[Call] = []
        self._deployment = deployment
        self._seed = seed
        self._random = random.Random(seed)
        self._revoked_keys = revoked_keys
        self._requests = 0

    async def run(self) -> None:
        """Send requests as one caller until cancelled."""
        while True:
            async with httpx.AsyncClient(timeout=_CALL_TIMEOUT_S) as client:
                await self._use_connection(client)
            await anyio.sleep(_PAUSE_S)

    async def is_served_by(self, vm: int) -> bool:
        """Return whether a VM answers a search with status 200."""
        async with httpx.AsyncClient(timeout=_CALL_TIMEOUT_S) as client:
            return (await self._call(client, vm, 'search')).status == 200

    async def _use_connection(self, client: httpx.AsyncClient) -> None:
        vm = self._random.randrange(self._deployment.params.vms)
        for _ in range(self._random.randrange(5, 60)):
            changing = self._random.choice(self._list_recent_routes())
            kind = self._random.choice(
                ('search', 'search', 'order', changing, changing)
            )
            call = await self._call(client, vm, kind)
            if not call.status:
                return
            await anyio.sleep(self._random.uniform(0.005, 0.05))

    def _list_recent_routes(self) -> list[str]:
        """Return routes that versions have added or dropped lately."""
        deployment = self._deployment
        recent = [*deployment.former_routes[-2:], *deployment.extra_routes]
        return recent or ['search']

    async def _call(
        self,
        client: httpx.AsyncClient,
        vm: int,
        kind: str,
    ) -> Call:
        self._requests += 1
        request_id = f'{self._seed:08x}{self._requests:08x}'
        keys = list(self._deployment.keys)
        if kind in MAIN_ROUTES:
            keys.extend(self._revoked_keys)
        key = self._random.choice(keys)
        address = self._deployment.addresses[vm]
        sent_at = time.monotonic()
        call = Call(request_id, kind, key, vm, sent_at, sent_at, 0)
        self.calls.append(call)
        index = len(self.calls) - 1
        try:
            response = await client.request(
                'POST' if kind == 'order' else 'GET',
                f'http://{address}:{self._deployment.callers_port}/{kind}/x',
                headers={
                    'Host': 'shop.example',
                    'X-Jacinthcart-Request-Id': request_id,
                    'X-Jacinthcart-Deadline-Ms': '2000',
                    'X-Jacinthcart-Credential': key,
                },
            )
        except httpx.HTTPError:
            # The VM was killed or is paused: the outcome of the request is
            # unknown.
            return call
        stamps = response.headers.get('X-Jacinthcart-Part-Stamps', '')
        call = dataclasses.replace(
            call,
            ended_at=time.monotonic(),
            status=response.status_code,
            stamps=tuple(stamps.split(', ')) if stamps else (),
            missing=int(response.headers.get('X-Jacinthcart-Missing-Parts', 0)),
            body=response.content,
        )
        self.calls[index] = call
        return call
