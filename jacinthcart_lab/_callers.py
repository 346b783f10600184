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
    """Return a caller of a workspace that may use every VM.

    `workspace_id` is `<team>/<name>`. `seed` is the seed of the random
    generator. Without `key`, the sample key of the workspace is used.
    """
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
