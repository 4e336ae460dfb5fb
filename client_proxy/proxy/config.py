"""Reads the platform's configuration: the file that `LB_CONFIG` names, and environment variables."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from client_proxy.address import Address, read_address
from client_proxy.api.settings import Settings
from client_proxy.json_object import JsonObject, abbreviated
from client_proxy.proxy.errors import ConfigError
from client_proxy.settings import read_settings

Json = dict[str, Any]

DEFAULT_SOCKETS = 1024  # descriptors for sockets where the file states no limit
DEFAULT_MEMORY_MB = 192.0  # memory where the file states no limit


@dataclass(frozen=True, slots=True)
class Config:
    """The platform's configuration of one client proxy."""

    name: str
    listen: Address
    discovery: Address | None  # None: another endpoint source lists the endpoints
    seed: int
    settings: Settings
    known: Json | None  # the last known endpoint list, as a discovery message
    sockets: int  # descriptors that the process may use for sockets
    memory_mb: float = DEFAULT_MEMORY_MB  # memory that the process may use
    peer_listen: Address | None = None  # address for gossip between instances
    peers: tuple[Address, ...] = ()


def read_seed(value: object) -> int:
    """Parse a seed: a number, or a string of hexadecimal digits. Raises ConfigError."""
    try:
        return int(value, 16) if isinstance(value, str) else int(value)  # type: ignore[call-overload]
    except (TypeError, ValueError, OverflowError):
        raise ConfigError(
            f"seed: must be a number or a string of hexadecimal digits, not {abbreviated(value)}"
        ) from None


def load_config(env: Mapping[str, str], reloading: bool = False) -> Config:
    """Read the configuration of the process.

    Args:
        env: The environment variables.
        reloading: Whether the process is already running. The file may have changed since the start, the
            environment can't, so the file's `discovery` then overrides `LB_DISCOVERY`.

    Raises:
        ConfigError: Something is missing or malformed.
    """
    path = env.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set; it must name the configuration file")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None
    return read_config(raw, env, path, reloading)


def read_config(raw: object, env: Mapping[str, str], path: str, reloading: bool = False) -> Config:
    """Read the parsed content of the file at `path`, overridden by the environment as in `load_config`.

    Raises ConfigError.
    """
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: not a JSON object")
    config_object = JsonObject(raw, "")
    try:
        limits = JsonObject(raw.get("limits") or {}, "limits")
        peers = config_object.texts("peers") if raw.get("peers") else ()
        return Config(
            name=str(env.get("LB_NAME") or raw.get("name", "")),
            listen=configured_address(config_object, "listen", env.get("LB_LISTEN")),
            discovery=configured_address(
                config_object, "discovery", None if reloading else env.get("LB_DISCOVERY")
            ),
            seed=read_seed(raw.get("seed", 0)),
            settings=read_settings(config_object.raw("settings")),
            known=raw.get("known") if isinstance(raw.get("known"), dict) else None,
            sockets=limits.count("sockets", 1) if "sockets" in limits else DEFAULT_SOCKETS,
            memory_mb=limits.number("memory_mb", above=0.0) if "memory_mb" in limits else DEFAULT_MEMORY_MB,
            peer_listen=configured_address(config_object, "peer_listen") if raw.get("peer_listen") else None,
            peers=tuple(read_address(peer, f"peers[{number}]: ") for number, peer in enumerate(peers)),
        )
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from None


def configured_address(config_object: JsonObject, key: str, override: str | None = None) -> Address:
    """Return the address under a key. `override`: the environment's value, which takes precedence."""
    return read_address(override or config_object.text(key), f"{key}: ")
