"""Errors of the proxy, all derived from `ProxyError`."""

from __future__ import annotations


class ProxyError(Exception):
    """Base class of the proxy's errors."""


class BadRequestError(ProxyError, ValueError):
    """A client's request can't be accepted; it has not run.

    Attributes:
        status: The HTTP status of the response; the error's text is its body.
    """

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class MessageTooLargeError(ProxyError, ValueError):
    """A part of an HTTP message is over its limit.

    Attributes:
        status: The HTTP status with which a server answers a request of this kind.
    """

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class MalformedMessageError(ProxyError, ValueError):
    """A stream of JSON objects is malformed; later bytes of the stream are unusable."""


class ConfigError(ProxyError, ValueError):
    """The configuration is unusable; the text states the reason on one line."""
