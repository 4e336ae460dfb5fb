"""TOML files of operators: checked completely, every fault named with its line and key.

The standard parser gives values without their line_numbers, so the place of a fault is looked up in the text
afterwards, by its table and key. Inline tables and dotted keys are found by the line that begins them.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

Check = Callable[[Any], bool]
_HEADER = re.compile(r"^\s*(\[\[?)\s*([A-Za-z0-9_.\-\"' ]+?)\s*\]\]?\s*(?:#.*)?$")
_KEY = re.compile(r"^\s*([A-Za-z0-9_\-]+|\"[^\"]*\")\s*(?:\.[^=]*)?=")


class TomlError(ValueError):
    """The file is not usable. The text is one line a fault: file, line, key, and what is wrong."""


def line_numbers(text: str) -> dict[tuple[str, int, str], int]:
    """Return line numbers (from 1) by table name, number of that table (from 0) and key.

    The key of a table's header is "".
    """
    found: dict[tuple[str, int, str], int] = {("", 0, ""): 1}
    seen: dict[str, int] = {}
    table, number = "", 0
    for line_number, line in enumerate(text.splitlines(), 1):
        if header := _HEADER.match(line):
            table = header.group(2)
            number = seen.get(table, -1) + 1 if header.group(1) == "[[" else 0
            seen[table] = number
            found[table, number, ""] = line_number
        elif key := _KEY.match(line):
            found.setdefault((table, number, key.group(1).strip('"')), line_number)
    return found


class File:
    """A file that is being read: it collects faults, and raises them together at the end."""

    def __init__(self, text: str, name: str) -> None:
        self.name = name
        self.faults: list[tuple[int, str]] = []
        self._line_numbers = line_numbers(text)
        try:
            self.raw: dict[str, Any] = tomllib.loads(text)
        except tomllib.TOMLDecodeError as error:
            raise TomlError(f"{name}: {error}") from None

    def fault(self, table: str, number: int, key: str, what: str) -> None:
        """Record a fault at a key of a table."""
        where = f"{table}.{key}" if table and key else table or key
        found = self._line_numbers.get
        line = found((table, number, key)) or found((where, 0, "")) or found((table, number, "")) or 1
        self.faults.append((line, f"{self.name}:{line}: {where}: {what}"))

    def top(self) -> Table:
        """Return the table at the top of the file."""
        return Table(self, "", 0, self.raw)

    def raise_faults(self) -> None:
        """Raise TomlError if any fault was found."""
        if self.faults:
            raise TomlError("\n".join(text for _, text in sorted(self.faults)))


class Table:
    """One table of a `File`: values are taken by key and checked; what is left at the end is unknown.

    Each method that takes a value records a fault with the file if the value is missing, without a default,
    or not as stated, and returns the default or an empty value then.
    """

    def __init__(self, file: File, name: str, number: int, raw: dict[str, Any]) -> None:
        self.file, self.name, self.number = file, name, number
        self._raw = dict(raw)

    def fault(self, key: str, what: str) -> None:
        """Record a fault at a key."""
        self.file.fault(self.name, self.number, key, what)

    def has(self, key: str) -> bool:
        """Whether there is a value under a key."""
        return key in self._raw

    def _take(self, key: str, default: Any, kind: str, fits: Check) -> Any:
        if key not in self._raw:
            if default is ...:
                self.fault(key, f"missing: {kind} is needed")
                return None
            return default
        value = self._raw.pop(key)
        if not fits(value):
            self.fault(key, f"{value!r} is not {kind}")
            return None if default is ... else default
        return value

    def number_(self, key: str, default: Any = ..., least: float = 0.0, most: float = float("inf")) -> float:
        """Take a number."""

        def fits(value: Any) -> bool:
            # NaN fails both comparisons; true and false are whole numbers to Python.
            return isinstance(value, int | float) and not isinstance(value, bool) and least <= value <= most

        bound = f"a number from {least:g}" + (f" to {most:g}" if most < float("inf") else " on")
        value = self._take(key, default, bound, fits)
        return float(value) if value is not None else least

    def whole(self, key: str, default: Any = ..., least: int = 0, most: int = 2**53) -> int:
        """Take a whole number."""

        def fits(value: Any) -> bool:
            return isinstance(value, int) and not isinstance(value, bool) and least <= value <= most

        value = self._take(key, default, f"a whole number from {least} to {most}", fits)
        return int(value) if value is not None else least

    def text(self, key: str, default: Any = ..., among: tuple[str, ...] = ()) -> str:
        """Take a text, one of `among` if that is given."""

        def fits(value: Any) -> bool:
            return isinstance(value, str) and (not among or value in among)

        value = self._take(key, default, "one of " + ", ".join(among) if among else "a text", fits)
        return str(value) if value is not None else ""

    def flag(self, key: str, default: Any = ...) -> bool:
        """Take a boolean."""
        return bool(self._take(key, default, "true or false", lambda v: isinstance(v, bool)))

    def texts(self, key: str, default: Any = ...) -> tuple[str, ...]:
        """Take a list of texts."""

        def fits(value: Any) -> bool:
            return isinstance(value, list) and all(isinstance(v, str) for v in value)

        return tuple(self._take(key, default, "a list of texts", fits) or ())

    def numbers(self, key: str, default: Any = ..., length: int | None = None) -> tuple[float, ...]:
        """Take a list of numbers, of a given length if there is one."""

        def fits(value: Any) -> bool:
            return (
                isinstance(value, list)
                and (length is None or len(value) == length)
                and all(isinstance(v, int | float) and not isinstance(v, bool) and v == v for v in value)
            )

        kind = "a list of numbers" if length is None else f"a list of {length} numbers"
        return tuple(float(v) for v in self._take(key, default, kind, fits) or ())

    def points(self, key: str, default: Any = ...) -> tuple[tuple[float, float], ...]:
        """Take a list of pairs of numbers."""

        def fits(value: Any) -> bool:
            return isinstance(value, list) and all(
                isinstance(p, list) and len(p) == 2 and all(isinstance(v, int | float) for v in p)
                for p in value
            )

        taken = self._take(key, default, "a list of pairs of numbers", fits) or ()
        return tuple((float(a), float(b)) for a, b in taken)

    def table(self, key: str) -> Table:
        """Take a table that may be left out, with all of its defaults."""
        raw = self._take(key, {}, "a table", lambda v: isinstance(v, dict)) or {}
        return Table(self.file, f"{self.name}.{key}" if self.name else key, 0, raw)

    def remaining_keys(self) -> tuple[str, ...]:
        """Return the keys that are left, for tables whose keys are names of the operators' choosing."""
        return tuple(self._raw)

    def lists(self, key: str) -> tuple[tuple[str, ...], ...]:
        """Take a list of lists of texts, none of them empty."""

        def fits(value: Any) -> bool:
            return (
                isinstance(value, list)
                and bool(value)
                and all(isinstance(v, list) and v and all(isinstance(x, str) for x in v) for v in value)
            )

        return tuple(tuple(each) for each in self._take(key, ..., "a list of lists of texts", fits) or ())

    def tables(self, key: str, least: int = 0) -> list[Table]:
        """Take a list of tables, at least so many."""

        def fits(value: Any) -> bool:
            return isinstance(value, list) and all(isinstance(v, dict) for v in value)

        raw = self._take(key, [], f"a list of tables [[{key}]]", fits) or []
        if len(raw) < least:
            self.fault(key, f"at least {least} [[{key}]] is needed")
        return [Table(self.file, key, number, each) for number, each in enumerate(raw)]

    def reject_unknown_keys(self) -> None:
        """Record a fault for each key that is left."""
        for key in self._raw:
            self.fault(key, "not a known key")


def read_text(path: str | Path) -> str:
    """Return the text of a file. Raises TomlError, on one line, if it can't be read."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise TomlError(f"{path}: {error}") from None
