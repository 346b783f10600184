"""Logs, histograms, counters, records of decisions, invariant checks."""

from jacinthcart.telemetry._decisions import Decision, DecisionLog
from jacinthcart.telemetry._logs import (
    Logger,
    create_logger,
    set_log_level,
    start_logging,
)
from jacinthcart.telemetry._loop_delay import LoopDelayRecorder
from jacinthcart.telemetry._metrics import (
    MetricKey,
    Metrics,
    create_histogram,
)
from jacinthcart.telemetry._output import NonBlockingOutput

__all__ = [
    'Decision',
    'DecisionLog',
    'Logger',
    'LoopDelayRecorder',
    'MetricKey',
    'Metrics',
    'NonBlockingOutput',
    'create_histogram',
    'create_logger',
    'set_log_level',
    'start_logging',
]
