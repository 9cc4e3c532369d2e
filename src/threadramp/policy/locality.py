"""Prefers endpoints in the gateway's own region while one of them has free slots."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from threadramp.config.resources import DataCentre
    from threadramp.core.membership import Member


def prefer_region(
    members: Sequence[Member], home: str, data_centres: Mapping[str, DataCentre]
) -> Sequence[Member]:
    """Return the members in this gateway's region if one of them has free slots, else all.

    :param home: data centre of this gateway; an undeclared one has no region
    """
    own = data_centres.get(home)
    if own is None:
        return members
    near = [member for member in members if _region(member, data_centres) == own.region]
    return near if any(_has_free_slots(member) for member in near) else members


def _region(member: Member, data_centres: Mapping[str, DataCentre]) -> str | None:
    data_centre = data_centres.get(member.spec.data_centre)
    return None if data_centre is None else data_centre.region


def _has_free_slots(member: Member) -> bool:
    report = member.report
    return report is not None and report.running + report.queued < report.slots


__all__ = ["prefer_region"]
