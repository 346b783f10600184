"""The fleet that the system tests share, and their base class."""

import atexit

from tests.system._system import System
from tests.system._traffic import Traffic, TrafficTestCase

_SYSTEMS: list[System] = []


def find_shared_system() -> System:
    """Return the fleet, which starts on first use.

    All modules share it, as a start takes longer than most tests; it is
    closed when the test run ends.
    """
    if not _SYSTEMS:
        system = System()
        atexit.register(system.close)
        _SYSTEMS.append(system)
        system.start()
    return _SYSTEMS[0]


class SystemTestCase(TrafficTestCase):
    def setUp(self) -> None:
        self.system = find_shared_system()
        self.fleet = self.system.fleet

    def slow_down(self, factor: float, *searchers: str) -> None:
        """Make every request of searchers take `factor` times as long."""
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
        """Check what holds under every failure."""
        self.check_answers(traffic.records)
        self.check_submits(self.system, traffic.records)
        self.assertEqual(self.system.find_violations(), {})
