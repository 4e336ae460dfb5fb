"""Keeps one core busy until it is killed, at most ten minutes; the core's number is its argument."""

from __future__ import annotations

import os
import sys
import time

MAX_RUN_S = 600.0  # in case nobody kills it


def main() -> None:
    os.sched_setaffinity(0, {int(sys.argv[1])})
    end_s = time.monotonic() + MAX_RUN_S
    while time.monotonic() < end_s:
        pass


if __name__ == "__main__":
    main()
