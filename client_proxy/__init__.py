"""A client-side load balancer: a decision library without I/O, and the client proxy that uses it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from client_proxy.balancer.balancer import Balancer

__all__ = ["Balancer"]
__version__ = "0.1.0"


def __getattr__(name: str) -> Any:
    """Import `Balancer` on first access.

    The programs of this package install their signal handlers first and import everything else afterwards, so
    importing the package itself must not load the balancer.

    Raises:
        AttributeError: for any other name.
    """
    if name != "Balancer":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from client_proxy.balancer.balancer import Balancer

    return Balancer
