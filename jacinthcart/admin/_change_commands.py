"""Subcommands around a change of settings."""

import dataclasses
import hashlib
import pathlib
import secrets
import sys
from typing import Annotated

import cappa

from jacinthcart.admin._check import check_settings
from jacinthcart.admin._errors import CommandError, ExitCode
from jacinthcart.admin._fleet import open_client
from jacinthcart.admin._options import (
    FleetOptions,
    JsonOption,
    ServiceOption,
)
from jacinthcart.admin._output import (
    print_error,
    print_json,
    print_line,
)
from jacinthcart.admin._roster import read_tree
from jacinthcart.admin._run import run_command
from jacinthcart.admin._secrets import write_key
from jacinthcart.admin._settings_page import create_settings_page
from jacinthcart.admin._watch import ChangeWatcher

_KEY_BYTES = 32


@cappa.command(
    help="Validate settings files, the service's tree, or both.",
    description='Files hold one JSON object of values by settings path and '
    'are laid over the tree of --config. Exit code 2 when there are errors. '
    'Example: jacinthcart check --config 127.0.3.1:21000 change.json',
)
@dataclasses.dataclass(kw_only=True)
class Check:
    """Validates settings."""

    files: Annotated[
        list[pathlib.Path],
        cappa.Arg(value_name='FILE', num_args=-1),
    ] = dataclasses.field(default_factory=list)
    config: ServiceOption = None
    json: JsonOption = False

    def __call__(self) -> None:
        """Run and exit."""
        run_command(self.run)

    async def run(self) -> ExitCode:
        """Print every error with its path and rule."""
        errors = await check_settings(self.files, self.config)
        if self.json:
            listed = [
                {'path': error.path, 'rule': error.rule} for error in errors
            ]
            print_json({'errors': listed})
        else:
            for error in errors:
                print_error(f'{error.path}: {error.rule}')
            print_line(f'{len(errors)} errors')
        return ExitCode.INVALID if errors else ExitCode.SUCCESS


@cappa.command(
    help='Follow the newest change of a path until every VM has it in force.',
    description='Exit code 0 when it is in force everywhere, 2 when the VMs '
    'find it invalid, 4 after the timeout; the VMs that lag are named. '
    'Example: jacinthcart watch fleet/data_centres --timeout-s 10',
)
@dataclasses.dataclass(kw_only=True)
class Watch(FleetOptions):
    """Follows a change."""

    path: Annotated[str, cappa.Arg(value_name='PATH')]
    timeout_s: Annotated[
        float,
        cappa.Arg(long='--timeout-s', value_name='SECONDS'),
    ] = 30
    revision: Annotated[
        int | None,
        cappa.Arg(
            long='--revision',
            help='revision to wait for instead of the newest one',
        ),
    ] = None

    ready: Annotated[
        bool,
        cappa.Arg(long='--ready', help='wait also until every VM is ready'),
    ] = False

    def __call__(self) -> None:
        """Run and exit."""
        run_command(self.run)

    async def run(self) -> ExitCode:
        """Print progress until the end."""
        target = self.revision
        if target is None and self.config is not None:
            target = await self._read_target()
        client = await open_client(self)
        report = self._report_json if self.json else print_line
        watcher = ChangeWatcher(
            client,
            self.path,
            target,
            report,
            needs_ready=self.ready,
        )
        try:
            code = await watcher.run(self.timeout_s)
        finally:
            await client.close()
        if self.json:
            print_json({'path': self.path, 'code': int(code)})
        return code

    async def _read_target(self) -> int | None:
        """Return the service's revision, None when it does not answer.

        Without the service, the newest revision that a VM knows is used.
        """
        try:
            tree = await read_tree(self.config)  # type: ignore[arg-type]
        except CommandError as error:
            print_error(f'warning: {error}')
            return None
        setting = tree.values_by_path.get(self.path)
        if setting is None:
            raise CommandError(ExitCode.INVALID, f'{self.path}: no value')
        return setting.revision

    def _report_json(self, line: str) -> None:
        print_error(line)


@cappa.command(
    help='Make a random key and the digest to publish.',
    description='The key goes to the caller, the digest into '
    'teams/TEAM/keys/WORKSPACE. Example: jacinthcart key --write new.key',
)
@dataclasses.dataclass(kw_only=True)
class Key:
    """Makes a key."""

    json: JsonOption = False
    write: Annotated[
        pathlib.Path | None,
        cappa.Arg(
            long=True,
            value_name='FILE',
            help='write the key to a new file that only its owner can read, '
            'and print only the digest',
        ),
    ] = None

    def __call__(self) -> None:
        """Run and exit."""
        run_command(self.run)

    async def run(self) -> ExitCode:
        """Print a new key and its digest."""
        key = secrets.token_urlsafe(_KEY_BYTES)
        digest = hashlib.sha256(key.encode()).hexdigest()
        if self.write is not None:
            write_key(self.write, key)
            print_line(digest)
        elif self.json:
            print_json({'key': key, 'sha256': digest})
        else:
            print_line(f'key:    {key}')
            print_line(f'sha256: {digest}')
        return ExitCode.SUCCESS


@cappa.command(
    name='settings-page',
    help='Print docs/settings.md, generated from the settings models.',
)
@dataclasses.dataclass(kw_only=True)
class SettingsPage:
    """Prints the page of settings."""

    def __call__(self) -> None:
        """Print the page."""
        sys.stdout.write(create_settings_page())
