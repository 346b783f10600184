"""Start, clock and signals common to every program."""

from jacinthcart.program._clock import Clock, read_boot_clock
from jacinthcart.program._runner import StopSignal, run_program

__all__ = ['Clock', 'StopSignal', 'read_boot_clock', 'run_program']
