"""Finds the package name of a checkout of this project, which may be another version with another name.

Every version names its package in the `run` line of its deploy file. Comparisons of two builds, and tests
that run old and new versions in one fleet, start the programs of a checkout under this name.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

DEPLOY_FILE = Path("deploy/balancer.toml")
_PROXY_MODULE = re.compile(r"(?:^|\s)-m\s+(?P<package>[A-Za-z_]\w*)\.proxy(?:\s|$)")


class CheckoutError(ValueError):
    """The folder contains no build that can be started. The message names the folder and the fault."""


def package_name(checkout: Path) -> str:
    """Returns the name of the package that the checkout's deploy file starts.

    Args:
        checkout: the root folder of the checkout.

    Raises:
        CheckoutError: the deploy file is missing, is not TOML, or names no proxy module that exists.
    """
    deploy_file = checkout / DEPLOY_FILE
    try:
        deployment = tomllib.loads(deploy_file.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise CheckoutError(f"{checkout}: no build in it: {DEPLOY_FILE}: {error}") from error
    match = _PROXY_MODULE.search(str(deployment.get("run", "")))
    if match is None:
        raise CheckoutError(f"{checkout}: no build in it: {DEPLOY_FILE}: run names no proxy module")
    package = match["package"]
    if not (checkout / package / "proxy" / "__main__.py").is_file():
        raise CheckoutError(f"{checkout}: no build in it: {package}/proxy is missing")
    return package
