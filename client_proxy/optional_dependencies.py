"""Optional dependencies: which are not installed, and one line for the person who has to install them."""

from __future__ import annotations

import sys
from importlib.util import find_spec


def missing(*modules: str) -> list[str]:
    """Return the modules that can't be imported here. None of them is imported to find out."""

    def installed(name: str) -> bool:
        try:
            return find_spec(name) is not None
        except (ImportError, ValueError):
            return False

    return [name for name in modules if not installed(name)]


def missing_packages_message(part: str, extra: str, *modules: str) -> str:
    """Return the line for a person: what lacks and what to install; "": nothing lacks."""
    missing_modules = missing(*modules)
    if not missing_modules:
        return ""
    names = ", ".join(missing_modules)
    return f"{part} needs the extra `{extra}` (pip install .[{extra}]); not installed: {names}"


def require(part: str, extra: str, *modules: str) -> None:
    """End the program with that line and exit code 2, if something lacks.

    For commands, before they import it.
    """
    message = missing_packages_message(part, extra, *modules)
    if message:
        print(message, file=sys.stderr)
        raise SystemExit(2)
