"""An engine's report and the orders that it takes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Annotated

import msgspec

REPORT_PATH = "/threadramp/report"
ORDER_PATH = "/threadramp/order"
LEAVING = "draining"


class OrderOutcome(Enum):
    """What came of an order; ``UNKNOWN`` may have been taken, or may be carried out later."""

    TAKEN = "taken"
    HOLDS_ALREADY = "holds already"
    CONFLICT = "conflict"
    OLD_FENCE = "old fence"
    OTHER_INSTANCE = "other instance"
    UNKNOWN_VERSION = "unknown version"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


_OUTCOMES = {
    202: OrderOutcome.TAKEN,
    200: OrderOutcome.HOLDS_ALREADY,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.OLD_FENCE,
    421: OrderOutcome.OTHER_INSTANCE,
    400: OrderOutcome.UNKNOWN_VERSION,
}


@dataclass(frozen=True)
class EngineReport:
    """What an engine says of itself.

    :param versions: of the weights, by model
    :param busy: whether it carries out an order
    :param orders: how many orders it took since it started
    :param leaving: whether it wants no new work
    :param born: when it started, in Unix milliseconds, 0 if it does not tell
    """

    versions: dict[str, int]
    busy: bool
    orders: int
    leaving: bool = False
    born: int = 0


_Count = Annotated[int, msgspec.Meta(ge=0)]


class _Model(msgspec.Struct):
    name: str
    version: _Count


class _Report(msgspec.Struct):
    """A report that lacks one of these is none: what it does not say would be taken as idle."""

    models: list[_Model]
    busy: bool
    seq: _Count
    state: str = ""
    born: _Count = 0


_decode = msgspec.json.Decoder(_Report).decode


def read_report(body: bytes) -> EngineReport:
    """Decode an engine's report.

    :raises ValueError: if it cannot be read
    """
    found = _decode(body)
    return EngineReport(
        versions={model.name: model.version for model in found.models},
        busy=found.busy,
        orders=found.seq,
        leaving=found.state == LEAVING,
        born=found.born,
    )


def order_body(model: str, version: int, holder: str, fence: int, orders_before: int) -> bytes:
    """Encode the order to change to a version of a model while samples go on.

    :param orders_before: the engine takes the order only as its next one after so many
    """
    return msgspec.json.encode(
        {
            "op": "version",
            "model": model,
            "version": version,
            "mode": "keep",  # running samples go on under the new version
            "holder": holder,
            "fence": fence,
            "expected": orders_before,
        }
    )


def read_order_answer(status: int) -> OrderOutcome:
    """Decode what an engine says of an order."""
    return _OUTCOMES.get(status, OrderOutcome.UNKNOWN)


__all__ = [
    "ORDER_PATH",
    "REPORT_PATH",
    "EngineReport",
    "OrderOutcome",
    "order_body",
    "read_order_answer",
    "read_report",
]
