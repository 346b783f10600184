"""Start and signals of the programs that read a process settings file."""

from jacinthcart.launch._runner import StopSignal, run_program

__all__ = ['StopSignal', 'run_program']
