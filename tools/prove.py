"""Show that each proof fails without its mechanism: ``make prove``.

Each entry takes one mechanism out of a copy of the tree and runs the scenario that should notice.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tools.removals import REMOVALS, Edit, Removal

ROOT = Path(__file__).resolve().parent.parent
COPIED = (
    "src",
    "tests",
    "tools",
    "bench",
    "deploy",
    "pyproject.toml",
    "requirements.txt",
    "requirements.lock",
)
TIMEOUT_S = 240
AT_ONCE = 2


def run(removal: Removal) -> tuple[bool, str]:
    """Run a scenario without its mechanism.

    :returns: whether it failed as it should, and what it printed
    """
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for name in COPIED:
            source = ROOT / name
            target = copy / name
            if source.is_dir():
                shutil.copytree(source, target, ignore=shutil.ignore_patterns("__pycache__"))
            else:
                shutil.copy(source, target)
        for edit in removal.edits:
            apply(copy / edit.path, edit)
        command = [sys.executable, "-m", "pytest", "tests", "-x", "-k", removal.test]
        environment = os.environ | {"PYTHONPATH": str(copy / "src")}
        try:
            done = subprocess.run(
                command,
                cwd=copy,
                env=environment,
                capture_output=True,
                text=True,
                timeout=TIMEOUT_S,
            )
        except subprocess.TimeoutExpired:
            return True, f"no end within {TIMEOUT_S} s"
        errors = [line[4:] for line in done.stdout.splitlines() if line.startswith("E   ")]
        printed = errors[0].strip() if errors else done.stdout[-200:].strip()
        return is_noticed(done.returncode, done.stdout), printed


def is_noticed(code: int, output: str) -> bool:
    """Return whether a test failed, and not merely the collection of the tests.

    :param code: pytest's exit code
    :param output: what pytest printed
    """
    lines = output.splitlines()
    not_collected = any(line.startswith("ERROR ") for line in lines)
    return code == 1 and not not_collected and any(line.startswith("FAILED ") for line in lines)


def apply(path: Path, edit: Edit) -> None:
    """Apply an edit.

    :raises ValueError: if the place is not there exactly once
    """
    text = path.read_text()
    if text.count(edit.old) != 1:
        raise ValueError(f"{edit.path}: {edit.old!r} stands {text.count(edit.old)} times")
    path.write_text(text.replace(edit.old, edit.new))


def main() -> int:
    """Run all removals, or those whose name has a word of the command line."""
    words = sys.argv[1:]
    chosen = [item for item in REMOVALS if not words or any(word in item.name for word in words)]
    unnoticed = 0
    with ThreadPoolExecutor(AT_ONCE) as pool:
        for removal, (failed, printed) in zip(chosen, pool.map(run, chosen), strict=True):
            unnoticed += not failed
            verdict = "fails" if failed else "PASSES ALL THE SAME"
            print(f"without {removal.name}: {removal.test} {verdict}: {printed[:150]}", flush=True)
    print(f"{len(chosen) - unnoticed} noticed, {unnoticed} not noticed")
    return 1 if unnoticed else 0


if __name__ == "__main__":
    sys.exit(main())
