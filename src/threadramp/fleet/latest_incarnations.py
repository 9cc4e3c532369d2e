"""The newest incarnation of each endpoint that was ever reported, by instance id."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Iterable

    from threadramp.fleet.model import Endpoint

MAX_IDS = 8192  # three times the endpoints of the target size


class LatestIncarnations:
    """Prevents an ended incarnation from replacing the one that followed it.

    A process that was disconnected or slow may still write its entry after the next incarnation
    has written its own, so that readers would take a new endpoint for the one that left.
    Incarnations are remembered beyond their entries, which may expire in between.
    """

    def __init__(self) -> None:
        self.latest: OrderedDict[str, Endpoint] = OrderedDict()
        self.listed: set[str] = set()
        self.logged_revisions: dict[str, int] = {}

    def current(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return the endpoints, without incarnations that are older than the newest known one.

        Where an older one overwrote the entry of the newest, the newest is returned unchanged.

        :param endpoints: the currently listed ones
        """
        found = [self._newest(endpoint) for endpoint in endpoints]
        rows = [one for one in found if one is not None]
        self.listed = {one.instance for one in rows}
        return rows

    def _newest(self, endpoint: Endpoint) -> Endpoint | None:
        known = self.latest.get(endpoint.instance)
        if known is not None and endpoint.incarnation.started_before(known.incarnation):
            self._log_older(endpoint, known)
            return known if known.instance in self.listed else None
        self.latest[endpoint.instance] = endpoint
        self.latest.move_to_end(endpoint.instance)
        while len(self.latest) > MAX_IDS:
            evicted, _ = self.latest.popitem(last=False)
            self.logged_revisions.pop(evicted, None)
        return endpoint

    def _log_older(self, older: Endpoint, known: Endpoint) -> None:
        """Log an older incarnation once for each revision."""
        if self.logged_revisions.get(older.instance) == older.revision:
            return
        self.logged_revisions[older.instance] = older.revision
        log_state(
            "older_incarnation_ignored",
            instance=older.instance,
            born=older.born,
            known=known.born,
            revision=older.revision,
        )


__all__ = ["LatestIncarnations"]
