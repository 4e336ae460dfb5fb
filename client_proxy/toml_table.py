"""Reads TOML files and validates them completely; each fault is reported with its line and key.

The standard parser returns values without line numbers. The line of a fault is therefore looked up in the
text by table and key. For inline tables and dotted keys that is the line on which they begin.
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
    """The file is invalid. The message has one line per fault: file, line, key and what is wrong."""


def line_numbers(text: str) -> dict[tuple[str, int, str], int]:
    """Returns line numbers (from 1) by table name, index of the table in its array (from 0) and key.

    The line of a table's header has the key "".
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
    """A TOML file that is being validated; it collects the faults and raises them together at the end.

    Attributes:
        name: Name of the file in messages.
        faults: Line and message of each fault.
        raw: The parsed content.
    """

    def __init__(self, text: str, name: str) -> None:
        self.name = name
        self.faults: list[tuple[int, str]] = []
        self._line_numbers = line_numbers(text)
        try:
            self.raw: dict[str, Any] = tomllib.loads(text)
        except tomllib.TOMLDecodeError as error:
            raise TomlError(f"{name}: {error}") from None

    def fault(self, table: str, number: int, key: str, what: str) -> None:
        """Records a fault at a key of a table; `number` is its index in an array of tables."""
        full_key = f"{table}.{key}" if table and key else table or key
        line_of = self._line_numbers.get
        line = (
            line_of((table, number, key)) or line_of((full_key, 0, "")) or line_of((table, number, "")) or 1
        )
        self.faults.append((line, f"{self.name}:{line}: {full_key}: {what}"))

    def top(self) -> Table:
        """Returns the top-level table of the file."""
        return Table(self, "", 0, self.raw)

    def raise_faults(self) -> None:
        """Raises TomlError with all recorded faults, if there are any."""
        if self.faults:
            raise TomlError("\n".join(text for _, text in sorted(self.faults)))


class Table:
    """One table of a `File`. Values are taken out by key and validated; keys that remain are unknown.

    Each method that takes a value records a fault with the file if the value is invalid, or if it is missing
    and has no default. It then returns the default or an empty value.

    Attributes:
        file: The file that collects the faults.
        name: Name of the table.
        number: Index of the table in its array of tables; 0: it is not in an array.
    """

    def __init__(self, file: File, name: str, number: int, raw: dict[str, Any]) -> None:
        self.file, self.name, self.number = file, name, number
        self._raw = dict(raw)

    def fault(self, key: str, what: str) -> None:
        """Records a fault at a key of this table."""
        self.file.fault(self.name, self.number, key, what)

    def has(self, key: str) -> bool:
        """Returns whether the table has a key that was not taken yet."""
        return key in self._raw

    def _take(self, key: str, default: Any, expected: str, is_valid: Check) -> Any:
        if key not in self._raw:
            if default is ...:
                self.fault(key, f"missing: {expected} is needed")
                return None
            return default
        value = self._raw.pop(key)
        if not is_valid(value):
            self.fault(key, f"{value!r} is not {expected}")
            return None if default is ... else default
        return value

    def bounded_number(
        self, key: str, default: Any = ..., least: float = 0.0, most: float = float("inf")
    ) -> float:
        """Takes a number from `least` to `most`."""

        def is_valid(value: Any) -> bool:
            # NaN fails both comparisons; booleans are integers in Python and are excluded.
            return isinstance(value, int | float) and not isinstance(value, bool) and least <= value <= most

        expected_range = f"a number from {least:g}" + (f" to {most:g}" if most < float("inf") else " on")
        value = self._take(key, default, expected_range, is_valid)
        return float(value) if value is not None else least

    def integer(self, key: str, default: Any = ..., least: int = 0, most: int = 2**53) -> int:
        """Takes an integer from `least` to `most`."""

        def is_valid(value: Any) -> bool:
            return isinstance(value, int) and not isinstance(value, bool) and least <= value <= most

        value = self._take(key, default, f"a whole number from {least} to {most}", is_valid)
        return int(value) if value is not None else least

    def text(self, key: str, default: Any = ..., among: tuple[str, ...] = ()) -> str:
        """Takes a string, which must be one of `among` if that is given."""

        def is_valid(value: Any) -> bool:
            return isinstance(value, str) and (not among or value in among)

        value = self._take(key, default, "one of " + ", ".join(among) if among else "a string", is_valid)
        return str(value) if value is not None else ""

    def flag(self, key: str, default: Any = ...) -> bool:
        """Takes a boolean."""
        return bool(self._take(key, default, "true or false", lambda v: isinstance(v, bool)))

    def texts(self, key: str, default: Any = ...) -> tuple[str, ...]:
        """Takes a list of strings."""

        def is_valid(value: Any) -> bool:
            return isinstance(value, list) and all(isinstance(v, str) for v in value)

        return tuple(self._take(key, default, "a list of strings", is_valid) or ())

    def numbers(self, key: str, default: Any = ..., length: int | None = None) -> tuple[float, ...]:
        """Takes a list of numbers, of exactly `length` elements if that is given."""

        def is_valid(value: Any) -> bool:
            return (
                isinstance(value, list)
                and (length is None or len(value) == length)
                and all(isinstance(v, int | float) and not isinstance(v, bool) and v == v for v in value)
            )

        expected = "a list of numbers" if length is None else f"a list of {length} numbers"
        return tuple(float(v) for v in self._take(key, default, expected, is_valid) or ())

    def points(self, key: str, default: Any = ...) -> tuple[tuple[float, float], ...]:
        """Takes a list of pairs of numbers."""

        def is_valid(value: Any) -> bool:
            return isinstance(value, list) and all(
                isinstance(p, list) and len(p) == 2 and all(isinstance(v, int | float) for v in p)
                for p in value
            )

        pairs = self._take(key, default, "a list of pairs of numbers", is_valid) or ()
        return tuple((float(a), float(b)) for a, b in pairs)

    def table(self, key: str) -> Table:
        """Takes a table; an absent one counts as empty, so that all its defaults apply."""
        raw = self._take(key, {}, "a table", lambda v: isinstance(v, dict)) or {}
        return Table(self.file, f"{self.name}.{key}" if self.name else key, 0, raw)

    def remaining_keys(self) -> tuple[str, ...]:
        """Returns the keys that were not taken, for tables whose keys are user-defined names."""
        return tuple(self._raw)

    def lists(self, key: str) -> tuple[tuple[str, ...], ...]:
        """Takes a list of lists of strings, none of which may be empty."""

        def is_valid(value: Any) -> bool:
            return (
                isinstance(value, list)
                and bool(value)
                and all(isinstance(v, list) and v and all(isinstance(x, str) for x in v) for v in value)
            )

        return tuple(
            tuple(each)
            for each in self._take(key, ..., "a list of non-empty lists of strings", is_valid) or ()
        )

    def tables(self, key: str, least: int = 0) -> list[Table]:
        """Takes an array of at least `least` tables."""

        def is_valid(value: Any) -> bool:
            return isinstance(value, list) and all(isinstance(v, dict) for v in value)

        raw = self._take(key, [], f"a list of tables [[{key}]]", is_valid) or []
        if len(raw) < least:
            self.fault(key, f"at least {least} [[{key}]] is needed")
        return [Table(self.file, key, number, each) for number, each in enumerate(raw)]

    def reject_unknown_keys(self) -> None:
        """Records a fault for each key that was not taken."""
        for key in self._raw:
            self.fault(key, "not a known key")


def read_text(path: str | Path) -> str:
    """Returns the text of a file. Raises TomlError with one line if the file can't be read."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise TomlError(f"{path}: {error}") from None
