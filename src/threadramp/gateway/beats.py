"""Background threads of a gateway: beats to sidecars, the watch, the box list, the marks."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from threadramp.gateway.state import now
from threadramp.platform.boxes import BoxListClient
from threadramp.platform.kv import ABSENT, KvUnavailableError
from threadramp.report.guard import start_loop
from threadramp.report.log import log_state
from threadramp.wire.messages import StepMark, SyncReply, SyncRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from threadramp.core.membership import Member
    from threadramp.gateway.state import GatewayState

WATCH_WAIT_S = 30.0
WATCH_RETRY_MIN_S = 0.2
WATCH_RETRY_MAX_S = 15.0
BOX_LIST_INTERVAL_S = 1.0
MARKS_INTERVAL_S = 1.0
MARKS_PREFIX = "threadramp/marks/"


@dataclass(frozen=True)
class PeerSync:
    """What was exchanged with one sidecar incarnation.

    :param marks_sent: this gateway's count of marks that the sidecar has
    :param marks_seen: the sidecar's count of marks that this gateway has
    """

    incarnation: str = ""
    revision: int = 0
    marks_sent: int = -1
    marks_seen: int = -1


class Beats:
    """Exchanges a small message with each sidecar of the subset, regularly and on change."""

    def __init__(self, state: GatewayState) -> None:
        self.state = state
        self.peers: dict[str, PeerSync] = {}

    def run(self) -> None:
        """Beat until the gateway stops."""
        while not self.state.stopped.is_set():
            self.state.wake.clear()
            if self.state.chain.revision == 0:
                learn_from(self.state, self.state.settings.seeds)
            self.beat()
            self.state.wake.wait(self.state.settings.sync_interval_s)

    def beat(self) -> None:
        """Beat once to every sidecar."""
        with self.state.lock:
            members = list(self.state.membership.members.values())
            marks_count = self.state.marks.change_count
            requests = {member.spec.sidecar_sync: self._request(member) for member in members}
        replies = self.state.sync.exchange(requests, self.state.settings.sync_timeout_s)
        for member in members:
            reply = replies.get(member.spec.sidecar_sync)
            if isinstance(reply, SyncReply):
                self._take(member, reply, marks_count)
            else:
                with self.state.lock:
                    self.state.membership.record_missed_heartbeat(member.name)
                self.state.metrics.count("beat_missed", member.name)

    def _request(self, member: Member) -> SyncRequest:
        peer = self.peers.get(member.name, PeerSync())
        chain = self.state.chain
        known = peer.revision if peer.incarnation else chain.revision
        changes, snapshot = chain.update_for(known)
        return SyncRequest(
            sender=self.state.settings.name,
            revision=chain.revision,
            changes=changes,
            snapshot=snapshot,
            marks=self.state.marks.since(peer.marks_sent),
            marks_seen=peer.marks_seen,
        )

    def _take(self, member: Member, reply: SyncReply, marks_count: int) -> None:
        report = reply.report
        self.state.configuration.apply(reply.changes, reply.snapshot)
        with self.state.lock:
            before = self.peers.get(member.name, PeerSync())
            same = before.incarnation == report.incarnation
            self.peers[member.name] = PeerSync(
                report.incarnation,
                report.revision,
                marks_count if same else -1,
                reply.marks_count if same else -1,
            )
            self.state.marks.merge(reply.marks)
            self.state.membership.record_report(member.name, report, now())
            behind = report.revision < self.state.chain.revision
        if not same:
            log_state("sidecar_seen", endpoint=member.name, incarnation=report.incarnation)
        if behind or not same:
            self.state.wake.set()


class Background:
    """Starts the background threads."""

    def __init__(self, state: GatewayState, box_list: str) -> None:
        self.state = state
        self.beats = Beats(state)
        self.box_list = BoxListClient(box_list) if box_list else None

    def start(self) -> None:
        """Start all threads."""
        loops: list[Callable[[], None]] = [self.beats.run, self._watch, self._write_marks]
        if self.box_list is not None:
            loops.append(self._read_boxes)
        for loop in loops:
            start_loop(loop, self.state.stopped)

    def _watch(self) -> None:
        """Watch the head; after an outage come back slowly and not all at once."""
        pause_s = WATCH_RETRY_MIN_S
        available = True
        while not self.state.stopped.is_set():
            try:
                self.state.configuration.watch(WATCH_WAIT_S if available else 0.0)
            except KvUnavailableError as error:
                self.state.metrics.count("kv_unavailable", "watch")
                if available:
                    log_state("kv_unavailable", error=str(error))
                available = False
                self.state.stopped.wait(pause_s * (0.5 + self.state.random.random()))
                pause_s = min(pause_s * 2, WATCH_RETRY_MAX_S)
                continue
            if not available:
                log_state("kv_available")
            available = True
            pause_s = WATCH_RETRY_MIN_S

    def _read_boxes(self) -> None:
        while not self.state.stopped.wait(BOX_LIST_INTERVAL_S):
            leaving = self.box_list.leaving()
            if leaving is None:
                self.state.metrics.count("box_list_unavailable")
                continue
            with self.state.lock:
                if leaving != self.state.membership.leaving_boxes:
                    log_state("boxes_leaving", boxes=sorted(leaving))
                self.state.membership.set_leaving_boxes(leaving)

    def _write_marks(self) -> None:
        """Write closed steps to the key-value service whenever it answers."""
        written = 0
        while not self.state.stopped.wait(MARKS_INTERVAL_S):
            with self.state.lock:
                count = self.state.marks.change_count
                marks = self.state.marks.since(written)
            try:
                for mark in marks:
                    write_mark(self.state, mark)
                written = count
            except KvUnavailableError:
                self.state.metrics.count("kv_unavailable", "marks")


def learn_from(state: GatewayState, addresses: Sequence[str]) -> None:
    """Ask some sidecars for the changes that this gateway lacks, without waiting for a beat.

    :param addresses: their sync addresses
    """
    request = SyncRequest(state.settings.name, state.chain.revision)
    replies = state.sync.exchange(dict.fromkeys(addresses, request), state.settings.sync_timeout_s)
    for reply in replies.values():
        if isinstance(reply, SyncReply):
            state.configuration.apply(reply.changes, reply.snapshot)


def catch_up_with(state: GatewayState, member: Member) -> None:
    """Exchange with one sidecar the changes that either side lacks, without waiting for a beat."""
    chain = state.chain
    with state.lock:
        known = 0 if member.report is None else member.report.revision
        changes, snapshot = chain.update_for(known)
        request = SyncRequest(state.settings.name, chain.revision, changes, snapshot)
    address = member.spec.sidecar_sync
    reply = state.sync.exchange({address: request}, state.settings.sync_timeout_s).get(address)
    if not isinstance(reply, SyncReply):
        log_state("catch_up_failed", endpoint=member.name, revision=chain.revision)
        return
    state.configuration.apply(reply.changes, reply.snapshot)
    with state.lock:
        state.membership.record_report(member.name, reply.report, now())
    log_state(
        "caught_up",
        endpoint=member.name,
        known=known,
        revision=chain.revision,
        sidecar_revision=reply.report.revision,
    )


def read_marks(state: GatewayState, trainer: str) -> None:
    """Take over what the key-value service knows of a trainer's closed steps.

    :raises KvUnavailableError: if it does not answer
    """
    held = state.kv.get(MARKS_PREFIX + trainer)
    _merge(state, held.value)


def write_mark(state: GatewayState, mark: StepMark) -> None:
    """Add a mark to what the key-value service knows.

    :raises KvUnavailableError: if it does not answer
    """
    key = MARKS_PREFIX + mark.trainer
    expected = ABSENT
    known: list[StepMark] = []
    while True:
        others = [item for item in known if item.run != mark.run]
        value = msgspec.json.encode([*others, mark])
        result = state.kv.swap(key, expected, value)
        if result.written:
            return
        known = _merge(state, result.current.value)
        if mark in known:
            return
        with state.lock:
            mark = state.marks.marks[mark.trainer, mark.run]
        expected = result.current.version


def _merge(state: GatewayState, value: bytes) -> list[StepMark]:
    marks = msgspec.json.decode(value, type=list[StepMark]) if value else []
    with state.lock:
        state.marks.merge(marks)
    return marks


__all__ = ["Background", "catch_up_with", "learn_from", "read_marks", "write_mark"]
