"""The rows of the operator's configuration that name organisations and their keys."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec

from threadramp.fleet.organisations import FaultyRow, Organisation, Organisations, digest

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from threadramp.fleet.organisations import Row

NAME_MOST = 200  # characters; it goes into a header
KEY_MOST = 4096  # characters; callers send a key in a head of 16 KB
PRIORITY_MOST = 2**31
# A header carries visible ASCII and single blanks between; anything else would not arrive as it is.
_NAME = r"\A[!-~]+( [!-~]+)*\Z"


class _Row(msgspec.Struct):
    name: Annotated[str, msgspec.Meta(min_length=1, max_length=NAME_MOST, pattern=_NAME)]
    apiKeys: list[  # noqa: N815 - the platform's spelling
        Annotated[str, msgspec.Meta(min_length=1, max_length=KEY_MOST, pattern=r"\A[!-~]+\Z")]
    ] = []
    priority: Annotated[int, msgspec.Meta(ge=0, le=PRIORITY_MOST)] | None = None


_decode = msgspec.json.Decoder(_Row).decode


def read_organisations(rows: list[msgspec.Raw], before: Organisations | None) -> Organisations:
    """Decode the organisations of a configuration, those rows alone that were not there before."""
    return Organisations.from_rows(_rows(rows, before or Organisations()), before)


def _rows(rows: Iterable[msgspec.Raw], before: Organisations) -> Iterator[tuple[bytes, Row]]:
    for place, raw in enumerate(rows):
        row_digest = digest(raw)
        known = before.rows.get(row_digest)
        yield row_digest, known if isinstance(known, Organisation) else _row(f"[{place}]", raw)


def _row(place: str, raw: msgspec.Raw) -> Row:
    try:
        found = _decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return FaultyRow(place, str(error))  # it names the field that is wrong, never its value
    keys = tuple(dict.fromkeys(digest(key.encode()) for key in found.apiKeys))
    return Organisation(found.name, keys, found.priority)


__all__ = ["read_organisations"]
