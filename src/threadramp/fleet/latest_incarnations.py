"""Which start of an endpoint is the newest that was ever told, by its id."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Iterable

    from threadramp.fleet.model import Endpoint

IDS_MOST = 8192  # three times the endpoints of the target size


class LatestIncarnations:
    """Keeps a start that is over from coming back in the place of the one that followed it.

    A process that was cut off or slow may still write its entry once behind the next start, and
    whoever has read that takes a fresh endpoint for the one that left. What a start told is
    remembered beyond its entry, which may lapse in between.
    """

    def __init__(self) -> None:
        self.latest: OrderedDict[str, Endpoint] = OrderedDict()
        self.listed: set[str] = set()
        self.told: dict[str, int] = {}

    def current(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return the endpoints, none in the place of a start that was told after it.

        Where an older start wrote over the entry of the newest, that one stays as it was.

        :param endpoints: as they are listed now
        """
        found = [self._newest(endpoint) for endpoint in endpoints]
        rows = [one for one in found if one is not None]
        self.listed = {one.instance for one in rows}
        return rows

    def _newest(self, endpoint: Endpoint) -> Endpoint | None:
        known = self.latest.get(endpoint.instance)
        if known is not None and endpoint.incarnation.started_before(known.incarnation):
            self._tell(endpoint, known)
            return known if known.instance in self.listed else None
        self.latest[endpoint.instance] = endpoint
        self.latest.move_to_end(endpoint.instance)
        while len(self.latest) > IDS_MOST:
            gone, _ = self.latest.popitem(last=False)
            self.told.pop(gone, None)
        return endpoint

    def _tell(self, older: Endpoint, known: Endpoint) -> None:
        """Log an older start once for each revision."""
        if self.told.get(older.instance) == older.revision:
            return
        self.told[older.instance] = older.revision
        log_state(
            "older_start_told",
            instance=older.instance,
            born=older.born,
            known=known.born,
            revision=older.revision,
        )


__all__ = ["LatestIncarnations"]
