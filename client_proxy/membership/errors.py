"""Exceptions of the membership package."""

from __future__ import annotations


class MembershipError(Exception):
    """Base class of the exceptions that this package defines."""


class WireError(MembershipError, ValueError):
    """Raised for bytes that are not a valid gossip datagram."""


class DatagramTooLongError(MembershipError, ValueError):
    """Raised for records that don't fit into one datagram."""
