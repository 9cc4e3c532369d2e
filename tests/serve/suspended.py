"""Starts a process of ours on a box that can be suspended: ``suspended.py FILE ROLE``.

A stopped process is like a suspended box but for its clocks: there the steady clock does not count
the time, while the clock since the boot and the time of day do. FILE holds the seconds that the
steady clock is behind.
"""

from __future__ import annotations

import runpy
import sys
import time
from pathlib import Path

START = Path(__file__).parents[2] / "deploy" / "start.py"


def main() -> None:
    """Let the steady clock fall behind by what the file says, and start the role."""
    behind = Path(sys.argv[1])
    steady = time.monotonic
    time.monotonic = lambda: steady() - float(behind.read_text(encoding="utf-8") or 0)
    sys.argv = [str(START), sys.argv[2]]
    runpy.run_path(str(START), run_name="__main__")


if __name__ == "__main__":
    main()
