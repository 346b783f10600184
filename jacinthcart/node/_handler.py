"""What every handler of a node's addresses shares."""

from jacinthcart.catalogue import FrontLimits
from jacinthcart.front import BaseRequestHandler
from jacinthcart.node._node import Node


class BaseNodeHandler(BaseRequestHandler):
    """Answers requests from what the node knows."""

    def __init__(self, node: Node) -> None:
        """Keep the node."""
        self._node = node

    def find_limits(self) -> FrontLimits:
        """Return the limits of the configuration in force."""
        return self._node.find_front_limits()
