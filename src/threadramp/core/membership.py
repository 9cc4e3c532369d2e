"""A gateway's view of the endpoints: declaration, newest report and availability."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from threadramp.config.resources import Endpoint
    from threadramp.wire.messages import EndpointReport

MISSES_UNTIL_UNRESPONSIVE = 2


@dataclass(frozen=True)
class Member:
    """One declared endpoint as this gateway sees it.

    :param report: the newest report of its sidecar
    :param reported_at: monotonic time of that report
    :param missed_heartbeats: heartbeats without a reply since then
    :param box_leaving: whether the box list marks its box as leaving
    """

    name: str
    spec: Endpoint
    report: EndpointReport | None = None
    reported_at: float = 0.0
    missed_heartbeats: int = 0
    box_leaving: bool = False

    @property
    def is_leaving(self) -> bool:
        """Return whether its declaration, its box or its sidecar's report marks it as leaving."""
        reported = self.report is not None and self.report.leaving
        return self.spec.drain or self.box_leaving or reported

    @property
    def is_available(self) -> bool:
        """Return whether new work may be sent to it."""
        has_recent_report = (
            self.report is not None and self.missed_heartbeats < MISSES_UNTIL_UNRESPONSIVE
        )
        return has_recent_report and not self.is_leaving


class Membership:
    """All endpoints that a gateway sends heartbeats to."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.leaving_boxes: frozenset[str] = frozenset()

    def declare(self, endpoints: dict[str, Endpoint]) -> None:
        """Replace the declared endpoints; a new sync address discards the report."""
        for name in [name for name in self.members if name not in endpoints]:
            del self.members[name]
        for name, spec in endpoints.items():
            held = self.members.get(name, Member(name, spec))
            moved = held.spec.sidecar_sync != spec.sidecar_sync
            member = Member(name, spec) if moved else replace(held, spec=spec)
            self.members[name] = replace(member, box_leaving=self._is_box_leaving(spec))

    def record_report(self, name: str, report: EndpointReport, now: float) -> None:
        """Record a sidecar's report."""
        member = self.members.get(name)
        if member is not None and report.endpoint == name:
            self.members[name] = replace(
                member, report=report, reported_at=now, missed_heartbeats=0
            )

    def record_missed_heartbeat(self, name: str) -> None:
        """Record a heartbeat without a reply."""
        member = self.members.get(name)
        if member is not None:
            self.members[name] = replace(member, missed_heartbeats=member.missed_heartbeats + 1)

    def set_leaving_boxes(self, boxes: frozenset[str]) -> None:
        """Replace the addresses of the boxes that the box list marks as leaving."""
        self.leaving_boxes = boxes
        for name, member in self.members.items():
            leaves = self._is_box_leaving(member.spec)
            self.members[name] = replace(member, box_leaving=leaves)

    def of_pool(self, pool: str, oldest: float) -> list[Member]:
        """Return the members of a pool.

        :param oldest: monotonic time; members whose report is older count as unresponsive
        """
        return [
            (
                member
                if member.reported_at >= oldest
                else replace(member, missed_heartbeats=MISSES_UNTIL_UNRESPONSIVE)
            )
            for member in self.members.values()
            if member.spec.pool == pool
        ]

    def _is_box_leaving(self, spec: Endpoint) -> bool:
        host, _, _ = spec.address.partition(":")
        return host in self.leaving_boxes or spec.address in self.leaving_boxes


__all__ = ["Member", "Membership"]
