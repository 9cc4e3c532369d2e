"""Calls to the platform that one box at a time makes for the whole fleet.

What is given up here must not arrive later: another box may have made its first call by then. So
each call goes on a connection of its own, whose bytes the kernel drops if they are not taken in
time; whether it may be sent at all is asked right before the bytes that make it whole.
"""

from __future__ import annotations

from contextlib import closing
from dataclasses import dataclass
from enum import Enum
from http.client import HTTPException
from typing import TYPE_CHECKING

import msgspec
from urllib3.exceptions import HTTPError

from threadramp.wire.late_bytes import TooLateError, body_in_time, drop_what_is_late
from threadramp.wire.response_limits import BoundedConnection

if TYPE_CHECKING:
    from collections.abc import Callable

USAGE_PATH = "/usage"
SCALE_PATH = "/scale"
HOLDER = "X-Duty-Holder"
NUMBER = "X-Fencing-Token"
CONNECT_S = 0.5
# With the time to connect less than half of the time within which holders may not take turns, so
# that no call of one holder is on its way when the next one makes its first.
ANSWER_S = 0.8


class DutyOutcome(Enum):
    """How a call went; ``UNKNOWN`` may have been taken."""

    TAKEN = "taken"
    TURNED_AWAY = "turned away"
    REFUSED = "refused"
    OLD_NUMBER = "old number"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class DutyAnswer:
    """What came of a call.

    :param detail: the status or the error, for the log
    """

    outcome: DutyOutcome
    detail: str


_OUTCOMES = {
    200: DutyOutcome.TAKEN,
    202: DutyOutcome.TAKEN,
    409: DutyOutcome.OLD_NUMBER,
    412: DutyOutcome.OLD_NUMBER,
    429: DutyOutcome.TURNED_AWAY,
    503: DutyOutcome.TURNED_AWAY,
}


class DutyCalls:
    """Makes the calls, each on a connection of its own that is closed at once.

    :param address: ``ip:port``
    :param holder: name of this box
    """

    def __init__(self, address: str, holder: str) -> None:
        host, _, port = address.partition(":")
        self.host = host
        self.port = int(port)
        self.holder = holder

    def usage(
        self, number: int, window: int, counts: dict[str, int], may_send: Callable[[], bool]
    ) -> DutyAnswer:
        """Tell how many requests began for each organisation in a window.

        :param number: of the right under which it is told
        :param may_send: whether the right is still proven
        """
        return self._call(USAGE_PATH, number, {"window": window, "counts": counts}, may_send)

    def scale(
        self,
        number: int,
        pool: str,
        data_centre: str,
        endpoints: int,
        may_send: Callable[[], bool],
    ) -> DutyAnswer:
        """Set how many endpoints a pool has in a data centre.

        :param number: of the right under which it is set
        :param may_send: whether the right is still proven
        """
        row = {"backend": pool, "zone": data_centre, "desired": endpoints}
        return self._call(SCALE_PATH, number, row, may_send)

    def _call(
        self, path: str, number: int, row: dict[str, object], may_send: Callable[[], bool]
    ) -> DutyAnswer:
        connection = BoundedConnection(self.host, self.port, timeout=CONNECT_S)
        with closing(connection):
            try:
                connection.connect()
            except (HTTPError, OSError) as error:
                return DutyAnswer(DutyOutcome.NOT_SENT, repr(error))
            drop_what_is_late(connection.sock, ANSWER_S)
            connection.sock.settimeout(ANSWER_S)
            connection.timeout = ANSWER_S
            try:
                self._send(connection, path, number, msgspec.json.encode(row), may_send)
                status = connection.getresponse().status
            except TooLateError:
                return DutyAnswer(DutyOutcome.NOT_SENT, "the proof of the right is too old")
            except (HTTPError, HTTPException, OSError) as error:
                return DutyAnswer(DutyOutcome.UNKNOWN, repr(error))
        return DutyAnswer(_OUTCOMES.get(status, DutyOutcome.REFUSED), str(status))

    def _send(
        self,
        connection: BoundedConnection,
        path: str,
        number: int,
        body: bytes,
        may_send: Callable[[], bool],
    ) -> None:
        headers = {
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
            "Connection": "close",
            HOLDER: self.holder,
            NUMBER: str(number),
        }
        pieces = body_in_time(body, may_send)
        connection.request("POST", path, pieces, headers, preload_content=False)


__all__ = ["DutyAnswer", "DutyCalls", "DutyOutcome"]
