from __future__ import annotations

from pathlib import Path

import pytest

from threadramp.config.documents import check_document
from threadramp.config.settings import check_settings

EXAMPLES = Path(__file__).parent.parent.parent / "examples"


@pytest.mark.parametrize(("user", "models", "apps"), [("banking", 6, 4), ("provider", 5, 3)])
def test_examples_have_no_findings(user: str, models: int, apps: int) -> None:
    resources = check_document(str(EXAMPLES / user / "fleet.toml")).ok
    endpoints = [item for item in resources if item.kind == "endpoint"]
    assert len(endpoints) == models + apps
    for name in ("gateway.toml", "sidecar.toml"):
        assert check_settings(str(EXAMPLES / user / name)).is_ok()


def test_findings_of_a_document_come_together(tmp_path: Path) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(
        '[pool.p]\ntype = "odd"\n[trainer.T]\nmodel = "m"\npool = "p"\n[endpoint.e]\npool = 1\n'
        "[thing.x]\n"
    )
    places = [
        finding.place.removeprefix(f"{path}: ") for finding in check_document(str(path)).error
    ]
    assert "thing" in places
    assert "pool/p.type" in places
    assert "trainer/T" in places
    assert "endpoint/e.pool" in places


def test_references_are_checked(tmp_path: Path) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(
        '[pool.p]\ntype = "model"\nmodels = ["a"]\n[trainer.t]\nmodel = "b"\npool = "p"\n'
        '[trainer.u]\nmodel = "a"\npool = "q"\n'
    )
    problems = [str(finding) for finding in check_document(str(path)).error]
    assert problems == [
        f"{path}: trainer/t.model: pool 'p' serves no 'b'",
        f"{path}: trainer/u.pool: no pool named 'q' is declared",
    ]
