"""Starts programs with a process settings file and handles signals."""

from jacinthcart.launch._runner import StopSignal, run_program

__all__ = ['StopSignal', 'run_program']
