"""Start, clock and signals common to every program."""

from jacinthcart.program._clock import (
    CLOCK_RATE_MARGIN,
    Clock,
    read_boot_clock,
)
from jacinthcart.program._runner import StopSignal, run_program

__all__ = [
    'CLOCK_RATE_MARGIN',
    'Clock',
    'StopSignal',
    'read_boot_clock',
    'run_program',
]
