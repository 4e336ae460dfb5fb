"""Generates the reference page of the configuration keys from the models that check them."""

from __future__ import annotations

from typing import Any

from pydantic.fields import FieldInfo

from client_proxy.config.models import (
    AgreementTable,
    End,
    FleetFile,
    LogTable,
    Model,
    RequestClassEntry,
    SeatEntry,
    ServeFile,
    ServerEntry,
    ServersTable,
)

PARTS: tuple[tuple[str, type[Model]], ...] = (
    ("An instance's file", ServeFile),
    ("`[[class]]`", RequestClassEntry),
    ("`[servers]`", ServersTable),
    ("`[agreement]`", AgreementTable),
    ("`[[agreement.seat]]`", SeatEntry),
    ("`[log]`", LogTable),
    ("A file of servers", FleetFile),
    ("`[[server]]`", ServerEntry),
    ("`[end]`", End),
)


def _default(field: FieldInfo) -> str:
    if field.is_required():
        return "needed"
    value: Any = field.get_default(call_default_factory=True)
    if value is None or value == "" or isinstance(value, Model) or value == ():
        return "none"
    return f"`{str(value).lower() if isinstance(value, bool) else value}`"


def reference_page() -> str:
    """Return the reference page, in Markdown."""
    lines = [
        "# Reference of the configuration",
        "",
        "Made from the models by `client-proxy config reference`; a test holds it against them.",
    ]
    for title, model in PARTS:
        lines += ["", f"## {title}", "", "| key | default | meaning |", "| --- | --- | --- |"]
        for name, field in model.model_fields.items():
            lines.append(f"| `{field.alias or name}` | {_default(field)} | {field.description or ''} |")
    return "\n".join(lines) + "\n"
