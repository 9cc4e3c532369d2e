"""Start the process of a role from a checkout: ``python3 deploy/start.py ROLE``."""

from __future__ import annotations

import sys
from importlib import import_module
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))


def main() -> int:
    """Run the role that is named."""
    role = sys.argv[1]
    import_module(f"threadramp.serve.{role}")  # registers the role; the others are not loaded
    return import_module("threadramp.serve.process").serve(role)


if __name__ == "__main__":
    sys.exit(main())
