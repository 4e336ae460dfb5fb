"""`python -m client_proxy.proxy`: one client proxy, as the environment configures it.

Signals are handled before the program is imported, which takes longer than all before it.
"""

from __future__ import annotations

import sys

from client_proxy.process_signals import PROCESS_SIGNALS

if __name__ == "__main__":
    PROCESS_SIGNALS.install()

    from client_proxy.proxy.program import main

    sys.exit(main(PROCESS_SIGNALS))
