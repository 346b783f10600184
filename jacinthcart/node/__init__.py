"""One VM's process: every part of the query tier, composed."""

from jacinthcart.node._handler import BaseNodeHandler
from jacinthcart.node._node import Node
from jacinthcart.node._run import run_node
from jacinthcart.node._settings import NodeBounds, NodeSettings

__all__ = [
    'BaseNodeHandler',
    'Node',
    'NodeBounds',
    'NodeSettings',
    'run_node',
]
