"""Randomised soak test: real processes under external fault injection."""

from jacinthcart_lab.soak._run import SoakReport, SoakParameters, run_soak

__all__ = ['SoakReport', 'SoakParameters', 'run_soak']
