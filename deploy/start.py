"""Start the process of a role from a checkout: ``python3 deploy/start.py ROLE``."""

from __future__ import annotations

import signal
import sys
from importlib import import_module
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))


def main() -> int:
    """Run the role that is named."""
    # Until the process has its own handler, the signal would end it; the settings are read later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    role = sys.argv[1]
    import_module(f"threadramp.serve.{role}")  # registers the role; the others are not loaded
    return import_module("threadramp.serve.process").serve(role)


if __name__ == "__main__":
    sys.exit(main())
