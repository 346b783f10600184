"""Subcommands for changes of settings."""

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
    ConfigServiceOption,
)
from jacinthcart.admin._output import (
    print_error,
    print_json,
    print_line,
)
from jacinthcart.admin._roster import read_settings_tree
from jacinthcart.admin._run import run_command
from jacinthcart.admin._secrets import write_key
from jacinthcart.admin._settings_page import create_settings_page
from jacinthcart.admin._watch import ChangeWatcher

_KEY_BYTES = 32


@cappa.command(
    help='Validate settings files, the tree of --config, or both.',
    description='Each file holds a JSON object of values by settings path, '
    'which override the tree of --config. Exit code 2 when there are errors. '
    'Example: jacinthcart check --config 127.0.3.1:21000 change.json',
)
@dataclasses.dataclass(kw_only=True)
class Check:
    """Validate settings."""

    files: Annotated[
        list[pathlib.Path],
        cappa.Arg(value_name='FILE', num_args=-1),
    ] = dataclasses.field(default_factory=list)
    config: ConfigServiceOption = None
    json: JsonOption = False

    def __call__(self) -> None:
        """Run and exit."""
        run_command(self.run)

    async def run(self) -> ExitCode:
        """Print all errors with path and violated rule."""
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
    help='Wait until the newest change of a path is in force on every VM.',
    description='Exit code 0 when it is in force on every VM, 2 when the VMs '
    'reject it as invalid, 4 after the timeout; lagging VMs are listed. '
    'Example: jacinthcart watch fleet/data_centres --timeout-s 10',
)
@dataclasses.dataclass(kw_only=True)
class Watch(FleetOptions):
    """Wait for a change of settings to be in force."""

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
        cappa.Arg(long='--ready', help='also wait until every VM is ready'),
    ] = False

    def __call__(self) -> None:
        """Run and exit."""
        run_command(self.run)

    async def run(self) -> ExitCode:
        """Print progress until the change is in force, invalid or timed out."""
        target = self.revision
        if target is None and self.config is not None:
            target = await self._read_target()
        client = await open_client(self)
        report = self._report_to_stderr if self.json else print_line
        watcher = ChangeWatcher(
            client,
            self.path,
            target,
            report,
            require_ready=self.ready,
        )
        try:
            code = await watcher.run(self.timeout_s)
        finally:
            await client.close()
        if self.json:
            print_json({'path': self.path, 'code': int(code)})
        return code

    async def _read_target(self) -> int | None:
        """Read the revision from the configuration service.

        Return None when the service does not answer; then the newest
        revision that a VM has received is used.
        """
        try:
            tree = await read_settings_tree(self.config)  # type: ignore[arg-type]
        except CommandError as error:
            print_error(f'warning: {error}')
            return None
        setting = tree.values_by_path.get(self.path)
        if setting is None:
            raise CommandError(ExitCode.INVALID, f'{self.path}: no value')
        return setting.revision

    def _report_to_stderr(self, line: str) -> None:
        print_error(line)


@cappa.command(
    help='Generate a random key and the digest to publish.',
    description='Give the key to the caller and publish the digest in '
    'teams/TEAM/keys/WORKSPACE. Example: jacinthcart key --write new.key',
)
@dataclasses.dataclass(kw_only=True)
class Key:
    """Generate a key."""

    json: JsonOption = False
    write: Annotated[
        pathlib.Path | None,
        cappa.Arg(
            long=True,
            value_name='FILE',
            help='write the key to a new file that only its owner can read '
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
    """Print the settings reference."""

    def __call__(self) -> None:
        """Write the page to standard output."""
        sys.stdout.write(create_settings_page())
