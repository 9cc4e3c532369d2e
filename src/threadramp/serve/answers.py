"""A gateway's answers to other gateways and to sidecars."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from threadramp.lots.journal import LotMissingError
from threadramp.platform.store_model import StoreError
from threadramp.report.beliefs import Beliefs
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


OF_RUNNERS = (Beat, Collect, Drop, Find, HurryLoad, Submit)


class GatewayAnswers:
    """Answers peers."""

    def __init__(
        self,
        peers: Peers,
        owner: LotOwner,
        reader: LotReader,
        store_calls: StoreRelay,
        hosting: HostedRunners | None = None,
        beliefs: Beliefs | None = None,
        crashes: CrashSharing | None = None,
        duties: DutyLoop | None = None,
    ) -> None:
        self.beliefs = beliefs or Beliefs()
        self.hosting = hosting
        self.peers = peers
        self.owner = owner
        self.reader = reader
        self.store_calls = store_calls
        self.by_kind: dict[type, Callable[[Any], AnyReply]] = {
            MirrorBeat: lambda ask: peers.mirror_sync.copy_for(ask),
            MirrorChanges: self._take_changes,
            FindLot: lambda ask: reader.remote_lots.find_for_peer(ask),
            ReadLot: lambda ask: reader.page_for_peer(ask),
            ReadBody: lambda ask: reader.body_for_peer(ask),
            EndLot: self._end,
            EndKept: self._end_kept,
            Adopt: self._adopt,
            Inspect: self.beliefs.answer,
        }
        if store_calls is not None:
            self.by_kind[CallStore] = store_calls.answer
        if crashes is not None:
            self.by_kind[CrashesTold] = crashes.receive
            self.by_kind[Acquit] = crashes.acquit
        if duties is not None:
            self.by_kind[ReadUsage] = duties.collector.counter.answer
            self.by_kind[UsageLeft] = duties.receive_final_counts
        if hosting is not None:
            self.by_kind |= dict.fromkeys(OF_RUNNERS, hosting.handle)

    def handle(self, ask: AnyAsk) -> AnyReply:
        """Answer one question; what a gateway is not asked is answered with nothing."""
        answer = self.by_kind.get(type(ask))
        return answer(ask) if answer is not None else Done()

    def _take_changes(self, ask: MirrorChanges) -> Done:
        self.peers.mirror_sync.apply_changes(ask)
        return Done()

    def _end_kept(self, ask: EndKept) -> LotEnded:
        runs_here = self.owner.apply_end(ask.kept)
        return LotEnded(runs_here, runs_here)

    def _adopt(self, ask: Adopt) -> Done:
        self.owner.adopt(ask.kept)
        return Done()

    def _end(self, ask: EndLot) -> LotEnded:
        if self.owner.owned.get(ask.lot) is None:
            return LotEnded(False, False)
        try:
            return LotEnded(True, self.owner.end(ask.lot))
        except (StoreError, LotMissingError) as error:
            log_state("end_not_kept", lot=ask.lot, asker=ask.sender, error=str(error))
            return LotEnded(True, False)


__all__ = ["GatewayAnswers"]
