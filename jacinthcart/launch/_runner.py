"""Runs a program until a signal requests it to stop."""

import os
import pathlib
import signal
import sys
from collections.abc import Awaitable, Callable

import anyio

from jacinthcart.errors import SettingsError
from jacinthcart.settings import ProcessSettings, load_process_settings
from jacinthcart.telemetry import start_logging

EXIT_SETTINGS = 2
EXIT_SECOND_SIGNAL = 3


class StopSignal:
    """Tells a program that a graceful shutdown was requested."""

    def __init__(self) -> None:
        """Create a signal that is not set."""
        self.event = anyio.Event()

    @property
    def is_set(self) -> bool:
        """Return whether a shutdown was requested."""
        return self.event.is_set()


#: Main function of a program; returns after the stop signal has been set.
Program = Callable[[ProcessSettings, StopSignal], Awaitable[None]]


def run_program(settings_path: pathlib.Path, program: Program) -> None:
    """Run `program` with its settings file until it returns.

    The first SIGTERM or SIGINT sets the stop signal; a second one terminates
    the process immediately with EXIT_SECOND_SIGNAL. Exit with EXIT_SETTINGS
    when the settings file is missing or invalid.
    """
    start_logging()
    try:
        settings = load_process_settings(settings_path)
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(EXIT_SETTINGS)
    anyio.run(_run_until_stopped, settings, program)


async def _run_until_stopped(
    settings: ProcessSettings,
    program: Program,
) -> None:
    stop = StopSignal()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_handle_signals, stop)
        await program(settings, stop)
        tasks.cancel_scope.cancel()


async def _handle_signals(stop: StopSignal) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if stop.is_set:
                os._exit(EXIT_SECOND_SIGNAL)
            stop.event.set()
