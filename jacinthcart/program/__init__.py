"""The clock shared by all programs."""

from jacinthcart.program._clock import (
    CLOCK_RATE_MARGIN,
    Clock,
    read_boot_clock,
)

__all__ = [
    'CLOCK_RATE_MARGIN',
    'Clock',
    'read_boot_clock',
]
