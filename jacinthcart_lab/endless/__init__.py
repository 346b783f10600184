"""Bytes without end from searchers, a store, peers and callers."""

from jacinthcart_lab.endless._command import Endless
from jacinthcart_lab.endless._parameters import (
    PATHS,
    EndlessParameters,
    check_form,
    list_forms,
)
from jacinthcart_lab.endless._play import run_play

__all__ = [
    'PATHS',
    'Endless',
    'EndlessParameters',
    'check_form',
    'list_forms',
    'run_play',
]
