"""Options shared by all subcommands that query the fleet."""

import dataclasses
import pathlib
from typing import Annotated

import cappa

from jacinthcart.admin._errors import CommandError, ExitCode
from jacinthcart.admin._roster import (
    ROSTER_PATH,
    parse_bracketed_endpoint,
    parse_endpoints,
    parse_roster,
    read_roster_file,
    read_settings_tree,
)
from jacinthcart.settings import Endpoint, Roster

ConfigServiceOption = Annotated[
    Endpoint | None,
    cappa.Arg(
        long='--config',
        value_name='ADDRESS:PORT',
        parse=parse_bracketed_endpoint,
        default=cappa.Env('JACINTHCART_CONFIG', default=None),
        help='configuration service (environment: JACINTHCART_CONFIG)',
    ),
]
RosterOption = Annotated[
    pathlib.Path | None,
    cappa.Arg(
        long='--roster',
        value_name='FILE',
        default=cappa.Env('JACINTHCART_ROSTER', default=None),
        help='file with the value of fleet/roster, used instead of the '
        'configuration service (environment: JACINTHCART_ROSTER)',
    ),
]
JsonOption = Annotated[
    bool,
    cappa.Arg(long='--json', help='print JSON output'),
]


@dataclasses.dataclass(kw_only=True)
class RosterOptions:
    """Options that select the VMs."""

    config: ConfigServiceOption = None
    roster: RosterOption = None
    json: JsonOption = False

    async def find_roster(self) -> Roster:
        """Return the roster from file or service; raise CommandError."""
        if self.roster is not None:
            return read_roster_file(self.roster)
        if self.config is None:
            raise CommandError(
                ExitCode.INVALID,
                'no fleet given: use --config, --roster or an address',
            )
        tree = await read_settings_tree(self.config)
        setting = tree.values_by_path.get(ROSTER_PATH)
        if setting is None or setting.json_value is None:
            raise CommandError(ExitCode.INVALID, f'{ROSTER_PATH}: no value')
        return parse_roster(setting.json_value)


@dataclasses.dataclass(kw_only=True)
class FleetOptions(RosterOptions):
    """Options for access to the administration API of the VMs."""

    admin: Annotated[
        list[Endpoint],
        cappa.Arg(
            long='--admin',
            value_name='ADDRESS:PORT',
            parse=parse_endpoints,
            action=cappa.ArgAction.append,
            help='administration address of one VM, repeatable; used '
            'instead of a roster',
        ),
    ] = dataclasses.field(default_factory=list)
    admin_key_file: Annotated[
        pathlib.Path | None,
        cappa.Arg(
            long='--admin-key-file',
            value_name='FILE',
            default=cappa.Env('JACINTHCART_ADMIN_KEY_FILE', default=None),
            help='file with the administration key (environment: '
            'JACINTHCART_ADMIN_KEY_FILE, or the key itself in '
            'JACINTHCART_ADMIN_KEY)',
        ),
    ] = None

    async def find_endpoints(self) -> dict[str, Endpoint]:
        """Return the administration addresses by VM id or address."""
        if self.admin:
            return {
                f'{endpoint.address}:{endpoint.port}': endpoint
                for endpoint in self.admin
            }
        roster = await self.find_roster()
        return {
            vm_id: Endpoint(address=entry.address, port=entry.admin_port)
            for vm_id, entry in roster.vms_by_id.items()
        }
