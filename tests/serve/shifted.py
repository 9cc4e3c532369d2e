"""Starts a role with an offset wall clock: ``shifted.py FILE ROLE``.

FILE holds the seconds by which the wall clock is ahead. It is read at each query of the clock, so
that the wall clock jumps when the file is written. The monotonic clock is not changed.
"""

from __future__ import annotations

import runpy
import sys
import time
from pathlib import Path

START = Path(__file__).parents[2] / "deploy" / "start.py"


def main() -> None:
    """Offset the wall clock by the seconds in the file, and start the role."""
    offset_file = Path(sys.argv[1])
    true_time = time.time
    time.time = lambda: true_time() + float(offset_file.read_text(encoding="utf-8"))
    sys.argv = [str(START), sys.argv[2]]
    runpy.run_path(str(START), run_name="__main__")


if __name__ == "__main__":
    main()
