from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import pytest
from cleo.testers.application_tester import ApplicationTester

from threadramp.cli.api import ExitCode
from threadramp.cli.main import build_application

if TYPE_CHECKING:
    from collections.abc import Callable

EXAMPLE = Path(__file__).parent.parent.parent / "examples" / "banking" / "fleet.toml"


@pytest.fixture
def run() -> Callable[[str], tuple[int, str, str]]:
    def execute(line: str) -> tuple[int, str, str]:
        tester = ApplicationTester(build_application())
        code = tester.execute(line)
        return code, tester.io.fetch_output(), tester.io.fetch_error()

    return execute


def test_version_is_shown(run) -> None:
    code, output, _ = run("version")
    assert (code, output) == (ExitCode.OK, "threadramp 0.1.0\n")


def test_good_file_has_no_findings(run) -> None:
    code, output, _ = run(f"config check {EXAMPLE}")
    assert code == ExitCode.OK
    assert output.endswith("no findings\n")


def test_findings_go_to_standard_error_with_their_places(run, tmp_path: Path) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text('[pool.p]\ntype = "odd"\nmodel = 1\n')
    code, output, errors = run(f"config check {path}")
    assert (code, output) == (ExitCode.FINDINGS, "")
    assert "pool/p.model: unknown key (did you mean 'models'?)" in errors
    assert "1 finding(s); nothing was changed" in errors


def test_gateway_without_its_table_is_refused(run, tmp_path: Path) -> None:
    path = tmp_path / "s.toml"
    path.write_text('[platform]\nkv = "x"\n')
    code, _, errors = run(f"gateway {path}")
    assert code == ExitCode.FINDINGS
    assert "auth: missing table" in errors


def test_no_gateway_named_or_reached(run, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("THREADRAMP_GATEWAYS", raising=False)
    code, _, errors = run("status")
    assert code == ExitCode.UNREACHABLE
    assert "check --gateways or THREADRAMP_GATEWAYS" in errors
    code, _, _ = run("status --gateways 127.0.0.1:9")
    assert code == ExitCode.UNREACHABLE


@pytest.mark.parametrize("line", ["edit pool p type=1", "delete pool p"])
def test_revision_that_is_no_number_is_a_finding(run, line: str) -> None:
    code, _, errors = run(f"{line} --gateways 127.0.0.1:9 --revision x")
    assert code == ExitCode.FINDINGS
    assert "--revision: 'x' is not a revision" in errors


def test_unknown_standin_names_the_known_ones(run) -> None:
    code, _, errors = run("standin nothing 127.0.0.1:1")
    assert code == ExitCode.USAGE
    assert "boxes, cloud, engine, kv, platform_engine, service, weights" in errors


def test_a_days_logs_are_reported(run, tmp_path: Path) -> None:
    path = tmp_path / "front.log"
    row = '{"message_type":"threadramp:answered","timestamp":1.0,"route":"r","status":200,'
    path.write_text(row + '"ms":5.0,"target_ms":200}\n{"odd\n')
    page = tmp_path / "day.html"
    code, output, errors = run(f"report day {path} --html {page}")
    assert code == ExitCode.OK
    assert "route r" in output
    assert "1 lines could not be read" in errors
    assert "<svg" in page.read_text()


def test_a_log_that_is_not_there_or_a_bad_share_is_refused(run, tmp_path: Path) -> None:
    code, _, errors = run(f"report day {tmp_path / 'missing.log'}")
    assert code == ExitCode.USAGE
    assert "missing.log" in errors
    code, _, errors = run(f"report day {tmp_path / 'missing.log'} --target 2")
    assert code == ExitCode.USAGE
    assert "expected a share between 0 and 1" in errors
