"""Detects gateways that are listed but do not answer heartbeats."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from threadramp.fleet.fleet_view import Member

MAX_MISSED_BEATS = 4  # consecutive, 0.5 s apart: about as long as a process may freeze


class UnresponsiveGateways:
    """Counts for each gateway process the consecutive heartbeats that it did not answer."""

    def __init__(self) -> None:
        self.missed: dict[tuple[str, str], int] = {}

    def is_unresponsive(self, member: Member) -> bool:
        """Return whether a gateway counts as failed."""
        return self.missed.get(_process(member), 0) >= MAX_MISSED_BEATS

    def record(
        self, asked: Iterable[Member], answered: Collection[str], listed: Iterable[Member]
    ) -> None:
        """Record which gateways answered a heartbeat.

        :param asked: gateways that it was sent to
        :param answered: addresses of those that answered
        :param listed: all gateways in the member list; others are forgotten
        """
        for process in self.missed.keys() - {_process(one) for one in listed}:
            del self.missed[process]
        for member in asked:
            if member.address in answered:
                self.missed.pop(_process(member), None)
            else:
                self._count(member)

    def _count(self, member: Member) -> None:
        count = self.missed.get(_process(member), 0) + 1
        self.missed[_process(member)] = count
        if count == MAX_MISSED_BEATS:
            log_state("gateway_unresponsive", gateway=member.name, missed=MAX_MISSED_BEATS)


def _process(member: Member) -> tuple[str, str]:
    return (member.name, member.incarnation)


__all__ = ["MAX_MISSED_BEATS", "UnresponsiveGateways"]
