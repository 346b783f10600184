"""Common start of the entry, gather and control programs.

Reads the process settings file, starts logging and handles signals.
"""

from jacinthcart.launch._runner import StopSignal, run_program

__all__ = ['StopSignal', 'run_program']
