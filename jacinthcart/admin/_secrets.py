"""Keys come from files or the environment, never from arguments.

Arguments are visible to every user of the machine.
"""

import os
import pathlib

from jacinthcart.admin._errors import CommandError, ExitCode

ADMIN_KEY_VARIABLE = 'JACINTHCART_ADMIN_KEY'
CALLER_KEY_VARIABLE = 'JACINTHCART_CALLER_KEY'


def read_key(file: pathlib.Path | None, name: str) -> str | None:
    """Return the key of the file, else of environment variable `name`.

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
