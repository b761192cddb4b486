"""arrowseam: a load-balancing proxy for long-lived connections."""

from arrowseam.balancer import Balancer

__all__ = ["Balancer"]
__version__ = "0.1.0"
