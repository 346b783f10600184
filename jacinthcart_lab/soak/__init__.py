"""Randomized soak: real programs, faults from outside, promises checked."""

from jacinthcart_lab.soak._run import SoakReport, SoakParameters, run_soak

__all__ = ['SoakReport', 'SoakParameters', 'run_soak']
