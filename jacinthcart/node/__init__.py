"""The process of one VM, composed of all parts of the query tier."""

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
