"""``threadramp inspect`` and ``acquit``: what processes on the platform believe of one thing."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option

from threadramp.cli.api import ExitCode, command, fail
from threadramp.report.inspect_handler import KINDS
from threadramp.wire.fleet import Acquit, Believed, Fact, Inspect, decode_reply
from threadramp.wire.packing import Packing
from threadramp.wire.sync import SyncClient

if TYPE_CHECKING:
    from collections.abc import Iterable

    from threadramp.wire.fleet import AnyAsk

TIMEOUT_S = 2.0
COLUMNS = ["what", "believed", "source", "seconds ago"]


@command
class InspectCommand(Command):
    """Ask processes what they believe."""

    name = "inspect"
    description = f"Show what processes on the platform believe of one {', '.join(KINDS)}."
    arguments = [
        argument("kind", f"One of {', '.join(KINDS)}."),
        argument("thing", "Its id, or an endpoint's address; anything for what there is one of."),
        argument("processes", "Where they answer peers, ip:port each.", multiple=True),
    ]
    options = [option("json", None, "Print JSON.")]

    def handle(self) -> int:
        """Ask each process and print a table for each."""
        kind, thing = self.argument("kind"), self.argument("thing")
        if kind not in KINDS:
            return fail(self, f"no kind {kind!r}", f"use {', '.join(KINDS)}", ExitCode.USAGE)
        addresses = self.argument("processes")
        return _ask_all(self, {one: Inspect("operator", "", kind, thing) for one in addresses})


@command
class AcquitCommand(Command):
    """Let a request go on."""

    name = "acquit"
    description = "Let a request go on that is held back since endpoints ended under it."
    arguments = [
        argument("request", "Its fingerprint, as the gateways' lines name it."),
        argument("gateways", "Where they answer peers, ip:port; one tells all.", multiple=True),
    ]
    options = [option("json", None, "Print JSON.")]

    def handle(self) -> int:
        """Tell each gateway that is named."""
        ask = Acquit("operator", "", self.argument("request"))
        return _ask_all(self, dict.fromkeys(self.argument("gateways"), ask))


def _ask_all(command: Command, asks: dict[str, AnyAsk]) -> int:
    """Ask processes, by address, and print a table for each answer."""
    client = SyncClient(Packing(), decode_reply)
    replies = client.exchange(asks, TIMEOUT_S)
    client.close()
    for address in asks:
        _show(command, address, replies.get(address))
    return ExitCode.OK if len(replies) == len(asks) else ExitCode.UNREACHABLE


def _show(command: Command, address: str, reply: object) -> None:
    if not isinstance(reply, Believed):
        command.line_error(f"{address}: no answer in {TIMEOUT_S} s")
        return
    if command.option("json"):
        rows = [msgspec.structs.asdict(fact) for fact in reply.facts]
        command.line(msgspec.json.encode({"process": address, "facts": rows}).decode())
        return
    command.line(address)
    command.table(COLUMNS, list(_rows(reply.facts))).render()


def _rows(facts: Iterable[Fact]) -> Iterable[list[str]]:
    for fact in facts:
        ago = "-" if fact.ago_s is None else f"{fact.ago_s:.2f}"
        yield [fact.what, fact.value, fact.source or "-", ago]


__all__ = ["AcquitCommand", "InspectCommand"]
