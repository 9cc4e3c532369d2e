"""A gateway's view of the endpoints: declared, heard from, leaving."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from threadramp.config.resources import Endpoint
    from threadramp.wire.messages import EndpointReport

MISSES_UNTIL_SUSPECT = 2


@dataclass(frozen=True)
class Member:
    """One declared endpoint as this gateway sees it.

    :param report: the newest report of its sidecar
    :param heard: monotonic time of that report
    :param misses: beats without a reply since then
    :param box_leaving: whether the box list says that its box leaves
    """

    name: str
    spec: Endpoint
    report: EndpointReport | None = None
    heard: float = 0.0
    misses: int = 0
    box_leaving: bool = False

    @property
    def is_leaving(self) -> bool:
        """Return whether anybody says that it leaves; any one is enough."""
        reported = self.report is not None and self.report.leaving
        return self.spec.drain or self.box_leaving or reported

    @property
    def is_available(self) -> bool:
        """Return whether new work may be sent to it."""
        heard = self.report is not None and self.misses < MISSES_UNTIL_SUSPECT
        return heard and not self.is_leaving


class Membership:
    """All endpoints that a gateway beats to."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.leaving_boxes: frozenset[str] = frozenset()

    def declare(self, endpoints: dict[str, Endpoint]) -> None:
        """Take over the declared endpoints."""
        for name in [name for name in self.members if name not in endpoints]:
            del self.members[name]
        for name, spec in endpoints.items():
            held = self.members.get(name, Member(name, spec))
            moved = held.spec.sidecar_sync != spec.sidecar_sync
            member = Member(name, spec) if moved else replace(held, spec=spec)
            self.members[name] = replace(member, box_leaving=self._box_leaves(spec))

    def record_report(self, name: str, report: EndpointReport, now: float) -> None:
        """Note a sidecar's report."""
        member = self.members.get(name)
        if member is not None and report.endpoint == name:
            self.members[name] = replace(member, report=report, heard=now, misses=0)

    def record_missed_heartbeat(self, name: str) -> None:
        """Note a beat without a reply."""
        member = self.members.get(name)
        if member is not None:
            self.members[name] = replace(member, misses=member.misses + 1)

    def set_leaving_boxes(self, boxes: frozenset[str]) -> None:
        """Take over the addresses of the boxes that the box list calls leaving."""
        self.leaving_boxes = boxes
        for name, member in self.members.items():
            leaves = self._box_leaves(member.spec)
            self.members[name] = replace(member, box_leaving=leaves)

    def of_pool(self, pool: str, oldest: float) -> list[Member]:
        """Return the members of a pool.

        :param oldest: monotonic time before which a report no longer counts
        """
        return [
            member if member.heard >= oldest else replace(member, misses=MISSES_UNTIL_SUSPECT)
            for member in self.members.values()
            if member.spec.pool == pool
        ]

    def _box_leaves(self, spec: Endpoint) -> bool:
        host, _, _ = spec.address.partition(":")
        return host in self.leaving_boxes or spec.address in self.leaving_boxes


__all__ = ["Member", "Membership"]
