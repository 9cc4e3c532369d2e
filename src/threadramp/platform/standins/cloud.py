"""Stand-in for the platform's interface to calls that one box at a time makes."""

from __future__ import annotations

import time
from typing import Any, ClassVar

from threadramp.standins.server import STANDINS, Request, Response, StandIn


@STANDINS.register("cloud")
class PlatformCloud(StandIn):
    """Takes reports of usage and the sizes of pools, and remembers all of them.

    Switches: ``turn_away`` answers that many calls 429, ``lose`` takes that many without an answer,
    ``hold_s`` answers only after so long.
    """

    faults: ClassVar[dict[str, Any]] = {"turn_away": 0, "lose": 0, "hold_s": 0.0}

    def __init__(self, options: dict[str, Any]) -> None:
        super().__init__(options)
        self.taken: list[dict[str, Any]] = []

    def record(self) -> list[dict[str, Any]]:
        """Return the calls that were taken."""
        return self.taken

    def answer(self, request: Request) -> Response:
        """Take a call."""
        if request.method != "POST" or request.path not in (("usage",), ("scale",)):
            return Response(404)
        if self.use_up("turn_away"):
            return Response(429)
        with self.lock:
            self.taken.append(
                {
                    "duty": request.path[0],
                    "holder": request.headers["x-duty-holder"],
                    "number": int(request.headers["x-fencing-token"]),
                    "at": time.time(),
                    **request.json(),
                }
            )
        if self.use_up("lose"):
            return Response(200, b"", cut=True)
        time.sleep(self.faults["hold_s"])
        return Response(200)

    def broken(self, apart_s: float) -> list[str]:
        """Return what must not have happened with the calls that were taken."""
        with self.lock:
            rows = list(self.taken)
        return [*_differing_windows(rows), *_numbers_out_of_order(rows), *_turns(rows, apart_s)]


def _differing_windows(rows: list[dict[str, Any]]) -> list[str]:
    counts: dict[int, dict[str, int]] = {}
    found = []
    for row in rows:
        if row["duty"] != "usage":
            continue
        if counts.setdefault(row["window"], row["counts"]) != row["counts"]:
            found.append(f"window {row['window']} was reported with other counts")
    return found


def _numbers_out_of_order(rows: list[dict[str, Any]]) -> list[str]:
    found = []
    holders: dict[int, str] = {}
    highest = 0
    for row in rows:
        if row["number"] < highest:
            found.append(f"{row['number']} by {row['holder']} after {highest}")
        highest = max(highest, row["number"])
        if holders.setdefault(row["number"], row["holder"]) != row["holder"]:
            found.append(f"{row['number']} is of two holders")
    return found


def _turns(rows: list[dict[str, Any]], apart_s: float) -> list[str]:
    """Return where a box made a call, then another one, then the first again within a time."""
    found = []
    last: dict[str, float] = {}
    for before, row in zip([None, *rows], rows, strict=False):
        changed = before is not None and before["holder"] != row["holder"]
        if changed and row["at"] - last.get(row["holder"], float("-inf")) < apart_s:
            found.append(f"{row['holder']} took turns with {before['holder']}")
        last[row["holder"]] = row["at"]
    return found


__all__ = ["PlatformCloud"]
