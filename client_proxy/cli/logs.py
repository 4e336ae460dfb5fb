"""The log of `client-proxy serve`: lines for people or JSON objects, by the library structlog.

The code logs through the standard library's `logging`; here its records are given a form. An event is a
record's text before its values are filled in; of each event there are so many lines a second at most, and
what was left out is counted on the next line of it: a fault that comes with every request would fill a disk
and hold up the loop.
"""

from __future__ import annotations

import logging
import sys
import time
from collections import OrderedDict
from collections.abc import Callable
from typing import Any, TextIO

import structlog

from client_proxy.config.models import LogTable
from client_proxy.token_bucket import TokenBucket

MAX_EVENTS = 512


class EventRateLimit(logging.Filter):
    """So many lines a second for each event."""

    def __init__(self, per_s: float, clock_s: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._per_s, self._clock_s = per_s, clock_s
        self._events: OrderedDict[tuple[str, str], tuple[TokenBucket, int]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._events)

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record is logged; it carries the number of those left out before it."""
        key = record.name, str(record.msg)
        if key in self._events:
            bucket, left_out = self._events.pop(key)
        else:
            bucket, left_out = TokenBucket(self._per_s, max(1.0, self._per_s)), 0
        goes = bucket.take(1000.0 * self._clock_s())
        self._events[key] = bucket, 0 if goes else left_out + 1
        if len(self._events) > MAX_EVENTS:
            self._events.popitem(last=False)
        if goes and left_out:
            record.left_out = left_out
        return goes


def _fields(_: Any, __: str, event: Any) -> Any:
    """Add to an event what its record holds beside the text."""
    record: logging.LogRecord = event["_record"]
    event["where"] = record.name
    left_out = getattr(record, "left_out", 0)
    if left_out:
        event["left_out"] = left_out
    return event


def configure_logging(stated: LogTable, stream: TextIO = sys.stderr) -> logging.Handler:
    """Give the root logger one handler of this form; returns it."""
    shared: list[Any] = [
        structlog.stdlib.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        _fields,
    ]
    last: Any = structlog.processors.JSONRenderer()
    if stated.form == "text":
        last = structlog.dev.ConsoleRenderer(colors=False)
    formatter = structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=shared,
        processors=[
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.format_exc_info,
            last,
        ],
    )
    handler = logging.StreamHandler(stream)
    handler.setFormatter(formatter)
    handler.addFilter(EventRateLimit(stated.per_event_per_s))
    root = logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(handler)
    root.setLevel(logging.INFO)
    return handler
