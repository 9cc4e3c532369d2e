"""What the text of a sample depends on, apart from the weights and earlier events.

Trainers choose the ids of samples, and a later lot may use an id again for another request. Text of
an earlier run belongs to a sample only if all of this is equal.
"""

from __future__ import annotations

from dataclasses import astuple, dataclass
from hashlib import sha256
from typing import TYPE_CHECKING, Protocol

import msgspec

from threadramp.platform.headers import prompt_headers

if TYPE_CHECKING:
    from threadramp.lots.model import Sample, SavedText


class SampleSource(Protocol):
    """A lot, or an order to run one of its samples."""

    host: str
    model: str
    organisation: str | None


@dataclass(frozen=True)
class TextInputs:
    """The request of a sample as far as an engine's text depends on it."""

    model: str
    host: str
    organisation: str | None
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @classmethod
    def of(cls, source: SampleSource, sample: Sample) -> TextInputs:
        """Return the inputs of a sample.

        :param source: its lot, or an order to run it
        """
        return cls(
            model=source.model,
            host=source.host,
            organisation=source.organisation,
            path=sample.path,
            headers=prompt_headers(sample.headers, source.organisation),
            body=sample.body,
        )

    @property
    def digest(self) -> bytes:
        """Return a digest that differs if any of the inputs does."""
        return sha256(msgspec.msgpack.encode(astuple(self))).digest()


def belongs_to(text: SavedText, source: SampleSource, sample: Sample) -> bool:
    """Return whether a text was generated for a sample's request.

    Records of a process that did not write the digest go by the ids of their lot and sample alone.
    """
    if text.sample != sample.id:
        return False
    return not text.inputs or text.inputs == TextInputs.of(source, sample).digest


__all__ = ["SampleSource", "TextInputs", "belongs_to"]
