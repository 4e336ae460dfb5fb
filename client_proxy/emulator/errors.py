"""Errors of the emulator package."""

from __future__ import annotations


class EmulatorError(RuntimeError):
    """Base class of errors that prevent a run."""


class ProxiesNotReadyError(EmulatorError):
    """Not all proxies became ready in time."""


class SideError(EmulatorError):
    """One side of a comparison could not be run."""


class SchedulerStuckError(EmulatorError):
    """The virtual clock has no callback ready and no timer set, but the awaited result is missing."""
