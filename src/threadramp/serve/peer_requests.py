"""Handles the requests that other gateways and sidecars send to a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from threadramp.platform.store_model import StoreError, StoreRefusedError
from threadramp.report.inspect_handler import InspectHandler
from threadramp.report.log import log_state
from threadramp.wire.fleet import (
    Acquit,
    Adopt,
    Beat,
    CallStore,
    Collect,
    CrashesTold,
    Done,
    Drop,
    EndKept,
    EndLot,
    Find,
    FindLot,
    HurryLoad,
    Inspect,
    LotEnded,
    MirrorBeat,
    MirrorChanges,
    ReadBody,
    ReadLot,
    ReadUsage,
    Submit,
    TakeUp,
    UsageLeft,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.duties.duty_loop import DutyLoop
    from threadramp.fleet.crash_sharing import CrashSharing
    from threadramp.fleet.peers import Peers
    from threadramp.fleet.relaying import StoreRelay
    from threadramp.lots.owner import LotOwner
    from threadramp.lots.reading import LotReader
    from threadramp.runner.hosting import HostedRunners
    from threadramp.wire.fleet import AnyAsk, AnyReply


RUNNER_REQUESTS = (Beat, Collect, Drop, Find, HurryLoad, Submit)


class PeerRequestHandler:
    """Dispatches each request of a peer to the part of the gateway that handles it.

    :param store_relay: passes store calls on for peers that can't reach the store themselves
    :param hosting: runs samples of engines without a sidecar; requests for runners go there
    """

    def __init__(
        self,
        peers: Peers,
        owner: LotOwner,
        reader: LotReader,
        store_relay: StoreRelay,
        hosting: HostedRunners | None = None,
        inspect_handler: InspectHandler | None = None,
        crashes: CrashSharing | None = None,
        duties: DutyLoop | None = None,
    ) -> None:
        self.inspect_handler = inspect_handler or InspectHandler()
        self.hosting = hosting
        self.peers = peers
        self.owner = owner
        self.reader = reader
        self.store_relay = store_relay
        self.handlers: dict[type, Callable[[Any], AnyReply]] = {
            MirrorBeat: lambda request: peers.mirror_sync.copy_for(request),
            MirrorChanges: self._apply_changes,
            FindLot: lambda request: reader.remote_lots.find_for_peer(request),
            ReadLot: lambda request: reader.page_for_peer(request),
            ReadBody: lambda request: reader.body_for_peer(request),
            EndLot: self._end_lot,
            EndKept: self._end_stored_lot,
            Adopt: self._adopt,
            TakeUp: self._take_up,
            Inspect: self.inspect_handler.handle,
        }
        if store_relay is not None:
            self.handlers[CallStore] = store_relay.answer
        if crashes is not None:
            self.handlers[CrashesTold] = crashes.receive
            self.handlers[Acquit] = crashes.acquit
        if duties is not None:
            self.handlers[ReadUsage] = duties.collector.counter.answer
            self.handlers[UsageLeft] = duties.receive_final_counts
        if hosting is not None:
            self.handlers |= dict.fromkeys(RUNNER_REQUESTS, hosting.handle)

    def handle(self, request: AnyAsk) -> AnyReply:
        """Handle one request; a kind without a handler gets an empty ``Done``."""
        handler = self.handlers.get(type(request))
        return handler(request) if handler is not None else Done()

    def _apply_changes(self, request: MirrorChanges) -> Done:
        self.peers.mirror_sync.apply_changes(request)
        return Done()

    def _end_stored_lot(self, request: EndKept) -> LotEnded:
        runs_here = self.owner.apply_end(request.kept)
        return LotEnded(runs_here, runs_here)

    def _adopt(self, request: Adopt) -> Done:
        self.owner.adopt(request.kept, request.failures)
        return Done()

    def _take_up(self, request: TakeUp) -> Done:
        self.owner.take_up_if_named(request.lot)
        return Done()

    def _end_lot(self, request: EndLot) -> LotEnded:
        if self.owner.owned.get(request.lot) is None:
            return LotEnded(False, False)
        try:
            return LotEnded(True, self.owner.end(request.lot))
        except StoreError as error:
            is_refused = isinstance(error, StoreRefusedError)
            log_state(
                "lot_end_not_stored",
                lot=request.lot,
                asker=request.sender,
                may_be_done=not is_refused,
                error=str(error),
            )
            return LotEnded(True, False, is_refused)


__all__ = ["PeerRequestHandler"]
