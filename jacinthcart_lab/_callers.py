"""Reference callers of a fleet."""

import random

from jacinthcart.caller import Address, Caller
from jacinthcart.program import read_boot_clock
from jacinthcart_lab._deployment import make_key
from jacinthcart_lab._fleet import Fleet


def create_caller(
    fleet: Fleet,
    workspace_id: str,
    seed: int,
    key: str | None = None,
) -> Caller:
    """Return a caller of `<team>/<name>` with every VM's address as a seed."""
    seeds = [
        Address(vm.settings['address'], vm.settings['entry_port'])
        for vm in fleet.vms_by_id.values()
    ]
    team, workspace = workspace_id.split('/')
    return Caller(
        seeds,
        key or make_key(team, workspace),
        read_boot_clock,
        random.Random(seed),
        workspace=workspace_id,
    )
