"""Drills: fleets of real processes under injected faults, their histories, and checks of what clients saw."""
