"""Runs one process of a play: `sound`, `faulty` or `callers`."""

import asyncio
import sys

from jacinthcart_lab.endless._callers import Callers
from jacinthcart_lab.endless._faulty import FaultySenders
from jacinthcart_lab.endless._parameters import Plan
from jacinthcart_lab.endless._sound import SoundServers


def main() -> None:
    """Run the role of the first argument with the plan of the second."""
    role, plan_text = sys.argv[1:]
    plan = Plan.decode(plan_text)
    if role == 'sound':
        asyncio.run(SoundServers(plan).run())
    elif role == 'faulty':
        asyncio.run(FaultySenders(plan).run())
    else:
        asyncio.run(Callers(plan).run())


if __name__ == '__main__':
    main()
