"""Entry point of `python -m client_proxy.proxy`: one client proxy, configured by the environment.

The signal handlers are installed before the program is imported, because the import is the longest part of
the start.
"""

from __future__ import annotations

import sys

from client_proxy.process_signals import PROCESS_SIGNALS

if __name__ == "__main__":
    PROCESS_SIGNALS.install()

    from client_proxy.proxy.program import main

    sys.exit(main(PROCESS_SIGNALS))
