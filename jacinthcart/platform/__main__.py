"""Runs the process of one VM on the users' platform."""

import importlib
import signal


def main() -> None:
    """Run until a stop signal; exit with code 2 for invalid settings."""
    # By default the signal, which tells that the settings have changed, ends
    # a process that has not installed its handler yet. The program reads the
    # settings after this and regularly later on.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imported late, because it takes most of the start.
    importlib.import_module('jacinthcart.platform.program').main()


if __name__ == '__main__':
    main()
