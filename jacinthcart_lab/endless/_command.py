"""The command `endless` of the lab."""

import dataclasses
import json
import pathlib
import sys
from typing import Annotated, Literal

import cappa

from jacinthcart_lab.endless._parameters import (
    PATHS,
    EndlessParameters,
    check_form,
    list_forms,
)
from jacinthcart_lab.endless._play import run_play


@cappa.command(help='Play bytes without end against VM processes.')
@dataclasses.dataclass
class Endless:
    """Play bytes without end and print one JSON line for each play."""

    path: Annotated[
        str, cappa.Arg(long=True, choices=list(PATHS), help='who is faulty')
    ] = 'searcher'
    form: Annotated[
        str,
        cappa.Arg(long=True, help='name of a form, `mixed`, or `all`'),
    ] = 'one-chunk'
    status: Annotated[
        int, cappa.Arg(long=True, choices=[200, 500], help='status')
    ] = 200
    batch: Annotated[
        int, cappa.Arg(long=True, help='requests a second at once to each VM')
    ] = 40
    faulty: Annotated[int, cappa.Arg(long=True)] = 4
    searchers: Annotated[int, cappa.Arg(long=True)] = 4
    slots: Annotated[int, cappa.Arg(long=True)] = 16
    seconds: Annotated[float, cappa.Arg(long=True)] = 16.0
    vms: Annotated[int, cappa.Arg(long=True)] = 2
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    trouble: Annotated[
        Literal['on', 'off'], cappa.Arg(long=True, help='whether it acts')
    ] = 'on'
    stop: Annotated[
        bool, cappa.Arg(long=True, help='SIGTERM to the first VM halfway')
    ] = False
    reload: Annotated[
        bool, cappa.Arg(long=True, help='SIGHUP to all VMs each second')
    ] = False
    #: Folder for the logs; without it they are dropped.
    keep: Annotated[pathlib.Path | None, cappa.Arg(long=True)] = None

    def __call__(self) -> None:
        """Exit with 1 if a rule was broken."""
        forms = [self.form]
        if self.form == 'all':
            forms = list_forms(self.path)
        has_broken = False
        for form in forms:
            check_form(self.path, form)
            result = run_play(self._create_parameters(form), self.keep)
            print(json.dumps(result), flush=True)
            has_broken = has_broken or bool(result['broken'])
        sys.exit(int(has_broken))

    def _create_parameters(self, form: str) -> EndlessParameters:
        return EndlessParameters(
            path=self.path,
            form=form,
            status=self.status,
            batch=self.batch,
            faulty=self.faulty,
            searchers=self.searchers,
            slots=self.slots,
            seconds=self.seconds,
            vms=self.vms,
            seed=self.seed,
            has_trouble=self.trouble == 'on',
            has_stop=self.stop,
            has_reload=self.reload,
        )
