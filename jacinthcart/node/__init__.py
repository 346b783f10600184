"""Runs the query tier of a VM as a single process.

It composes `catalogue`, `directory`, `fleet`, `front`, `quota`, `readings`,
`routing` and `serving`. The formats of the users' platform are translated by
`platform`.
"""

from jacinthcart.node._handler import BaseNodeHandler
from jacinthcart.node._memory import MemoryBounds
from jacinthcart.node._node import Node
from jacinthcart.node._run import run_node
from jacinthcart.node._settings import NodeBounds, NodeSettings

__all__ = [
    'BaseNodeHandler',
    'MemoryBounds',
    'Node',
    'NodeBounds',
    'NodeSettings',
    'run_node',
]
