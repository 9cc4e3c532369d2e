"""Trainers' calls about lots: their paths and bodies."""

from __future__ import annotations

import base64
import binascii
from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec

from threadramp.config.findings import Finding, FindingsError
from threadramp.lots.model import Lot, Reward, Sample
from threadramp.lots.scoped_ids import is_valid_id, scoped_id, unscoped_id
from threadramp.platform.headers import length_guess, whole_number

if TYPE_CHECKING:
    from collections.abc import Sequence

    from threadramp.lots.model import Result

READY_PATH = "/threadramp/ready"
OWN_ROOT = "/threadramp/"
_LOT_ROOT = "/threadramp/lots/"
_SAMPLE_ROOT = "/threadramp/items/"


class LotCallKind(Enum):
    """What a call about a lot wants."""

    RESULTS = "results"
    BODY = "body"
    END = "end"


@dataclass(frozen=True)
class LotCall:
    """A call about a lot that was handed in earlier.

    :param after: first position that is wanted
    :param sample: whose body is wanted, empty for other calls
    """

    kind: LotCallKind
    lot: str
    after: int = 0
    sample: str = ""

    def of(self, organisation: str | None) -> LotCall:
        """Return this call about the lot that an organisation keeps under its name."""
        sample = self.sample and scoped_id(organisation, self.sample)
        return replace(self, lot=scoped_id(organisation, self.lot), sample=sample)


class _Reward(msgspec.Struct):
    id: str
    hostname: str
    path: str
    body: str = ""


class _Sample(msgspec.Struct):
    id: str
    path: str
    headers: dict[str, str] = {}
    body: str = ""
    tokens: int = 0
    group: str = ""
    scoringEndpoint: _Reward | None = None  # noqa: N815 - misleading: a request, not an endpoint


class _Lot(msgspec.Struct):
    requests: list[_Sample]
    step: int = 0
    model: str = ""
    minVersion: int = 0  # noqa: N815 - the platform's spelling
    desired: int = 0  # misleading: whole groups, not samples


_decode_lot = msgspec.json.Decoder(_Lot).decode


def read_lot(
    lot_id: str, host: str, path: str, body: bytes, organisation: str | None = None
) -> Lot:
    """Decode the hand-in of a lot.

    :param organisation: whose it is, as the lot has it
    :raises FindingsError: with the place of what is wrong
    """
    try:
        found = _decode_lot(body)
    except msgspec.DecodeError as error:
        raise FindingsError([Finding("body", str(error))]) from error
    findings: list[Finding] = []
    if not is_valid_id(lot_id):
        findings.append(Finding("id", "has a sign that sets names apart here"))
    samples = [
        _sample(place, row, organisation, findings) for place, row in enumerate(found.requests)
    ]
    if len({sample.id for sample in samples}) < len(samples):
        findings.append(Finding("requests", "two samples have the same id"))
    if not samples:
        findings.append(Finding("requests", "is empty"))
    if findings:
        raise FindingsError(findings)
    return Lot(
        id=scoped_id(organisation, lot_id),
        host=host,
        path=path,
        step=found.step,
        model=found.model,
        min_version=found.minVersion,
        wanted_groups=found.desired,
        samples=tuple(samples),
        organisation=organisation,
    )


def read_call(method: str, target: str) -> LotCall | None:
    """Return which call about a lot this is, none if it is none, or names what nobody handed in.

    :param target: path and query as the caller sent them
    """
    call = _call(method, target)
    return call if call is not None and is_valid_id(call.lot) and is_valid_id(call.sample) else None


def _call(method: str, target: str) -> LotCall | None:
    parts = urlsplit(target)
    query = parse_qs(parts.query)
    if parts.path.startswith(_LOT_ROOT):
        lot = unquote(parts.path.removeprefix(_LOT_ROOT))
        if method == "GET":
            return LotCall(LotCallKind.RESULTS, lot, after=whole_number(_first(query, "after")))
        return LotCall(LotCallKind.END, lot) if method == "DELETE" else None
    if parts.path.startswith(_SAMPLE_ROOT) and method == "GET":
        lot = unquote(parts.path.removeprefix(_SAMPLE_ROOT))
        return LotCall(LotCallKind.BODY, lot, sample=_first(query, "id"))
    return None


def results_body(total: int, after: int, results: Sequence[Result]) -> bytes:
    """Encode a page of results from position ``after`` on."""
    rows = [_row(result) for result in results]
    return msgspec.json.encode(
        {"total": total, "results": rows, "nextToken": after + len(rows)}  # a position, no token
    )


def _row(result: Result) -> dict[str, object]:
    row: dict[str, object] = {
        "id": unscoped_id(result.sample),
        "state": result.state.value,
        "text": result.text,
        "versions": result.versions,
    }
    if result.score:
        row["score"] = result.score
    return row


def _sample(place: int, row: _Sample, organisation: str | None, findings: list[Finding]) -> Sample:
    where = f"requests[{place}]"
    if not is_valid_id(row.id):
        findings.append(Finding(f"{where}.id", "has a sign that sets names apart here"))
    reward = row.scoringEndpoint
    return Sample(
        id=scoped_id(organisation, row.id),
        path=row.path,
        headers=tuple(row.headers.items()),
        body=_bytes(f"{where}.body", row.body, findings),
        tokens=row.tokens,
        group=row.group or row.id,
        reward=reward and _reward(f"{where}.scoringEndpoint", reward, findings),
        expected_tokens=length_guess(row.headers),
    )


def _reward(where: str, row: _Reward, findings: list[Finding]) -> Reward:
    body = _bytes(f"{where}.body", row.body, findings)
    return Reward(row.id, row.hostname.lower(), row.path, body)


def _bytes(where: str, text: str, findings: list[Finding]) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except binascii.Error as error:
        findings.append(Finding(where, f"is no base64: {error}"))
        return b""


def _first(query: dict[str, list[str]], name: str) -> str:
    return query.get(name, [""])[0]


__all__ = [
    "OWN_ROOT",
    "READY_PATH",
    "LotCall",
    "LotCallKind",
    "read_call",
    "read_lot",
    "results_body",
]
