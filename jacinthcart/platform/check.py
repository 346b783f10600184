"""Validates settings files and configuration documents before use."""

import dataclasses
import pathlib
import sys
from typing import Annotated, Any

import cappa
import pydantic

from jacinthcart.errors import InvalidMessageError, SettingsError
from jacinthcart.platform._documents import ConfigurationBody
from jacinthcart.platform.settings_file import decode_settings, list_violations
from jacinthcart.wire import decode_json

_EXIT_INVALID = 2
#: Field by which settings files differ from configuration documents.
_SETTINGS_FIELD = 'platform_fields'


@cappa.command(
    name='python -m jacinthcart.platform.check',
    help='Check settings files and configuration documents of the platform.',
    description='Prints each error with its file, place and rule. '
    'Exit code 0 if all are valid, 2 otherwise.',
)
@dataclasses.dataclass
class Check:
    """Validates files."""

    files: Annotated[
        list[pathlib.Path],
        cappa.Arg(value_name='FILE', num_args=-1),
    ]

    def __call__(self) -> None:
        """Print all errors and exit."""
        errors = [
            f'{path}: {error}'
            for path in self.files
            for error in find_errors(path)
        ]
        for error in errors:
            sys.stderr.write(f'{error}\n')
        sys.stdout.write(f'{len(errors)} errors\n')
        raise cappa.Exit(code=_EXIT_INVALID if errors else 0)


def find_errors(path: pathlib.Path) -> list[str]:
    """Return each error with its location in the file and the rule."""
    try:
        fields = decode_json(path.read_bytes())
    except (OSError, InvalidMessageError) as error:
        return [str(error)]
    if isinstance(fields, dict) and _SETTINGS_FIELD in fields:
        return _find_settings_errors(fields)
    return _find_configuration_errors(fields)


def _find_settings_errors(fields: Any) -> list[str]:
    try:
        decode_settings(fields)
    except SettingsError as error:
        return [str(error)]
    return []


def _find_configuration_errors(fields: Any) -> list[str]:
    try:
        body = ConfigurationBody.model_validate(fields)
    except pydantic.ValidationError as error:
        return [str(violation) for violation in list_violations(error)]
    return [
        f'routes.{number}: exactly one of service, traffic_split and gather '
        + 'must be set'
        for number, route in enumerate(body.routes)
        if route.count_destinations() != 1
    ]


if __name__ == '__main__':
    cappa.invoke(Check)
