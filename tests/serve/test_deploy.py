"""The deploy file agrees with the code and the requirements; checked without the platform."""

from __future__ import annotations

import importlib.util
import re
import signal
import sys
import tomllib
from pathlib import Path
from types import SimpleNamespace

import pytest

from tests.serve.fleet import PORTS, Box, wait_for
from threadramp.serve.metrics_server import METRICS_PATH, METRICS_PORT

ROOT = Path(__file__).parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
CLASSES = {"front", "side", "store"}


def test_each_class_of_boxes_is_served_by_one_role():
    served = [name for role in DEPLOY["roles"].values() for name in role["serves"]]
    assert sorted(served) == sorted(CLASSES)
    assert {role["on"] for role in DEPLOY["roles"].values()} <= CLASSES


@pytest.mark.parametrize("name", sorted(DEPLOY["roles"]))
def test_the_command_of_a_role_runs_an_existing_module(name):
    program, script, role = DEPLOY["roles"][name]["run"].split()
    assert (program, role) == ("python3", name)
    assert (ROOT / script).is_file()
    assert (ROOT / "src" / "threadramp" / "serve" / f"{role}.py").is_file()


def test_the_metrics_address_is_the_one_served():
    served = f"{METRICS_PORT}{METRICS_PATH}"
    assert PORTS["metrics"] == METRICS_PORT
    assert [DEPLOY["roles"][name]["metrics"] for name in ("gateway", "sidecar")] == [served] * 2


def test_requirements_are_pinned_as_in_the_lock_file():
    def pins(name: str) -> dict[str, str]:
        rows = (ROOT / name).read_text(encoding="utf-8").split()
        return dict(re.fullmatch(r"([\w.-]+)==(\S+)", row).groups() for row in rows)

    lock = {name.lower().replace("_", "-"): pin for name, pin in pins("requirements.lock").items()}
    for name, pin in pins("requirements.txt").items():
        assert lock[name.lower().replace("_", "-")] == pin


def test_the_keeper_starts_and_stops(tmp_path):
    box = Box(tmp_path, "keeper", "store-a-1", "127.0.0.1:1")
    box.start()
    wait_for(lambda: box.lines("start"), "started")
    assert box.stop() < 4.0
    assert box.process.returncode == 0


# Guards against a SIGHUP within the first 0.3 s, while modules are loaded, that ends the process.
def test_a_sighup_before_the_role_is_loaded_is_ignored(monkeypatch):
    spec = importlib.util.spec_from_file_location("start", ROOT / "deploy" / "start.py")
    start = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(start)
    handlers = []

    def load(name: str) -> SimpleNamespace:
        handlers.append(signal.getsignal(signal.SIGHUP))
        return SimpleNamespace(serve=lambda role: 0)

    monkeypatch.setattr(start, "import_module", load)
    monkeypatch.setattr(sys, "argv", ["start.py", "gateway"])
    monkeypatch.setattr(sys, "path", list(sys.path))
    before = signal.getsignal(signal.SIGHUP)
    try:
        assert start.main() == 0
    finally:
        signal.signal(signal.SIGHUP, before)
    assert handlers[0] is signal.SIG_IGN
