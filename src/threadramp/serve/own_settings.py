"""Our own settings on the users' platform: what its settings file does not name."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from threadramp.config.findings import Finding, FindingsError
from threadramp.policy.listing_policy import LISTINGS

OWN_SETTINGS = Path("deploy", "threadramp.toml")  # processes begin at the root of the checkout


class WeightSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How engines are brought to the versions that trainers name.

    :param versions_apart: 1 if each engine loads each version, 2 if half of a pool loads the even
        and half the odd ones: half as many loads, and samples up to one version older
    """

    versions_apart: int = 1


class LotSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How lots are run.

    :param listing: when results are written, one of ``policy/listing_policy.py``
    """

    listing: str = "at_once"


class OwnSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All of them."""

    weights: WeightSettings = WeightSettings()
    lots: LotSettings = LotSettings()


def read_own_settings(path: Path = OWN_SETTINGS) -> OwnSettings:
    """Read the file; the usual values hold where there is none.

    :raises FindingsError: if it can not be read, with the place
    """
    try:
        text = path.read_text(encoding="utf-8")
    except FileNotFoundError:
        return OwnSettings()
    except (OSError, UnicodeDecodeError) as error:
        raise FindingsError([Finding(str(path), str(error))]) from error
    try:
        found = msgspec.convert(tomllib.loads(text), OwnSettings)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise FindingsError([Finding(str(path), str(error))]) from error
    if found.weights.versions_apart not in (1, 2):
        finding = Finding(
            "weights.versions_apart", "expected 1 or 2: lots allow the version before"
        )
        raise FindingsError([finding])
    if found.lots.listing not in LISTINGS:
        raise FindingsError([Finding("lots.listing", f"expected one of {sorted(LISTINGS)}")])
    return found


__all__ = ["OWN_SETTINGS", "LotSettings", "OwnSettings", "WeightSettings", "read_own_settings"]
