"""Decisions of a client-side load balancer, as a library without I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from client_proxy.balancer.balancer import Balancer

__all__ = ["Balancer"]
__version__ = "0.1.0"


def __getattr__(name: str) -> Any:
    """Import `Balancer` when it is first asked for.

    A program of this package handles its signals from its first line on, and imports the rest after that.
    Raises AttributeError for any other name.
    """
    if name != "Balancer":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from client_proxy.balancer.balancer import Balancer

    return Balancer
