"""The actions that a balancer asks its client proxy to carry out.

Durations are in milliseconds; their names end in ``_ms``.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """Start the next attempt of a request; its attempts are numbered from 0 in the order of their sends."""

    request_id: int
    endpoint: str
    timeout_ms: float  # from the send; the proxy ends the attempt as TIMEOUT after it
    # Time by which the first byte of a retry must be written; later the proxy must not send it, since
    # endpoints may no longer deduplicate it.
    write_by_ms: float = float("inf")


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer to the client: rejected, so a retry by the client is safe."""

    request_id: int
    retry_after_ms: float = 0.0  # how long the client should wait before a retry; 0: not stated


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer to the client: failed; the request may have been executed or not."""

    request_id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt that is in flight."""

    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Start a timer: report `TimerFired` with this token after the delay."""

    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Send a load probe to an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close this proxy's idle connections to an endpoint; the next send opens a new one."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to discovery: request the changes missed so far and all later ones."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = Send | Reject | Fail | Cancel | SetTimer | Probe | CloseIdle | Subscribe | Log
