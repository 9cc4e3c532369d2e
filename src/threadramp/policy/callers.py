"""Who calls: the one decision that every way in asks, for calls, streams and lots."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from threadramp.fleet.model import Route
    from threadramp.fleet.organisations import Organisation, Organisations


class Denial(Enum):
    """Why a caller is turned away."""

    NO_KEY = "no key"
    UNKNOWN_KEY = "unknown key"


@dataclass(frozen=True)
class Caller:
    """Who calls.

    :param organisation: that it is known as; empty for nobody in particular, none where the
        configuration names no organisations at all
    :param priority: of that organisation, none if the route's counts
    """

    organisation: str | None = None
    priority: int | None = None

    def with_priority(self, route: Route) -> Route:
        """Return a route as it is for this caller: its priority goes before the route's."""
        if self.priority in (None, route.priority):
            return route
        return replace(route, priority=self.priority)


UNIDENTIFIED = Caller()  # where the configuration names no organisations
ANONYMOUS = Caller("")  # without a key, on a public route


def identify_caller(
    organisations: Organisations | None, key: bytes | None, public: bool
) -> Caller | Denial:
    """Return who calls, or why it is turned away.

    A public route needs no key. One that is sent all the same tells who calls if somebody holds it,
    since what is done for a caller is better known by its name; else it tells nothing.

    :param organisations: of the configuration in force, none if it names none
    :param key: as the caller sent it, empty if what it sent is no key, none if it sent nothing
    :param public: whether no key is needed
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


__all__ = ["UNIDENTIFIED", "ANONYMOUS", "Caller", "Denial", "identify_caller"]
