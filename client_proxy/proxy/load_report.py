"""Reads an endpoint's load report, and whether it ran the request, from the headers of a response."""

from __future__ import annotations

import re
from typing import NamedTuple

from client_proxy.proxy.messages import Headers

NEVER_RAN_VALUE = b"1"
REPORT_FIELD = re.compile(rb"([A-Za-z0-9_]+)=([-+0-9.eE]+)")

LoadReport = tuple[float, ...]
"""The values of a load report, in the order of the settings' report fields."""


class ResponseMetadata(NamedTuple):
    """Load report and never-ran mark of one response."""

    load_report: LoadReport | None  # None: the response has no complete report
    never_ran: bool  # the endpoint states that the request did not run


class LoadReportReader:
    """Reads the load report fields that the settings name."""

    def __init__(self, report_fields: tuple[str, ...]) -> None:
        self._fields = [name.encode() for name in report_fields]

    def read(self, headers: Headers) -> ResponseMetadata:
        """Return the load report and the never-ran mark of a response's headers."""
        report: LoadReport | None = None
        never_ran = False
        for name, header_value in headers:
            lowered = name.lower()
            if lowered == b"endpoint-load-metrics":
                report = self._read_report(header_value)
            elif lowered == b"x-never-ran":
                never_ran = header_value.strip() == NEVER_RAN_VALUE
        return ResponseMetadata(report, never_ran)

    def _read_report(self, header_value: bytes) -> LoadReport | None:
        if not self._fields:
            return None
        values_by_name = dict(REPORT_FIELD.findall(header_value))
        try:
            report = tuple(float(values_by_name[name]) for name in self._fields)
        except (KeyError, ValueError):
            return None
        # An infinite or negative value would stay in every mean that it enters, so such a report is dropped.
        return report if all(0 <= value < float("inf") for value in report) else None
