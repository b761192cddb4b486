"""The decision logic of a proxy, without I/O, a clock or a shared random source.

The interface is ``Balancer.handle(now, events) -> actions``. Events are in ``events.py``, actions in
``actions.py``, settings in ``settings.py``.
"""

from arrowseam.balancer.balancer import Balancer

__all__ = ["Balancer"]
