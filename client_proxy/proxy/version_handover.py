"""Transfers decisions and learned state from the engine of one policy version to that of the next."""

from __future__ import annotations

from typing import TYPE_CHECKING

from client_proxy.api.events import EndpointsListed
from client_proxy.proxy.engine import Engine

if TYPE_CHECKING:
    from client_proxy.warm_state.in_flight_handover import InFlightHandover


def take_over(engine: Engine, predecessor: Engine, event: EndpointsListed) -> InFlightHandover:
    """Let `engine` replace its predecessor.

    New requests go to `engine`; pending ones finish at the predecessor. The learned state of the predecessor
    is copied.

    Args:
        engine: The engine of the new version.
        predecessor: The engine that is active until now.
        event: The complete endpoint list of the new version.

    Returns:
        The counter, at the new engine, of attempts in flight at earlier ones.
    """
    # Imported here: instances whose policy never changes don't load these modules.
    from client_proxy.warm_state.capture import capture_snapshot
    from client_proxy.warm_state.in_flight_handover import InFlightHandover
    from client_proxy.warm_state.restore import restore_snapshot

    predecessor.flush()  # handle the queued events before the state is captured
    engine.update_upstream(event)
    engine.handle_at_once(event)
    restore_snapshot(engine.balancer, capture_snapshot(predecessor.balancer))
    engine.restore_snapshot = predecessor.restore_snapshot
    engine.restore_if_listed()
    # The retry budget is kept: with new ones, a policy change during a failure would refill all budgets of a
    # fleet.
    engine.balancer.retry_budget = predecessor.balancer.retry_budget
    in_flight_handover = InFlightHandover(engine.balancer)
    in_flight_handover.take_over(predecessor.balancer)
    return in_flight_handover
