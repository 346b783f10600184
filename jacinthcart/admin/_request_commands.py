"""Subcommands that send requests as a caller does."""

import dataclasses
import pathlib
import random
from typing import Annotated, Any

import cappa
import httpx
import orjson

from jacinthcart.admin._errors import CommandError, ExitCode
from jacinthcart.admin._options import RosterOptions
from jacinthcart.admin._output import (
    TableData,
    print_error,
    print_json,
    print_table,
)
from jacinthcart.admin._roster import format_url, parse_endpoints
from jacinthcart.admin._run import run_command
from jacinthcart.admin._secrets import CALLER_KEY_VARIABLE, read_key
from jacinthcart.caller import (
    Address,
    Answer,
    Caller,
    CallerError,
    DeadlineError,
    UnreachableError,
)
from jacinthcart.errors import InvalidMessageError
from jacinthcart.program import read_boot_clock
from jacinthcart.settings import Endpoint, RouteKind
from jacinthcart.wire import decode_json

_TIMEOUT_S = 2.0


@dataclasses.dataclass(kw_only=True)
class EntryOptions(RosterOptions):
    """Options that select the entries."""

    entry: Annotated[
        list[Endpoint],
        cappa.Arg(
            long='--entry',
            value_name='ADDRESS:PORT',
            parse=parse_endpoints,
            action=cappa.ArgAction.append,
            help='address of one entry, repeatable; used instead of a roster',
        ),
    ] = dataclasses.field(default_factory=list)
    workspace: Annotated[
        str | None,
        cappa.Arg(long=True, value_name='TEAM/NAME'),
    ] = None

    async def find_entries(self) -> list[Endpoint]:
        """Return the entries to contact; raise CommandError."""
        if self.entry:
            return self.entry
        roster = await self.find_roster()
        return [
            Endpoint(address=vm.address, port=vm.entry_port)
            for vm in roster.vms_by_id.values()
        ]


@cappa.command(
    help='Show the addresses that callers of a workspace receive.',
    description='Example: jacinthcart addresses --workspace voskovka/kavarna-1',
)
@dataclasses.dataclass(kw_only=True)
class Addresses(EntryOptions):
    """Show the addresses of entries."""

    def __call__(self) -> None:
        """Run and exit."""
        run_command(self.run)

    async def run(self) -> ExitCode:
        """Print the answer of the first entry that responds."""
        answer = await self._query_first_entry(await self.find_entries())
        if self.json:
            print_json(answer)
            return ExitCode.SUCCESS
        columns = ('vm', 'address', 'port', 'data_centre')
        print_table(
            TableData(
                f'Addresses, valid for {answer["keep_for_ms"]} ms',
                columns,
                [
                    tuple(entry[name] for name in columns)
                    for entry in answer['addresses']
                ],
            ),
        )
        return ExitCode.SUCCESS

    async def _query_first_entry(
        self, entries: list[Endpoint]
    ) -> dict[str, Any]:
        query = {'workspace': self.workspace} if self.workspace else {}
        async with httpx.AsyncClient(
            timeout=_TIMEOUT_S,
            trust_env=False,
        ) as client:
            for endpoint in entries:
                url = f'{format_url(endpoint)}/v1/addresses'
                try:
                    response = await client.get(url, params=query)
                    return dict(decode_json(response.content))
                except (httpx.HTTPError, InvalidMessageError) as error:
                    print_error(f'{url}: {error!r}')
        raise CommandError(ExitCode.UNREACHABLE, 'no entry answered')


@cappa.command(
    help='Send one request through the reference caller.',
    description='The key comes from --key-file or JACINTHCART_CALLER_KEY. '
    'Example: jacinthcart query voskovka/katalog-search '
    '\'{"text": "blue"}\' --workspace voskovka/kavarna-1',
)
@dataclasses.dataclass(kw_only=True)
class Query(EntryOptions):
    """Send one request."""

    route: Annotated[str, cappa.Arg(value_name='TEAM/ROUTE')]
    query: Annotated[str, cappa.Arg(value_name='JSON')]
    kind: Annotated[RouteKind, cappa.Arg(long=True)] = RouteKind.SEARCH
    key_file: Annotated[
        pathlib.Path | None,
        cappa.Arg(long='--key-file', value_name='FILE'),
    ] = None
    deadline_ms: Annotated[int, cappa.Arg(long='--deadline-ms')] = 1000

    def __call__(self) -> None:
        """Run and exit."""
        run_command(self.run)

    async def run(self) -> ExitCode:
        """Print the answer."""
        query = _parse_query(self.query)
        caller = Caller(
            [
                Address(endpoint.address, endpoint.port)
                for endpoint in await self.find_entries()
            ],
            read_key(self.key_file, CALLER_KEY_VARIABLE),
            read_boot_clock,
            random.SystemRandom(),
            workspace=self.workspace,
        )
        try:
            answer = await self._send(caller, query)
        except CallerError as error:
            raise CommandError(
                _find_exit_code(error),
                f'{error} (ran: {error.ran}, request id: {error.request_id})',
            ) from error
        finally:
            await caller.close()
        self._print(answer)
        return ExitCode.SUCCESS

    async def _send(self, caller: Caller, query: dict[str, Any]) -> Answer:
        send_by_kind = {
            RouteKind.SEARCH: caller.search,
            RouteKind.LOOKUP: caller.lookup,
            RouteKind.SUBMIT: caller.submit,
        }
        return await send_by_kind[self.kind](
            self.route,
            query,
            self.deadline_ms,
        )

    def _print(self, answer: Answer) -> None:
        if self.json:
            print_json(dataclasses.asdict(answer))
            return
        coverage = answer.coverage
        state = 'complete' if coverage.complete else 'incomplete'
        print_table(
            TableData(
                f'{len(answer.hits)} hits from version '
                f'{answer.snapshot.index_version}; '
                f'{coverage.shards_answered} of {coverage.shards_asked} '
                f'shards, {state}',
                ('hit',),
                [(orjson.dumps(hit).decode(),) for hit in answer.hits],
            ),
        )


def _parse_query(text: str) -> dict[str, Any]:
    try:
        query = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise CommandError(ExitCode.INVALID, f'query: {error}') from error
    if not isinstance(query, dict):
        raise CommandError(ExitCode.INVALID, 'query: not a JSON object')
    return query


def _find_exit_code(error: CallerError) -> ExitCode:
    if isinstance(error, UnreachableError):
        return ExitCode.UNREACHABLE
    if isinstance(error, DeadlineError):
        return ExitCode.TIMED_OUT
    return ExitCode.FAILURE
