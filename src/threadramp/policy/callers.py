"""Identifies callers by their key, for calls, streams and lots alike."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from threadramp.fleet.model import Route
    from threadramp.fleet.organisations import Organisation, Organisations


class Denial(Enum):
    """Why a caller is rejected."""

    NO_KEY = "no key"
    UNKNOWN_KEY = "unknown key"


@dataclass(frozen=True)
class Caller:
    """The organisation that a request comes from.

    :param organisation: name of the organisation; empty for an anonymous caller, none if the
        configuration contains no organisations
    :param priority: priority of the organisation, none if the route's priority applies
    """

    organisation: str | None = None
    priority: int | None = None

    def with_priority(self, route: Route) -> Route:
        """Return the route with this caller's priority, which overrides the route's."""
        if self.priority in (None, route.priority):
            return route
        return replace(route, priority=self.priority)


UNIDENTIFIED = Caller()  # if the configuration contains no organisations
ANONYMOUS = Caller("")  # without a key, on a public route


def identify_caller(
    organisations: Organisations | None, key: bytes | None, public: bool
) -> Caller | Denial:
    """Return the caller, or why it is rejected.

    A public route needs no key. A known key is still used to identify the caller there, so that its
    requests are attributed to its organisation; an unknown key is ignored.

    :param organisations: of the active configuration, none if it contains none
    :param key: as the caller sent it, empty if malformed, none if it sent no key
    :param public: whether the route needs no key
    """
    if organisations is None:
        return UNIDENTIFIED
    holder = organisations.holder(key) if key else None
    if holder is not None:
        return _caller(holder)
    if public:
        return ANONYMOUS
    return Denial.NO_KEY if key is None else Denial.UNKNOWN_KEY


def _caller(organisation: Organisation) -> Caller:
    return Caller(organisation.name, organisation.priority)


__all__ = ["ANONYMOUS", "UNIDENTIFIED", "Caller", "Denial", "identify_caller"]
