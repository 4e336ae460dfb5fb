"""Routing decisions without I/O and without a clock: priority levels of zones, weights, idle connections."""
