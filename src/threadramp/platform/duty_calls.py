"""Calls to the platform that one box at a time makes for the whole fleet."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec
from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

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

    def usage(self, number: int, window: int, counts: dict[str, int]) -> DutyAnswer:
        """Tell how many requests began for each organisation in a window.

        :param number: of the right under which it is told
        """
        return self._call(USAGE_PATH, number, {"window": window, "counts": counts})

    def scale(self, number: int, pool: str, data_centre: str, endpoints: int) -> DutyAnswer:
        """Set how many endpoints a pool has in a data centre.

        :param number: of the right under which it is set
        """
        row = {"backend": pool, "zone": data_centre, "desired": endpoints}
        return self._call(SCALE_PATH, number, row)

    def _call(self, path: str, number: int, row: dict[str, object]) -> DutyAnswer:
        headers = {
            "Content-Type": "application/json",
            "Connection": "close",
            HOLDER: self.holder,
            NUMBER: str(number),
        }
        timeout = Timeout(connect=CONNECT_S, read=ANSWER_S, total=CONNECT_S + ANSWER_S)
        try:
            with HTTPConnectionPool(self.host, self.port, retries=False) as pool:
                body = msgspec.json.encode(row)
                answer = pool.urlopen("POST", path, body=body, headers=headers, timeout=timeout)
        except (NewConnectionError, ConnectTimeoutError) as error:
            return DutyAnswer(DutyOutcome.NOT_SENT, repr(error))
        except (HTTPError, OSError) as error:
            return DutyAnswer(DutyOutcome.UNKNOWN, repr(error))
        outcome = _OUTCOMES.get(answer.status, DutyOutcome.REFUSED)
        return DutyAnswer(outcome, str(answer.status))


__all__ = ["DutyAnswer", "DutyCalls", "DutyOutcome"]
