"""Which gateways watch the store: one a data centre, however many gateways there are.

Each answer to a watch is a priced call. What a second watcher in a data centre was for, that one is
lost or cut, the watcher of another data centre does as well: it watches anyway, and is asked only
whether it has a way. Two in each of six data centres made 660 answers of a calm day's 1,220 priced
calls (small twin of the largest sheet).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.policy.routing import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable

    from threadramp.fleet.fleet_view import Member

WATCHERS = 2  # that a gateway may follow: its own data centre's, and one to stand in for it


def watchers_in(data_centre: str, gateways: Iterable[Member]) -> list[Member]:
    """Return the gateways of a data centre that watch the store for all gateways there.

    One, where other data centres have watchers to stand in for it, else two.
    """
    rows = _by_data_centre(gateways)
    local = {one.name: one for one in rows.get(data_centre, ())}
    count = 1 if len(rows) > 1 else WATCHERS
    return [local[name] for name in rendezvous(data_centre, sorted(local))[:count]]


def leaders_of(data_centre: str, gateways: Iterable[Member]) -> list[Member]:
    """Return the gateways that others of a data centre may follow, its own watcher first.

    The one that stands in is the watcher of another data centre; each data centre has its own such
    one, so that no watcher stands in for many.
    """
    listed = list(gateways)
    own = watchers_in(data_centre, listed)
    others = sorted({one.data_centre for one in listed} - {data_centre})
    if not others:
        return own
    return [*own, *watchers_in(rendezvous(data_centre, others)[0], listed)]


def _by_data_centre(gateways: Iterable[Member]) -> dict[str, list[Member]]:
    rows: dict[str, list[Member]] = {}
    for one in gateways:
        rows.setdefault(one.data_centre, []).append(one)
    return rows


__all__ = ["WATCHERS", "leaders_of", "watchers_in"]
