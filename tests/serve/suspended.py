"""Starts a role whose clocks can behave as on a suspended box: ``suspended.py FILE ROLE``.

A process stopped by SIGSTOP differs from one on a suspended box only in its clocks: the monotonic
clock does not advance while a box is suspended, but the boot-time clock and the wall clock do. FILE
holds the seconds by which the monotonic clock is behind.
"""

from __future__ import annotations

import runpy
import sys
import time
from pathlib import Path

START = Path(__file__).parents[2] / "deploy" / "start.py"


def main() -> None:
    """Set the monotonic clock back by the seconds in the file, and start the role."""
    lag_file = Path(sys.argv[1])
    true_monotonic = time.monotonic
    time.monotonic = lambda: true_monotonic() - float(lag_file.read_text(encoding="utf-8") or 0)
    sys.argv = [str(START), sys.argv[2]]
    runpy.run_path(str(START), run_name="__main__")


if __name__ == "__main__":
    main()
