"""Members that were listed or answered lately, though the list may lack them now.

A process may lose its place in the list without being told, and lists itself again only 2 s later.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from threadramp.fleet.fleet_view import Member


class RecentMembers:
    """Remembers members for a while; its methods may be called from any thread.

    :param kept_s: after the last listing or answer, whichever is later
    """

    def __init__(self, kept_s: float) -> None:
        self.kept_s = kept_s
        self.members: dict[str, Member] = {}
        self.listed_at: dict[str, float] = {}
        self.listed: tuple[Member, ...] = ()
        self.lock = threading.Lock()

    def note(self, listed: Iterable[Member], now: float) -> None:
        """Take note of the members that are listed now."""
        with self.lock:
            for member in listed:
                self.members[member.name] = member
                self.listed_at[member.name] = now

    def changed(self, listed: Iterable[Member], now: float) -> None:
        """Take note of a list that has just changed: what it lacks now was listed until now."""
        before, self.listed = self.listed, tuple(listed)
        self.note(before, now)
        self.note(self.listed, now)

    def known(self, heard: Mapping[str, float], now: float) -> list[Member]:
        """Return those that are remembered, in the order of their names.

        :param heard: time of the last answer, by address
        """
        with self.lock:
            for name, member in list(self.members.items()):
                last = max(self.listed_at[name], heard.get(member.address, 0.0))
                if last < now - self.kept_s:
                    del self.members[name]
                    del self.listed_at[name]
            return [self.members[name] for name in sorted(self.members)]


__all__ = ["RecentMembers"]
