"""Errors raised when the balancer is called incorrectly."""

from __future__ import annotations


class BalancerError(Exception):
    """Base class of the balancer's errors."""


class TimeReversedError(BalancerError, ValueError):
    """A call has an earlier time than the call before it."""


class DuplicateRequestError(BalancerError, ValueError):
    """A request arrived with the id of an unfinished request."""


class UnknownEventError(BalancerError, ValueError):
    """An object passed as an event is not one."""
