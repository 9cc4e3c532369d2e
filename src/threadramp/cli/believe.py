"""``threadramp inspect``: what a process on the platform believes of one thing."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option

from threadramp.cli.api import ExitCode, command, fail
from threadramp.report.beliefs import KINDS
from threadramp.wire.fleet import Believed, Fact, Inspect, decode_reply
from threadramp.wire.packing import Packing
from threadramp.wire.sync import SyncClient

if TYPE_CHECKING:
    from collections.abc import Iterable

TIMEOUT_S = 2.0
COLUMNS = ["what", "believed", "source", "seconds ago"]


@command
class InspectCommand(Command):
    """Ask processes what they believe."""

    name = "inspect"
    description = "Show what processes on the platform believe of an endpoint, a lot or a member."
    arguments = [
        argument("kind", f"One of {', '.join(KINDS)}."),
        argument("thing", "Its id, or an endpoint's address."),
        argument("processes", "Where they answer peers, ip:port each.", multiple=True),
    ]
    options = [option("json", None, "Print JSON.")]

    def handle(self) -> int:
        """Ask each process and print a table for each."""
        kind, thing = self.argument("kind"), self.argument("thing")
        if kind not in KINDS:
            return fail(self, f"no kind {kind!r}", f"use {', '.join(KINDS)}", ExitCode.USAGE)
        addresses = self.argument("processes")
        asks = {address: Inspect("operator", "", kind, thing) for address in addresses}
        client = SyncClient(Packing(), decode_reply)
        replies = client.exchange(asks, TIMEOUT_S)
        client.close()
        for address in addresses:
            self._show(address, replies.get(address))
        return ExitCode.OK if len(replies) == len(asks) else ExitCode.UNREACHABLE

    def _show(self, address: str, reply: object) -> None:
        if not isinstance(reply, Believed):
            self.line_error(f"{address}: no answer in {TIMEOUT_S} s")
            return
        if self.option("json"):
            rows = [msgspec.structs.asdict(fact) for fact in reply.facts]
            self.line(msgspec.json.encode({"process": address, "facts": rows}).decode())
            return
        self.line(address)
        self.table(COLUMNS, list(_rows(reply.facts))).render()


def _rows(facts: Iterable[Fact]) -> Iterable[list[str]]:
    for fact in facts:
        ago = "-" if fact.ago_s is None else f"{fact.ago_s:.2f}"
        yield [fact.what, fact.value, fact.source or "-", ago]


__all__ = ["InspectCommand"]
