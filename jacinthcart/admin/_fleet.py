"""Client of the administration API of all VMs."""

import dataclasses
from collections.abc import Mapping
from typing import Any

import anyio
import httpx

from jacinthcart.admin._errors import CommandError, ExitCode
from jacinthcart.admin._options import FleetOptions
from jacinthcart.admin._output import print_error
from jacinthcart.admin._roster import format_url
from jacinthcart.admin._secrets import ADMIN_KEY_VARIABLE, read_key
from jacinthcart.errors import InvalidMessageError
from jacinthcart.settings import Endpoint
from jacinthcart.wire import decode_json

#: A VM waits up to 1 s for its entry and gather before it answers.
_TIMEOUT_S = 5.0
_STATUS_UNAUTHORIZED = 401


@dataclasses.dataclass(frozen=True)
class FleetAnswers:
    """Answers of the VMs to one query."""

    #: JSON answers by VM id.
    answers_by_vm: dict[str, Any]
    #: Reason for the missing answer of each other VM, by VM id.
    failures_by_vm: dict[str, str]


class FleetClient:
    """Queries all VMs concurrently."""

    def __init__(
        self,
        endpoints_by_vm: Mapping[str, Endpoint],
        key: str,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Create a client; tests pass `transport` to replace the network."""
        self.vm_ids = sorted(endpoints_by_vm)
        self._endpoints_by_vm = endpoints_by_vm
        self._client = httpx.AsyncClient(
            headers={'authorization': f'Bearer {key}'},
            timeout=_TIMEOUT_S,
            trust_env=False,
            transport=transport,
        )

    async def query_vms(self, name: str, **query: str) -> FleetAnswers:
        """Send `GET /admin/v1/<name>` to every VM.

        Raise CommandError when a VM rejects the key.
        """
        answers = FleetAnswers({}, {})
        async with anyio.create_task_group() as tasks:
            for vm_id in self.vm_ids:
                tasks.start_soon(self._query_vm, vm_id, name, query, answers)
        if 'unauthorized' in answers.failures_by_vm.values():
            raise CommandError(
                ExitCode.FAILURE,
                'administration key is missing or invalid',
            )
        return answers

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def _query_vm(
        self,
        vm_id: str,
        name: str,
        query: dict[str, str],
        answers: FleetAnswers,
    ) -> None:
        url = f'{format_url(self._endpoints_by_vm[vm_id])}/admin/v1/{name}'
        try:
            response = await self._client.get(url, params=query)
            answer = _decode(response)
        except (httpx.HTTPError, InvalidMessageError) as error:
            failure = str(error) or type(error).__name__
            answers.failures_by_vm[vm_id] = failure
            return
        answers.answers_by_vm[vm_id] = answer


async def query_fleet(
    options: FleetOptions,
    name: str,
    **query: str,
) -> dict[str, Any]:
    """Return the answers to `GET /admin/v1/<name>` by VM id.

    VMs that do not answer are reported on standard error. Raise
    CommandError when no VM answers.
    """
    client = await open_client(options)
    try:
        answers = await client.query_vms(name, **query)
    finally:
        await client.close()
    for vm_id, failure in sorted(answers.failures_by_vm.items()):
        print_error(f'{vm_id}: no answer: {failure}')
    if not answers.answers_by_vm:
        raise CommandError(ExitCode.UNREACHABLE, 'no VM answered')
    return dict(sorted(answers.answers_by_vm.items()))


async def open_client(options: FleetOptions) -> FleetClient:
    """Return a client for the VMs selected by the options."""
    key = read_key(options.admin_key_file, ADMIN_KEY_VARIABLE)
    if not key:
        raise CommandError(
            ExitCode.INVALID,
            'no administration key: use --admin-key-file or '
            f'{ADMIN_KEY_VARIABLE}',
        )
    return FleetClient(await options.load_endpoints(), key)


def _decode(response: httpx.Response) -> Any:
    if response.status_code == _STATUS_UNAUTHORIZED:
        raise InvalidMessageError('unauthorized')
    if not response.is_success:
        raise InvalidMessageError(f'status {response.status_code}')
    return decode_json(response.content)
