"""The idle timeout of connections to endpoints, adapted to rejected connections.

An endpoint accepts a limited number of connections and rejects further ones; the limit is not known here. If
each instance kept every connection that it ever opened, it would hold connections for a request a minute, and
other instances would get none, at a tenth of the load that the endpoints can serve. With an idle timeout, the
number of open connections follows the rate of requests, and no longer the number of instances.

If connections are short nevertheless, which shows in rejected connections, the timeout is cut to a quarter,
repeatedly, and finally to zero: one connection for each request. It is restored by doubling, more slowly than
it was cut and with jitter between instances, so that a fleet that was short of connections recovers, and is
not short again at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from client_proxy.token_bucket import TokenBucket
from client_proxy.toml_table import Table

MIN_CUT_INTERVAL_MS = 250.0  # ms; rejections closer together cause one cut
CUT_FACTOR = 0.25
MIN_TIMEOUT_SHARE = 1 / 256  # of the stated timeout; a smaller timeout becomes zero
RESTORE_DELAY_MS = 15_000.0  # ms; after about this time without a rejection the timeout is doubled
RESTORE_JITTER = 0.25  # largest deviation from that delay, as a fraction of it
DIAL_BURST_S = 2.0  # s; dials of so many seconds may be saved up
MIN_LOG_INTERVAL_MS = 10_000.0  # ms; limits log lines, of which each dial that is not allowed would cause one


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """The table `[connections]`; each key is described in docs/operators/fleet-size.md."""

    idle_timeout_s: float = 5.0  # key `rest_s`
    max_connections: int | None = None  # key `most`: open to endpoints at once; None: no limit
    max_dials_per_s: float | None = None  # key `opens_per_s`; None: no limit


def parse_connection_settings(table: Table) -> ConnectionSettings:
    """Return the settings in the table; faults are noted there, with their keys."""
    default = ConnectionSettings()
    settings = ConnectionSettings(
        idle_timeout_s=table.bounded_number("rest_s", default.idle_timeout_s, 0.0, 86_400.0),
        max_connections=table.integer("most", least=1, most=100_000) if table.has("most") else None,
        max_dials_per_s=(
            table.bounded_number("opens_per_s", least=0.1, most=100_000.0)
            if table.has("opens_per_s")
            else None
        ),
    )
    table.reject_unknown_keys()
    return settings


class IdleTimeout:
    """The idle timeout of one instance, common to all endpoints: if one rejects connections, so will others.

    Args:
        settings: what operators state.
        endpoint_timeout_ms: time after which endpoints close idle connections themselves; None: not known.
        seed: of the jitter.
    """

    def __init__(
        self, settings: ConnectionSettings, endpoint_timeout_ms: float | None, seed: int = 0
    ) -> None:
        self.max_connections = settings.max_connections
        self.stated_timeout_ms = 1000.0 * settings.idle_timeout_s
        if endpoint_timeout_ms is not None:
            self.stated_timeout_ms = min(self.stated_timeout_ms, endpoint_timeout_ms)
        self._dials = None
        if settings.max_dials_per_s is not None:
            burst = max(1.0, DIAL_BURST_S * settings.max_dials_per_s)
            self._dials = TokenBucket(settings.max_dials_per_s, burst)
        self._timeout_share = 1.0
        self._cut_ms = float("-inf")
        self._restore_ms = float("inf")
        self._random = Random(seed)
        self._logged_ms = float("-inf")  # when a line about dials that are not allowed was logged
        self._log_lines: list[str] = []

    def idle_timeout_ms(self, now_ms: float) -> float:
        """Return how long a connection may be idle now; 0: it is closed after its answer."""
        while now_ms >= self._restore_ms and self._timeout_share < 1.0:
            self._timeout_share = min(1.0, max(MIN_TIMEOUT_SHARE, 2.0 * self._timeout_share))
            self._restore_ms += self._restore_delay_ms()
            if self._timeout_share == 1.0:
                self._log_lines.append("endpoints accept connections: the idle timeout is as stated again")
        return self.stated_timeout_ms * self._timeout_share

    def connection_rejected(self, now_ms: float) -> None:
        """Cut the timeout, because an endpoint has rejected a connection for want of free ones."""
        self.idle_timeout_ms(now_ms)
        self._restore_ms = now_ms + self._restore_delay_ms()
        if now_ms - self._cut_ms < MIN_CUT_INTERVAL_MS:
            return
        if self._timeout_share == 1.0:
            self._log_lines.append("endpoints reject connections: the idle timeout is reduced")
        self._cut_ms = now_ms
        above_min = self._timeout_share > MIN_TIMEOUT_SHARE
        self._timeout_share = CUT_FACTOR * self._timeout_share if above_min else 0.0

    def may_dial(self, now_ms: float) -> bool:
        """Return whether one more connection may be opened now; if so, it is counted as opened."""
        if self._dials is None or self._dials.take(now_ms):
            return True
        if now_ms - self._logged_ms >= MIN_LOG_INTERVAL_MS:
            self._logged_ms = now_ms
            self._log_lines.append(
                "connections.opens_per_s is reached: attempts that need a new connection are not sent"
            )
        return False

    def take_log_lines(self) -> list[str]:
        """Return the lines to log since the last call."""
        lines, self._log_lines = self._log_lines, []
        return lines

    def _restore_delay_ms(self) -> float:
        return RESTORE_DELAY_MS * self._random.uniform(1.0 - RESTORE_JITTER, 1.0 + RESTORE_JITTER)
