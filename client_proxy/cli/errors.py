"""Errors of the command line and the control socket. All derive from `CliError`."""

from __future__ import annotations


class CliError(Exception):
    """Base class of this package's errors."""


class CommandError(CliError, ValueError):
    """A command of the control socket can't be executed; the message is the `why` of the answer."""


class ControlAnswerError(CliError, ValueError):
    """A control socket sent an invalid answer."""
