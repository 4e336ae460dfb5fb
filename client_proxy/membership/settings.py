"""Gossip settings: the table `[gossip]` of the operators' TOML file (docs/operators/gossip.md)."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass, field

from client_proxy.address import Address
from client_proxy.toml_table import Table

MAX_PORT = 65535
ANY_LOOPBACK_PORT: Address = ("127.0.0.1", 0)


@dataclass(frozen=True, slots=True)
class SwimSettings:
    """Settings of membership and failure detection, named like keys of `[gossip]`; `forget_ms` is no key."""

    period_ms: float = 1000.0  # interval between two probes
    timeout_ms: float = 300.0  # time without an ack after which helpers are asked to probe
    helpers: int = 3  # members that are asked to probe a member that does not answer
    suspicion: float = 4.0  # shortest suspicion, in periods times log10 of the number of members
    most_members: int = 256  # size of the member table
    sync_ms: float = 5000.0  # interval between two comparisons of member tables
    forget_ms: float = 600_000.0  # time after which a dead member is removed from the table
    verify_per_s: float = 40.0  # limit of signature checks per second


@dataclass(frozen=True, slots=True)
class GossipSettings:
    """The settings in the table `[gossip]`; fields have the names of its keys."""

    keys: str = ""  # path of the key file
    listen: Address = ANY_LOOPBACK_PORT  # port 0 stands for any free port
    seeds: tuple[Address, ...] = ()  # addresses of instances to contact first
    fanout: int = 2  # members to which broadcasts are sent in each round
    spread_ms: float = 200.0  # ms between two rounds of broadcasts, while there is something to broadcast
    sends_per_s: float = 40.0  # limit of datagrams sent per second
    bytes_per_s: float = 8192.0  # limit of bytes sent per second
    takes_per_s: float = 200.0  # limit of datagrams processed per second, from all sources together
    source_per_s: float = 30.0  # limit of datagrams processed per second from one source
    swim: SwimSettings = field(default_factory=SwimSettings)


def parse_gossip_settings(table: Table) -> GossipSettings:
    """Return the settings in the table; errors are added to `table` with their keys."""
    defaults = GossipSettings()
    listen = table.text("listen", "127.0.0.1:0")
    settings = GossipSettings(
        keys=table.text("keys"),
        listen=_parse_address(table, "listen", listen),
        seeds=tuple(_parse_address(table, "seeds", seed) for seed in table.texts("seeds", ())),
        fanout=table.integer("fanout", defaults.fanout, 1, 8),
        spread_ms=table.bounded_number("spread_ms", defaults.spread_ms, 50.0, 10_000.0),
        sends_per_s=table.bounded_number("sends_per_s", defaults.sends_per_s, 4.0, 1000.0),
        bytes_per_s=table.bounded_number("bytes_per_s", defaults.bytes_per_s, 1024.0, 256_000.0),
        takes_per_s=table.bounded_number("takes_per_s", defaults.takes_per_s, 10.0, 5000.0),
        source_per_s=table.bounded_number("source_per_s", defaults.source_per_s, 5.0, 1000.0),
        swim=_parse_swim_settings(table),
    )
    if settings.swim.timeout_ms >= settings.swim.period_ms:
        table.fault("timeout_ms", "it is not less than period_ms")
    table.reject_unknown_keys()
    return settings


def _parse_swim_settings(table: Table) -> SwimSettings:
    defaults = SwimSettings()
    return SwimSettings(
        period_ms=table.bounded_number("period_ms", defaults.period_ms, 100.0, 60_000.0),
        timeout_ms=table.bounded_number("timeout_ms", defaults.timeout_ms, 10.0, 10_000.0),
        helpers=table.integer("helpers", defaults.helpers, 1, 8),
        suspicion=table.bounded_number("suspicion", defaults.suspicion, 1.0, 20.0),
        most_members=table.integer("most_members", defaults.most_members, 8, 2048),
        sync_ms=table.bounded_number("sync_ms", defaults.sync_ms, 500.0, 600_000.0),
        verify_per_s=table.bounded_number("verify_per_s", defaults.verify_per_s, 5.0, 1000.0),
    )


def _parse_address(table: Table, key: str, text: str) -> Address:
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if _is_ip_address(host) and _is_port(port):
        return host, int(port)
    table.fault(key, f"{text!r} is not an address of the form IP:port")
    return ANY_LOOPBACK_PORT


def _is_ip_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_port(text: str) -> bool:
    try:
        return 0 <= int(text) <= MAX_PORT
    except ValueError:
        return False
