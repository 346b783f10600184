"""Randomized soak: real programs, faults from outside, promises checked."""

from jacinthcart_lab.soak._run import SoakReport, SoakTerms, run_soak

__all__ = ['SoakReport', 'SoakTerms', 'run_soak']
