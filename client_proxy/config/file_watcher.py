"""Decides which version of the server file is active, from polls of the file. Does no I/O and reads no clock.

A poll gives the content of the file at a time. A version is accepted if it is complete, valid, a plausible
change from the active version, and newer. Any other content leaves the active version in place and is
reported once.

A file with a version at the top and the same version in `[end]` (a sealed file) is complete: a truncated one
has no `[end]`, and one that is being overwritten in place has two different versions until its last line is
written. A digest in `[end]` also detects other changes, such as one in the middle under an unchanged version.
Without `[end]` the content does not show whether it is complete: a file of ten servers truncated after the
seventh is a valid file of seven servers. So it must have been unchanged for `settle_ms`. A partly written
file that stays unchanged for longer than that is accepted if it is valid.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from client_proxy.config.fleet import ServerList, digest_of, read_server_list
from client_proxy.toml_table import TomlError

MAX_REPORTED = 64  # rejected contents that are remembered, so that each is reported once


@dataclass(frozen=True, slots=True)
class WatchSettings:
    """When a version of the file is accepted; from the `[servers]` table."""

    settle_ms: float = 1000.0  # how long a file without `[end]` must have been unchanged
    sealed: bool = False  # accept only files with `[end]`
    leaving_share: float = 0.5  # a version that removes a larger share of the servers is held back
    hold_ms: float = 0.0  # a version that is held back is accepted after this; 0: only by `force`


@dataclass(frozen=True, slots=True)
class Accepted:
    """The version was accepted and is active from now on."""

    server_list: ServerList


@dataclass(frozen=True, slots=True)
class HeldBack:
    """The version is valid, but looks like a mistake compared with the active one; it waits for `force`."""

    server_list: ServerList
    reason: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The content is not usable; the active version does not change."""

    reason: str


WatchResult = Accepted | HeldBack | Rejected


def suspicious_change(old: ServerList, new: ServerList, leaving_share: float) -> str:
    """Return why the change from `old` to `new` is probably a mistake, or an empty string.

    Args:
        old: The active version.
        new: The version to check.
        leaving_share: Share of the usable servers that may be removed at once.
    """
    if not new.usable:
        return "no server would get any work: all are draining or of weight zero"
    before = {server.name for server in old.usable}
    removed = before - {server.name for server in new.usable}
    if before and len(removed) / len(before) > leaving_share:
        return f"{len(removed)} of {len(before)} servers would go at once"
    return ""


class FileWatcher:
    """Decides about each content that polls of one file find.

    Args:
        settings: When a version is accepted.
        name: Name of the file, for messages.

    Attributes:
        server_list: The active version; None: no version has been accepted yet.
        held_back: A valid version that waits for `force`, if any.
    """

    def __init__(self, settings: WatchSettings, name: str) -> None:
        self.settings, self.name = settings, name
        self.server_list: ServerList | None = None
        self.held_back: ServerList | None = None
        self._held_back_since_ms = 0.0
        self._seen_digest = ""  # digest of the content at the last poll; "": the file could not be read
        self._seen_since_ms = 0.0  # when a poll first found this content
        self._evaluated_digest = ""  # digest of the last content that was decided about; "": none yet
        self._reported: deque[str] = deque(maxlen=MAX_REPORTED)

    def start(self, server_list: ServerList) -> None:
        """Make a version active that had been accepted before, such as by an earlier process."""
        self.server_list = server_list

    def handle_poll(self, now_ms: float, content: bytes | None) -> list[WatchResult]:
        """Process a poll of the file.

        Args:
            now_ms: Time of the poll.
            content: The content; None: the file is missing, unreadable or changed while it was read.

        Returns:
            The decisions that follow; most polls lead to none.
        """
        results = self._accept_expired_hold(now_ms)
        if content is None:
            self._seen_digest = ""
            return results
        digest = digest_of(content)
        if digest != self._seen_digest:
            self._seen_digest, self._seen_since_ms = digest, now_ms
        if digest == self._evaluated_digest:
            return results
        try:
            server_list = read_server_list(content, self.name)
        except TomlError as error:
            if now_ms - self._seen_since_ms >= self.settings.settle_ms:
                self._evaluated_digest = digest
                results += self._reject(digest, str(error))
            return results
        if not server_list.sealed and now_ms - self._seen_since_ms < self.settings.settle_ms:
            return results
        self._evaluated_digest = digest
        return results + self._evaluate(now_ms, server_list)

    def handle_unchanged_poll(self, now_ms: float) -> list[WatchResult]:
        """Process a poll that found the file unchanged, without reading it."""
        return self._accept_expired_hold(now_ms)

    def _reject(self, digest: str, reason: str) -> list[WatchResult]:
        if digest in self._reported:
            return []
        self._reported.append(digest)
        return [Rejected(reason)]

    def _evaluate(self, now_ms: float, server_list: ServerList) -> list[WatchResult]:
        if self.settings.sealed and not server_list.sealed:
            return self._reject(server_list.digest, f"{self.name}: end: missing: only sealed files are taken")
        old = self.server_list
        if old is None:
            if not server_list.usable:
                return self._reject(server_list.digest, f"{self.name}: no server would get any work")
            return self._accept(server_list)
        if server_list.digest == old.digest:
            self.held_back = None
            return []
        if old.version is not None:
            if server_list.version is None:
                return self._reject(
                    server_list.digest, f"{self.name}: no version, after version {old.version}"
                )
            if server_list.version <= old.version:
                reason = f"version {server_list.version} after version {old.version}: give it a higher one"
                return self._reject(server_list.digest, f"{self.name}: {reason}")
        reason = suspicious_change(old, server_list, self.settings.leaving_share)
        if reason:
            self.held_back, self._held_back_since_ms = server_list, now_ms
            return [HeldBack(server_list, reason)]
        return self._accept(server_list)

    def _accept(self, server_list: ServerList) -> list[WatchResult]:
        self.server_list, self.held_back = server_list, None
        return [Accepted(server_list)]

    def _accept_expired_hold(self, now_ms: float) -> list[WatchResult]:
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
        """Accept the version that is held back, by an operator's command; no result if there is none."""
        return self._accept(self.held_back) if self.held_back is not None else []
