"""Which gateways leave questions unanswered though they are listed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from threadramp.fleet.fleet_view import Member

MAX_MISSED_BEATS = 4  # unanswered in a row, 0.5 s apart: about the time in which a freeze is over


class UnresponsiveGateways:
    """Counts for each gateway's process the beats in a row that it did not answer."""

    def __init__(self) -> None:
        self.beats: dict[tuple[str, str], int] = {}

    def is_unresponsive(self, member: Member) -> bool:
        """Return whether a gateway counts as gone."""
        return self.beats.get(_process(member), 0) >= MAX_MISSED_BEATS

    def note(
        self, asked: Iterable[Member], answered: Collection[str], listed: Iterable[Member]
    ) -> None:
        """Note who answered a beat.

        :param answered: addresses
        :param listed: all gateways in the list of members; others are forgotten
        """
        for gone in self.beats.keys() - {_process(one) for one in listed}:
            del self.beats[gone]
        for member in asked:
            if member.address in answered:
                self.beats.pop(_process(member), None)
            else:
                self._count(member)

    def _count(self, member: Member) -> None:
        count = self.beats.get(_process(member), 0) + 1
        self.beats[_process(member)] = count
        if count == MAX_MISSED_BEATS:
            log_state("gateway_not_answering", gateway=member.name, beats=MAX_MISSED_BEATS)


def _process(member: Member) -> tuple[str, str]:
    return (member.name, member.incarnation)


__all__ = ["MAX_MISSED_BEATS", "UnresponsiveGateways"]
