"""Reads and writes the `[rollout]` table of the agreed policy file.

During a rollout the file holds the text of the old policy, followed by one table, `[rollout]`, with the text
of the new policy and the state of the rollout. Values are encoded as JSON, whose strings, numbers and lists
are valid TOML.
"""

from __future__ import annotations

import json
import re

from client_proxy.config.models import RolloutTable

_ROLLOUT_HEADER = re.compile(r"^\[rollout\]\s*$", re.MULTILINE)
_SEAL_HEADER = re.compile(r"^\[end\]\s*$", re.MULTILINE)
_VERSION_LINE = re.compile(r"^version\s*=.*\n", re.MULTILINE)


def without_rollout(text: str) -> str:
    """Return the text of a policy without its `[rollout]` table and without the seal of a watched file.

    The seal is the `[end]` table with the version at the top that it confirms. No table may follow `[end]`,
    so both are removed before a table can be appended.
    """
    tail = _ROLLOUT_HEADER.search(text) or _SEAL_HEADER.search(text)
    body = text[: tail.start()] if tail else text
    return _VERSION_LINE.sub("", body, count=1) if _SEAL_HEADER.search(text) else body


def with_rollout(text: str, table: RolloutTable) -> str:
    """Return the text of a policy with `table` as its `[rollout]` table, which replaces an earlier one."""
    lines = ["[rollout]"]
    for key, value in table.model_dump(exclude_defaults=True).items():
        lines.append(f"{key} = {json.dumps(value, ensure_ascii=False)}")
    return without_rollout(text).rstrip("\n") + "\n\n" + "\n".join(lines) + "\n"
