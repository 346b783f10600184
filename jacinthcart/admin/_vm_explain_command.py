"""Subcommand `vm-explain`, for VMs that run `jacinthcart.node`."""

import dataclasses
from typing import Annotated, Any

import cappa
import httpx

from jacinthcart.admin._errors import CommandError, ExitCode
from jacinthcart.admin._options import JsonOption
from jacinthcart.admin._output import (
    TableData,
    print_json,
    print_line,
    print_table,
)
from jacinthcart.admin._roster import format_url, parse_bracketed_endpoint
from jacinthcart.admin._run import run_command
from jacinthcart.errors import InvalidMessageError
from jacinthcart.settings import Endpoint
from jacinthcart.wire import decode_json

_TIMEOUT_S = 2.0
_STATUS_INVALID = 400
_MS_PER_S = 1000
_SECONDS_SUFFIX = '_s'
#: Fields that the tables show; times are in milliseconds there.
_SEARCHER_FIELDS = (
    'cost_s',
    'latency_s',
    'queue_delay_s',
    'slowness',
    'slowdown',
    'failure_rate',
    'backoff_s',
    'is_remote',
    'is_cold',
    'in_flight',
    'obstacle',
    'wait_s',
)
_ROUTE_FIELDS = ('name', 'is_public', 'is_idempotent', 'target_s')


@cappa.command(
    name='vm-explain',
    help='Explain where a VM would send a request now, without sending it.',
    description='For VMs that run one program. Exit code 1 if the request '
    'would be refused. Example: jacinthcart vm-explain '
    '--address 10.1.0.17:8360 --host shop.example --path /a/',
)
@dataclasses.dataclass(kw_only=True)
class VmExplain:
    """Explain where a VM would send a request now."""

    address: Annotated[
        Endpoint,
        cappa.Arg(
            long=True,
            value_name='ADDRESS:PORT',
            parse=parse_bracketed_endpoint,
            help="operators' address of the VM",
        ),
    ]
    host: Annotated[str, cappa.Arg(long=True)]
    path: Annotated[str, cappa.Arg(long=True)]
    method: Annotated[str, cappa.Arg(long=True)] = 'GET'
    workspace: Annotated[
        str | None,
        cappa.Arg(long=True, help='workspace whose priority applies'),
    ] = None
    service: Annotated[
        str | None,
        cappa.Arg(long=True, help='show only this service or shard'),
    ] = None
    json: JsonOption = False

    def __call__(self) -> None:
        """Run and exit."""
        run_command(self.run)

    async def run(self) -> ExitCode:
        """Print the explanation."""
        answer = await self._query()
        explanation = answer['explanation']
        explanation['services'] = [
            one
            for one in explanation['services']
            if self.service in {None, one['service']}
        ]
        if self.json:
            print_json(answer)
        else:
            _print_answer(answer)
        refused = bool(explanation['refusal'])
        return ExitCode.FAILURE if refused else ExitCode.SUCCESS

    async def _query(self) -> dict[str, Any]:
        url = f'{format_url(self.address)}/v1/explain'
        query = {'method': self.method, 'host': self.host, 'path': self.path}
        if self.workspace is not None:
            query['workspace'] = self.workspace
        try:
            async with httpx.AsyncClient(
                timeout=_TIMEOUT_S, trust_env=False
            ) as client:
                response = await client.get(url, params=query)
            if response.status_code != _STATUS_INVALID:
                response.raise_for_status()
            answer = dict(decode_json(response.content))
        except (httpx.HTTPError, InvalidMessageError) as error:
            raise CommandError(
                ExitCode.UNREACHABLE, f'{url}: {error!r}'
            ) from error
        error_text = answer.get('error')
        if error_text is not None:
            raise CommandError(ExitCode.INVALID, error_text)
        return answer


def _print_answer(answer: dict[str, Any]) -> None:
    explanation = answer['explanation']
    if explanation['refusal']:
        print_line(f'refused: {explanation["refusal"]}')
    admitted = explanation['admitted']
    if admitted:
        route = {name: admitted['route'][name] for name in _ROUTE_FIELDS}
        row = {**route, 'priority': admitted['priority']}
        title = f'{answer["method"]} on {answer["vm"]}'
        print_table(_create_table(title, [row]))
    overload = explanation['overload']
    if overload:
        competing = [f'{name}:{rank}' for name, rank in overload['competing']]
        row = {**overload, 'competing': ' '.join(competing)}
        print_table(_create_table('overload control', [row]))
    if explanation['unserved']:
        print_line(f'not served: {", ".join(explanation["unserved"])}')
    for service in explanation['services']:
        print_table(_create_service_table(service))


def _create_service_table(service: dict[str, Any]) -> TableData:
    choice = service['choice']
    chosen = [one['searcher_id'] for one in choice['chosen']]
    held = ', held back' if service['is_held'] else ''
    limits = {one['connection_limit'] for one in choice['searchers']}
    return _create_table(
        f'{service["service"]}, weight {service["weight"]:g}: '
        f'{choice["rule"]}{held}; '
        f'connection limit {max(limits, default=None)}',
        [
            {
                'searcher': one['searcher_id'],
                'chosen': one['searcher_id'] in chosen,
                **{name: one[name] for name in _SEARCHER_FIELDS},
            }
            for one in choice['searchers']
        ],
    )


def _create_table(title: str, rows: list[dict[str, Any]]) -> TableData:
    columns = list(rows[0]) if rows else ['searcher']
    return TableData(
        title,
        [_create_heading(name) for name in columns],
        [[_convert(name, row[name]) for name in columns] for row in rows],
    )


def _create_heading(name: str) -> str:
    if name.endswith(_SECONDS_SUFFIX):
        name = f'{name.removesuffix(_SECONDS_SUFFIX)}_ms'
    return name.removeprefix('is_').replace('_', ' ')


def _convert(name: str, cell: Any) -> Any:
    if name.endswith(_SECONDS_SUFFIX) and cell is not None:
        return round(cell * _MS_PER_S)
    return cell
