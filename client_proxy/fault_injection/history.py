"""The history of a drill: JSON lines whose times are all on one clock.

Every process of a drill writes a file of its own, line by line, so that its records survive its kill -9. All
times are seconds of the machine's CLOCK_MONOTONIC, which is the same in all processes of one machine; an
instance whose clock a fault changes writes no history. Records are objects with `kind`, `t` and:

- `op`: a client attempt. `id`, `logical` (the request; the same for its retries by the client), `class`,
  `key`, `instance`, `begin`, `end`, `status` (0: no answer), `ending`, `served_by`, `again` (bytes after the
  final answer);
- `probe`: a readiness probe. `instance`, `begin`, `end`, `status`;
- `arrival` and `fate`: a request at a server and its outcome (`emulator/event_log.py`). `server`, `life` (the
  start time of the server's process), `instance`;
- `fault`: a fault that the drill injected. `n`, `what`, `who`, `begin`, `end`, `seen` (the evidence);
- `list`: a server list file was replaced. `instance`, `reached`, `drop`;
- `change`: a change of the agreed policy and the outcome that its author reports. `name`, `instance`, `what`,
  `version` (0: not known), `servers`, `attempts`;
- `versions`: the decided versions that an instance reports at the end. `who`, `versions`: number and name;
- `state`: a state change of a process. `who`, `state` (started, ready, stopped, going, ended), `pid`;
- `look`: resources of an instance. `who`, `fds`, `rss_kb`;
- `log`: a log line of an instance. `who`, `line`;
- `late`: how late the timers of one of the drill's own processes were.
"""

from __future__ import annotations

import json
import os
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

Record = dict[str, Any]
MAX_LINE_BYTES = 64 * 1024


class Writer:
    """Appends records to a file, each in one write, so that a line is there whole or not at all."""

    def __init__(self, path: Path) -> None:
        self._handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def write(self, kind: str, t: float, **fields: Any) -> None:
        line = json.dumps({"kind": kind, "t": round(t, 6), **fields}, separators=(",", ":"))
        os.write(self._handle, line.encode() + b"\n")

    def close(self) -> None:
        os.close(self._handle)


def read(path: Path) -> Iterator[Record]:
    """Yield the records of a file, without a last line that a kill cut short.

    Raises:
        ValueError: Another line is not a record.
    """
    if not path.exists():
        return
    lines = path.read_bytes().split(b"\n")
    for number, line in enumerate(lines):
        if not line:
            continue
        try:
            record = json.loads(line)
        except ValueError:
            if number == len(lines) - 1:
                return
            raise ValueError(f"{path}:{number + 1}: not a JSON record") from None
        yield record


def merged(paths: Iterable[Path]) -> list[Record]:
    """Return the records of several files in the order of time."""
    records = [record for path in sorted(paths) for record in read(path)]
    return sorted(records, key=lambda record: float(record["t"]))


def write_all(path: Path, records: Iterable[Record]) -> None:
    """Write a history file."""
    with path.open("w") as file:
        for record in records:
            file.write(json.dumps(record, separators=(",", ":")) + "\n")
