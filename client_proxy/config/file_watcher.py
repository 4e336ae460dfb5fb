"""Decides which version of the file of servers is active, from polls of the file. No I/O, no clock.

A poll says what the file held then. A version is accepted if it is complete, valid by itself, plausible
beside the active one, and newer. Whatever is not, changes nothing and is reported once.

When is a file complete? One with a version at its top and the same in `[end]` is: cut short it has no end,
written over in place it has two versions until its last line is written. A digest shows the rest too, such as
a change in the middle under an unchanged version. Without any of these the bytes alone can't show it (a file
of ten servers cut after the seventh is a valid file of seven), so it must have been unchanged for
`settle_ms`; an editor that pauses for longer than that is believed.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from client_proxy.config.fleet import ServerList, digest_of, read_server_list
from client_proxy.toml_table import TomlError

MAX_REPORTED = 64  # contents that were rejected and need not be reported again


@dataclass(frozen=True, slots=True)
class WatchSettings:
    """How the file is judged, as `[servers]` states it."""

    settle_ms: float = 1000.0  # a file without `[end]` must have been unchanged for so long
    sealed: bool = False  # accept only files with `[end]`
    leaving_share: float = 0.5  # of the servers; more that leave at once are held back
    hold_ms: float = 0.0  # a version held back is accepted after this all the same; 0: only by force


@dataclass(frozen=True, slots=True)
class Accepted:
    """This version is active from now on."""

    server_list: ServerList


@dataclass(frozen=True, slots=True)
class HeldBack:
    """The version is valid; beside the active one it looks like a mistake, and waits for `force`."""

    server_list: ServerList
    reason: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The content is not usable; the active version stands."""

    reason: str


WatchResult = Accepted | HeldBack | Rejected


def suspicious_change(old: ServerList, new: ServerList, leaving_share: float) -> str:
    """Return why this change is probably a mistake; "": nothing speaks against it."""
    if not new.usable:
        return "no server would get any work: all are draining or of weight zero"
    before = {server.name for server in old.usable}
    left = before - {server.name for server in new.usable}
    if before and len(left) / len(before) > leaving_share:
        return f"{len(left)} of {len(before)} servers would go at once"
    return ""


class FileWatcher:
    """Judges what polls of one file find.

    Attributes:
        server_list: The active version; None: there is none yet.
        held_back: A valid version that waits for `force`.
    """

    def __init__(self, settings: WatchSettings, name: str) -> None:
        self.settings, self.name = settings, name
        self.server_list: ServerList | None = None
        self.held_back: ServerList | None = None
        self._held_back_since_ms = 0.0
        self._seen_digest = ""  # of what the last poll found
        self._seen_since_ms = 0.0  # since when
        self._judged_digest = ""  # "": nothing has been judged yet
        self._reported: deque[str] = deque(maxlen=MAX_REPORTED)

    def start(self, fleet: ServerList) -> None:
        """Make a version active that was accepted before."""
        self.server_list = fleet

    def handle_poll(self, now_ms: float, content: bytes | None) -> list[WatchResult]:
        """Judge what the file held; None: there was none, or it changed while it was read."""
        results = self._after_hold(now_ms)
        if content is None:
            self._seen_digest = ""
            return results
        digest = digest_of(content)
        if digest != self._seen_digest:
            self._seen_digest, self._seen_since_ms = digest, now_ms
        if digest == self._judged_digest:
            return results
        try:
            fleet = read_server_list(content, self.name)
        except TomlError as error:
            if now_ms - self._seen_since_ms >= self.settings.settle_ms:
                self._judged_digest = digest
                results += self._reject(digest, str(error))
            return results
        if not fleet.sealed and now_ms - self._seen_since_ms < self.settings.settle_ms:
            return results
        self._judged_digest = digest
        return results + self._judge(now_ms, fleet)

    def handle_unchanged_poll(self, now_ms: float) -> list[WatchResult]:
        """Take note that the file has surely not changed since the last poll."""
        return self._after_hold(now_ms)

    def _reject(self, digest: str, reason: str) -> list[WatchResult]:
        if digest in self._reported:
            return []
        self._reported.append(digest)
        return [Rejected(reason)]

    def _judge(self, now_ms: float, fleet: ServerList) -> list[WatchResult]:
        if self.settings.sealed and not fleet.sealed:
            return self._reject(fleet.digest, f"{self.name}: end: missing: only sealed files are taken")
        old = self.server_list
        if old is None:
            if not fleet.usable:
                return self._reject(fleet.digest, f"{self.name}: no server would get any work")
            return self._accept(fleet)
        if fleet.digest == old.digest:
            self.held_back = None
            return []
        if old.version is not None:
            if fleet.version is None:
                return self._reject(fleet.digest, f"{self.name}: no version, after version {old.version}")
            if fleet.version <= old.version:
                reason = f"version {fleet.version} after version {old.version}: give it a higher one"
                return self._reject(fleet.digest, f"{self.name}: {reason}")
        reason = suspicious_change(old, fleet, self.settings.leaving_share)
        if reason:
            self.held_back, self._held_back_since_ms = fleet, now_ms
            return [HeldBack(fleet, reason)]
        return self._accept(fleet)

    def _accept(self, fleet: ServerList) -> list[WatchResult]:
        self.server_list, self.held_back = fleet, None
        return [Accepted(fleet)]

    def _after_hold(self, now_ms: float) -> list[WatchResult]:
        hold_ms = self.settings.hold_ms
        if (
            self.held_back is None
            or not hold_ms
            or now_ms - self._held_back_since_ms < hold_ms
            or not self.held_back.usable
        ):
            return []
        return self._accept(self.held_back)

    def force(self) -> list[WatchResult]:
        """Accept the version that is held back, by an operator's order."""
        return self._accept(self.held_back) if self.held_back is not None else []
