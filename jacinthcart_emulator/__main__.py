"""The emulator programs: `config` and `searchers`."""

import dataclasses
import pathlib
import random
import signal
from typing import Annotated

import anyio
import cappa

from jacinthcart.wire import serve_application
from jacinthcart_emulator._config_app import create_config_app
from jacinthcart_emulator._config_state import ConfigState
from jacinthcart_emulator._models import SearchersFile
from jacinthcart_emulator._searcher import EmulatedSearcher
from jacinthcart_emulator._searcher_http import (
    FaultEndpoint,
    SearcherEndpoint,
)

_SHUTDOWN_GRACE_S = 0.2


async def _stop_on_signal(stop_requested: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop_requested.set()
            return


@dataclasses.dataclass
class Config:
    """Emulate the configuration service and the VM list."""

    address: Annotated[str, cappa.Arg(long=True)]
    port: Annotated[int, cappa.Arg(long=True)]

    def __call__(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        anyio.run(self._serve)

    async def _serve(self) -> None:
        stop_requested = anyio.Event()
        app = create_config_app(ConfigState())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_stop_on_signal, stop_requested)
            await serve_application(
                app,
                self.address,
                self.port,
                stop_requested,
                _SHUTDOWN_GRACE_S,
            )
            tasks.cancel_scope.cancel()


@dataclasses.dataclass
class Searchers:
    """Emulate the searchers that a JSON file lists."""

    file: Annotated[pathlib.Path, cappa.Arg(long=True)]

    def __call__(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        anyio.run(self._serve)

    async def _serve(self) -> None:
        searchers_file = SearchersFile.model_validate_json(
            self.file.read_bytes()
        )
        searchers = [
            EmulatedSearcher(
                searcher,
                random.Random(f'{searchers_file.seed}/{searcher.id}'),
            )
            for searcher in searchers_file.searchers
        ]
        stop_requested = anyio.Event()
        async with anyio.create_task_group() as tasks:
            for searcher in searchers:
                tasks.start_soon(SearcherEndpoint(searcher).run)
            fault_endpoint = FaultEndpoint(
                searchers_file.control_address,
                searchers_file.control_port,
                searchers,
            )
            tasks.start_soon(fault_endpoint.run)
            await _stop_on_signal(stop_requested)
            tasks.cancel_scope.cancel()


@dataclasses.dataclass
class Emulator:
    """Emulators of the platform and of backend servers."""

    command: cappa.Subcommands[Config | Searchers]


if __name__ == '__main__':
    cappa.invoke(Emulator)
