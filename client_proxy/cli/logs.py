"""Formats the log of `client-proxy serve` as text or JSON lines, with the library structlog.

The code logs with the standard library's `logging`; this module formats the records and limits their rate. An
event is a record's message before its arguments are filled in. The number of lines per event and second is
limited, and the next line of the event states how many were dropped: an error that occurs with every request
would otherwise fill the disk and block the event loop.
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

MAX_EVENTS = 512  # events whose rate is tracked; the least recently logged one is forgotten first


class EventRateLimit(logging.Filter):
    """Limits the log lines per second of each event."""

    def __init__(self, per_s: float, clock_s: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._per_s, self._clock_s = per_s, clock_s
        self._events: OrderedDict[tuple[str, str], tuple[TokenBucket, int]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._events)

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether to log a record, and adds the number of dropped records before it as `left_out`."""
        key = record.name, str(record.msg)
        if key in self._events:
            bucket, left_out = self._events.pop(key)
        else:
            bucket, left_out = TokenBucket(self._per_s, max(1.0, self._per_s)), 0
        allowed = bucket.take(1000.0 * self._clock_s())
        self._events[key] = bucket, 0 if allowed else left_out + 1
        if len(self._events) > MAX_EVENTS:
            self._events.popitem(last=False)
        if allowed and left_out:
            record.left_out = left_out
        return allowed


def _add_record_fields(_: Any, __: str, event: Any) -> Any:
    """Adds a record's logger and number of dropped lines to its event (as a structlog processor)."""
    record: logging.LogRecord = event["_record"]
    event["where"] = record.name
    left_out = getattr(record, "left_out", 0)
    if left_out:
        event["left_out"] = left_out
    return event


def configure_logging(settings: LogTable, stream: TextIO = sys.stderr) -> logging.Handler:
    """Replaces the handlers of the root logger with one that has the form of the settings. Returns it."""
    event_processors: list[Any] = [
        structlog.stdlib.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        _add_record_fields,
    ]
    renderer: Any = structlog.processors.JSONRenderer()
    if settings.form == "text":
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    formatter = structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=event_processors,
        processors=[
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.format_exc_info,
            renderer,
        ],
    )
    handler = logging.StreamHandler(stream)
    handler.setFormatter(formatter)
    handler.addFilter(EventRateLimit(settings.per_event_per_s))
    root = logging.getLogger()
    for old_handler in list(root.handlers):
        root.removeHandler(old_handler)
    root.addHandler(handler)
    root.setLevel(logging.INFO)
    return handler
