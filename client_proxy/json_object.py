"""Typed, validated access to JSON input. An error names the path of the invalid value."""

from __future__ import annotations

from collections.abc import Iterator
from math import isfinite
from typing import Any

Json = dict[str, Any]


class JsonValueError(ValueError):
    """A value is missing or invalid; the message begins with its path."""


def abbreviated(value: object) -> str:
    """Returns the `repr` of a value, cut to 40 characters."""
    text = repr(value)
    return text if len(text) <= 40 else f"{text[:37]}..."


class JsonObject:
    """A JSON object and its path in the document. A null counts as absent.

    Every method that reads a value raises JsonValueError, with the path of the value, if the value is missing
    or not of the documented type and range.

    Attributes:
        where: Path of the object, for error messages.
    """

    def __init__(self, raw: object, where: str) -> None:
        if not isinstance(raw, dict):
            raise JsonValueError(f"{where}: must be an object, not {abbreviated(raw)}")
        self._raw = raw
        self.where = where

    def __contains__(self, key: str) -> bool:
        return self._raw.get(key) is not None

    def at(self, key: str) -> str:
        """Returns the path of a key."""
        return f"{self.where}.{key}" if self.where else key

    def raw(self, key: str) -> Any:
        """Returns the value of a key, of any type."""
        value = self._raw.get(key)
        if value is None:
            raise JsonValueError(f"{self.at(key)}: missing")
        return value

    def number(self, key: str, least: float = float("-inf"), above: float = float("-inf")) -> float:
        """Returns a finite number that is at least `least` and greater than `above`."""
        value = self.raw(key)
        if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
            raise JsonValueError(f"{self.at(key)}: must be a finite number, not {abbreviated(value)}")
        if value < least:
            raise JsonValueError(f"{self.at(key)}: must be at least {least:g}, not {value:g}")
        if value <= above:
            raise JsonValueError(f"{self.at(key)}: must be more than {above:g}, not {value:g}")
        return value

    def count(self, key: str, least: int = 0) -> int:
        """Returns an integer that is at least `least`; 2.0 counts as one."""
        value = self.number(key, least)
        if value != int(value):
            raise JsonValueError(f"{self.at(key)}: must be a whole number, not {value:g}")
        return int(value)

    def share(self, key: str) -> float:
        """Returns a number from 0 to 1."""
        value = self.number(key, 0.0)
        if value > 1:
            raise JsonValueError(f"{self.at(key)}: must be at most 1, not {value:g}")
        return value

    def text(self, key: str) -> str:
        """Returns a string."""
        value = self.raw(key)
        if not isinstance(value, str):
            raise JsonValueError(f"{self.at(key)}: must be a string, not {abbreviated(value)}")
        return value

    def flag(self, key: str) -> bool:
        """Returns a boolean."""
        value = self.raw(key)
        if not isinstance(value, bool):
            raise JsonValueError(f"{self.at(key)}: must be true or false, not {abbreviated(value)}")
        return value

    def one_of(self, key: str, known: dict[str, Any]) -> Any:
        """Returns the value to which `known` maps the string of a key."""
        value = self.text(key)
        if value not in known:
            raise JsonValueError(
                f"{self.at(key)}: must be one of {', '.join(known)}, not {abbreviated(value)}"
            )
        return known[value]

    def required_object(self, key: str) -> JsonObject:
        """Returns the object of a key."""
        return JsonObject(self.raw(key), self.at(key))

    def optional_object(self, key: str) -> JsonObject:
        """Returns the object of a key, or an empty one if the key is absent."""
        return self.required_object(key) if key in self else JsonObject({}, self.at(key))

    def iter_objects(self, key: str) -> Iterator[JsonObject]:
        """Yields the objects of the list of a key."""
        for number, value in enumerate(self._list(key)):
            yield JsonObject(value, f"{self.at(key)}[{number}]")

    def texts(self, key: str) -> tuple[str, ...]:
        """Returns the list of strings of a key."""
        for number, value in enumerate(self._list(key)):
            if not isinstance(value, str):
                raise JsonValueError(f"{self.at(key)}[{number}]: must be a string, not {abbreviated(value)}")
        return tuple(self._list(key))

    def _list(self, key: str) -> list[Any]:
        value = self.raw(key)
        if not isinstance(value, list):
            raise JsonValueError(f"{self.at(key)}: must be a list, not {abbreviated(value)}")
        return value
