"""Reads keys from files or the environment, never from arguments.

Command-line arguments are visible to all users of the machine.
"""

import os
import pathlib

from jacinthcart.admin._errors import CommandError, ExitCode

ADMIN_KEY_VARIABLE = 'JACINTHCART_ADMIN_KEY'
CALLER_KEY_VARIABLE = 'JACINTHCART_CALLER_KEY'


def read_key(file: pathlib.Path | None, name: str) -> str | None:
    """Return the key from the file or else from the variable `name`.

    Raise CommandError when the file cannot be read.
    """
    if file is None:
        return os.environ.get(name)
    try:
        return file.read_text().strip()
    except OSError as error:
        raise CommandError(
            ExitCode.INVALID,
            f'{file}: {error.strerror}',
        ) from error


def write_key(file: pathlib.Path, key: str) -> None:
    """Write a key to a new file with mode 600; raise CommandError."""
    try:
        descriptor = os.open(file, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    except OSError as error:
        raise CommandError(
            ExitCode.FAILURE,
            f'{file}: {error.strerror}',
        ) from error
    with open(descriptor, 'w', encoding='utf-8') as key_file:
        key_file.write(key)
