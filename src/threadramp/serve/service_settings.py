"""Settings of threadramp itself: those that the platform's settings file does not hold."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from threadramp.config.findings import Finding, FindingsError
from threadramp.policy.concurrency_limit import LIMITS, UNLIMITED
from threadramp.policy.endpoint_choice import CHOICES
from threadramp.policy.listing_policy import LISTINGS
from threadramp.policy.sample_order import ORDERS

SETTINGS_FILE = Path("deploy", "threadramp.toml")  # processes start at the root of the checkout


class WeightSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How engines load the versions that trainers publish.

    :param versions_apart: 1 if each engine loads every version, 2 if half of a pool loads the even
        and half the odd versions: half as many loads, but samples may be one version older
    """

    versions_apart: int = 1


class LotSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the results of lots are stored.

    :param listing: when results are written to the store, a policy of ``policy/listing_policy.py``
    :param order: which waiting sample goes first, a policy of ``policy/sample_order.py``
    """

    listing: str = "at_once"
    order: str = "due"


class AdmissionSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How calls are admitted to pools.

    :param limit: how the calls open at a pool are limited, a policy of
        ``policy/concurrency_limit.py``; ``none`` sends each call at once
    :param choice: how the endpoint of a request is chosen, a policy of
        ``policy/endpoint_choice.py``
    :param weights: share of organisations under overload, by name; others have weight 1
    """

    limit: str = UNLIMITED
    choice: str = "open_requests"
    weights: dict[str, float] = {}


class ServiceSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of threadramp itself."""

    weights: WeightSettings = WeightSettings()
    lots: LotSettings = LotSettings()
    admission: AdmissionSettings = AdmissionSettings()


def read_service_settings(path: Path = SETTINGS_FILE) -> ServiceSettings:
    """Read the settings file; the defaults apply if it does not exist.

    :raises FindingsError: if the file can't be read or a value is invalid; names the file or key
    """
    try:
        text = path.read_text(encoding="utf-8")
    except FileNotFoundError:
        return ServiceSettings()
    except (OSError, UnicodeDecodeError) as error:
        raise FindingsError([Finding(str(path), str(error))]) from error
    try:
        settings = msgspec.convert(tomllib.loads(text), ServiceSettings)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise FindingsError([Finding(str(path), str(error))]) from error
    if settings.weights.versions_apart not in (1, 2):
        finding = Finding(
            "weights.versions_apart", "expected 1 or 2: lots accept samples at most one version old"
        )
        raise FindingsError([finding])
    if settings.lots.listing not in LISTINGS:
        raise FindingsError([Finding("lots.listing", f"expected one of {sorted(LISTINGS)}")])
    if settings.lots.order not in ORDERS:
        raise FindingsError([Finding("lots.order", f"expected one of {sorted(ORDERS)}")])
    if settings.admission.limit not in LIMITS:
        raise FindingsError([Finding("admission.limit", f"expected one of {sorted(LIMITS)}")])
    if settings.admission.choice not in CHOICES:
        raise FindingsError([Finding("admission.choice", f"expected one of {sorted(CHOICES)}")])
    if any(weight <= 0 for weight in settings.admission.weights.values()):
        raise FindingsError([Finding("admission.weights", "expected numbers above 0")])
    return settings


__all__ = [
    "SETTINGS_FILE",
    "AdmissionSettings",
    "LotSettings",
    "ServiceSettings",
    "WeightSettings",
    "read_service_settings",
]
