"""Members that were recently listed or replied, although the member list may lack them now.

A process may be dropped from the member list without notice, and registers again only 2 s later.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from threadramp.fleet.fleet_view import Member


class RecentMembers:
    """Remembers members for a while; thread-safe.

    :param retention_s: time after the last listing or reply, whichever is later
    """

    def __init__(self, retention_s: float) -> None:
        self.retention_s = retention_s
        self.members: dict[str, Member] = {}
        self.listed_at: dict[str, float] = {}
        self.listed: tuple[Member, ...] = ()
        self.lock = threading.Lock()

    def record(self, listed: Iterable[Member], now: float) -> None:
        """Record the members that are listed now."""
        with self.lock:
            for member in listed:
                self.members[member.name] = member
                self.listed_at[member.name] = now

    def record_change(self, listed: Iterable[Member], now: float) -> None:
        """Record a changed list: members that it no longer has were listed until now."""
        before, self.listed = self.listed, tuple(listed)
        self.record(before, now)
        self.record(self.listed, now)

    def current(self, last_reply_at: Mapping[str, float], now: float) -> list[Member]:
        """Return the remembered members, sorted by name.

        :param last_reply_at: time of the last reply, by address
        """
        with self.lock:
            for name, member in list(self.members.items()):
                last = max(self.listed_at[name], last_reply_at.get(member.address, 0.0))
                if last < now - self.retention_s:
                    del self.members[name]
                    del self.listed_at[name]
            return [self.members[name] for name in sorted(self.members)]


__all__ = ["RecentMembers"]
