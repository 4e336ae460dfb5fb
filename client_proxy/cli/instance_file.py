"""Reads an instance's own file, and combines it with the fleet's policy into the balancer's settings."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from client_proxy.config.models import PolicyTable, RequestClassEntry, ServeFile, parse
from client_proxy.config.policy import Policy
from client_proxy.operators import NO_FEATURES, OperatorSettings, load_operators
from client_proxy.toml_table import TomlError, read_text

Json = dict[str, Any]

# Idempotency in the instance's file, mapped to the key of the settings document.
EFFECTS = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}


@dataclass(frozen=True, slots=True)
class InstanceFile:
    """A validated instance's file.

    Attributes:
        path: Path of the file.
        file: Its content.
        operators: Settings in the operators' file that `file` names; without one no feature is enabled.
    """

    path: Path
    file: ServeFile
    operators: OperatorSettings

    def resolve_path(self, name: str) -> Path:
        """Returns the path for a name in the file, which is relative to the file's folder."""
        return self.path.parent / name


def load_instance_file(path: Path) -> InstanceFile:
    """Reads an instance's file. Raises TomlError with one line per fault."""
    file = parse(ServeFile, read_text(path), str(path))
    if sum(source is not None for source in (file.servers, file.discovery, file.agreement)) != 1:
        raise TomlError(f"{path}: servers: exactly one of [servers], [agreement] and `discovery` is needed")
    if file.ordinal >= file.instances:
        raise TomlError(f"{path}: ordinal: {file.ordinal} must be less than instances ({file.instances})")
    operators = load_operators(path.parent / file.operators) if file.operators else NO_FEATURES
    return InstanceFile(path, file, operators)


def _class_document(entry: RequestClassEntry) -> Json:
    return {
        "name": entry.name,
        "aim_ms": entry.aim_ms,
        "deadline_ms": entry.deadline_ms,
        "effect": EFFECTS[entry.effect],
        "group": entry.group,
        "window_ms": entry.window_ms,
        "worth": entry.worth,
        "late_worth": 0.0,
    }


def settings_document(file: ServeFile, policy: Policy | None = None) -> Json:
    """Returns the settings as JSON in the form of the platform's configuration.

    Args:
        file: The instance's file.
        policy: What the fleet agreed on; its [policy] and classes, if stated, replace those of the file.
    """
    table: ServeFile | PolicyTable = file
    classes = file.class_
    if policy is not None and policy.table is not None:
        table, classes = policy.table, policy.classes
    return {
        "balancers": file.instances,
        "ordinal": file.ordinal,
        "zone": file.hall,
        "bounds": {
            "max_attempts": table.attempts,
            "conn_idle_ms": 1000.0 * table.idle_s,
            "connect_timeout_ms": 250.0,
            "parallel_tries": False,
            "cancel": True,
            "retry_after": table.retry_after,
            "max_retry_after_ms": 750.0,
        },
        "categories": [_class_document(entry) for entry in classes],
        "discovery": "subscribe" if file.discovery else "automatic",
        "reporting": {"how": "inline", "fields": ["inflight", "queue", "latency_ms"]},
        "safety": {
            "cold_ms": 1000.0 * table.cold_s,
            "cold_share": table.cold_share,
            "fall_ms": 2000.0,
            "fall_multiple": 3.0,
            "drain_grace_ms": 1000.0,
            "must_ask_in_ms": 10_000.0,
        },
    }
