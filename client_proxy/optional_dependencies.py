"""Finds optional dependencies that are not installed, and says in one line how to install them."""

from __future__ import annotations

import sys
from importlib.util import find_spec


def missing_modules(*modules: str) -> list[str]:
    """Returns those of the modules that are not installed, without importing any."""

    def is_installed(name: str) -> bool:
        try:
            return find_spec(name) is not None
        except (ImportError, ValueError):
            return False

    return [name for name in modules if not is_installed(name)]


def missing_packages_message(part: str, extra: str, *modules: str) -> str:
    """Returns one line that names the missing packages and the extra to install; "" if none is missing.

    Args:
        part: What needs the modules, as the message names it.
        extra: The extra of this project that installs them.
        modules: The modules that are needed.
    """
    not_installed = missing_modules(*modules)
    if not not_installed:
        return ""
    names = ", ".join(not_installed)
    return f"{part} needs the extra `{extra}` (pip install .[{extra}]); not installed: {names}"


def require(part: str, extra: str, *modules: str) -> None:
    """Ends the program with a message on standard error and exit code 2 if a module is not installed.

    A command calls it before it imports the modules. The arguments are those of `missing_packages_message`.
    """
    message = missing_packages_message(part, extra, *modules)
    if message:
        print(message, file=sys.stderr)
        raise SystemExit(2)
