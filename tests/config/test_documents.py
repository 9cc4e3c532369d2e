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


DIGEST = "ab" * 32


@pytest.mark.parametrize(
    ("rows", "problem"),
    [
        (f'[organisation.a]\nkey_digests = ["{DIGEST}"]\n[organisation.b]\n'
         f'key_digests = ["{DIGEST}"]\n', "names a key that 'a' has too"),
        ('[organisation.a]\nkey_digests = [""]\n', "is empty"),
        (f'[organisation.a]\nkey_digests = ["{DIGEST}", "{DIGEST}"]\n', "names a key twice"),
        ('[organisation.a]\nkey_digests = ["plain-text-key-123"]\n', "is no digest"),
        (f'[organisation.a]\nkey_digests = ["{DIGEST.upper()}"]\n', "is no digest"),
    ],
)  # fmt: skip
def test_keys_of_organisations_are_checked_and_never_repeated(tmp_path, rows, problem):
    path = tmp_path / "fleet.toml"
    path.write_text(rows)
    found = [str(finding) for finding in check_document(str(path)).error]
    assert len(found) == 1
    assert problem in found[0]
    assert "plain-text-key" not in found[0]


def test_organisations_with_keys_of_their_own_have_no_findings(tmp_path):
    path = tmp_path / "fleet.toml"
    path.write_text(
        f'[organisation.a]\nkey_digests = ["{DIGEST}"]\n[organisation.b]\nkey_digests = []\n'
    )
    assert [one.name for one in check_document(str(path)).ok] == ["a", "b"]
