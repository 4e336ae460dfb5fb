"""Errors of the rollout package."""

from __future__ import annotations


class RolloutError(ValueError):
    """An operator's command does not fit the state of the rollout."""


class NoRolloutError(RolloutError):
    """A command for a rollout was given while none is in progress."""


class RolloutInProgressError(RolloutError):
    """A rollout was started while another one is in progress."""


class OrderNotApplicableError(RolloutError):
    """The command does not apply in the current phase of the rollout."""
