"""Checks the rules for the orders that one engine receives from the holders of its lock."""

from __future__ import annotations

from itertools import pairwise
from typing import Any

# A holder may not order again within this time if another holder ordered in between.
MIN_ALTERNATION_S = 3.0


def order_violations(
    arrived: list[dict[str, Any]], min_alternation_s: float = MIN_ALTERNATION_S
) -> list[str]:
    """Return the violations in the orders of one engine.

    :param arrived: all orders by arrival, including refused ones
    :param min_alternation_s: time within which a holder may not order again after another holder
    """
    return [*_token_violations(arrived), *_alternating_holders(arrived, min_alternation_s)]


def _token_violations(arrived: list[dict[str, Any]]) -> list[str]:
    found = []
    for before, after in pairwise(arrived):
        if after["fence"] < before["fence"]:
            found.append(
                f"lower fencing token after a higher one: {_describe(before)},"
                f" then {_describe(after)}"
            )
        if after["fence"] == before["fence"] and after["holder"] != before["holder"]:
            found.append(
                f"two holders with the same fencing token: {_describe(before)},"
                f" then {_describe(after)}"
            )
    return found


def _alternating_holders(arrived: list[dict[str, Any]], min_alternation_s: float) -> list[str]:
    """Return where a holder ordered again too soon after another holder's order."""
    found = []
    last: dict[str, dict[str, Any]] = {}
    for index, order in enumerate(arrived):
        previous = last.get(order["holder"])
        others = [each for each in arrived[:index] if each["holder"] != order["holder"]]
        between = previous is not None and others and others[-1]["at"] > previous["at"]
        if between and order["at"] - previous["at"] < min_alternation_s:
            found.append(
                f"alternating holders: {_describe(previous)}, {_describe(others[-1])},"
                f" {_describe(order)}"
            )
        last[order["holder"]] = order
    return found


def _describe(order: dict[str, Any]) -> str:
    return (
        f"{order['holder']} fencing token {order['fence']} version {order['version']}"
        f" at {order['at']:.2f} ({order['status']})"
    )


__all__ = ["MIN_ALTERNATION_S", "order_violations"]
