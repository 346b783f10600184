"""Base class of the request handlers of a node."""

from jacinthcart.catalogue import FrontLimits
from jacinthcart.front import BaseRequestHandler
from jacinthcart.node._node import Node


class BaseNodeHandler(BaseRequestHandler):
    """Handles requests with the state of a node."""

    def __init__(self, node: Node) -> None:
        """Initialise with the node."""
        self._node = node

    def get_limits(self) -> FrontLimits:
        """Return the limits of the configuration in force."""
        return self._node.get_front_limits()
