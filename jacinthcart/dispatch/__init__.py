"""Requests to searchers: connections, queues, replicas, hedges, ramps."""

from jacinthcart.dispatch._messages import PartCall, PartResult, Snapshot

__all__ = ['PartCall', 'PartResult', 'Snapshot']
