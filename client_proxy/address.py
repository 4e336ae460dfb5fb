"""Parses socket addresses of configurations, endpoint lists and operators' files."""

from __future__ import annotations

import ipaddress

from client_proxy.json_object import abbreviated

Address = tuple[str, int]
"""An IP address and a port."""


class AddressError(ValueError):
    """The text is not a valid address; the message gives the reason on one line."""


def read_address(text: str, error_prefix: str = "") -> Address:
    """Parses an address of the form `IP:port`, IPv6 in brackets. Host names are not resolved.

    Args:
        text: The address.
        error_prefix: Prefix of the error message.

    Raises:
        AddressError: The text is not of this form, or the port is out of range.
    """
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        raise AddressError(f"{error_prefix}not an address of the form IP:port: {abbreviated(text)}") from None
    if not 0 <= number < 65536:
        raise AddressError(f"{error_prefix}port out of range: {abbreviated(text)}")
    return host, number
