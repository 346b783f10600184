"""Shared fleet and base class of the system tests."""

import atexit

from tests.system._system import System
from tests.system._traffic import Traffic, TrafficTestCase

_SYSTEMS: list[System] = []


def get_shared_system() -> System:
    """Return the shared fleet; the first call starts it.

    All modules share it because a start takes longer than most tests. It
    is closed when the test run ends.
    """
    if not _SYSTEMS:
        system = System()
        atexit.register(system.close)
        _SYSTEMS.append(system)
        system.start()
    return _SYSTEMS[0]


class SystemTestCase(TrafficTestCase):
    def setUp(self) -> None:
        self.system = get_shared_system()
        self.fleet = self.system.fleet

    def set_slowdown(self, factor: float, *searchers: str) -> None:
        """Multiply the service time by `factor` until the test ends."""
        for searcher in searchers:
            self.addCleanup(
                self.fleet.emulators.set_searcher_fault,
                searcher,
                straggle_fraction=0,
            )
            self.fleet.emulators.set_searcher_fault(
                searcher,
                straggle_fraction=1,
                straggle_factor=factor,
            )

    def check_records(self, traffic: Traffic) -> None:
        """Check the invariants that hold under every fault."""
        self.check_answers(traffic.records)
        self.check_submits(self.system, traffic.records)
        self.assertEqual(self.system.find_violations(), {})
