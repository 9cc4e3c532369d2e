"""Talks to the sidecars of engines about the samples of the lots that this gateway owns."""

from __future__ import annotations

import secrets
import threading
from typing import TYPE_CHECKING

from threadramp.core.lot_book import Phase
from threadramp.fleet.runner_members import RunnerMembers
from threadramp.lots.hurrying import HurriedLoads
from threadramp.lots.moving import SampleMoves
from threadramp.lots.news import RunnerNews
from threadramp.policy.sample_placement import RunnerView, choose_runner
from threadramp.report.guard import start_loop
from threadramp.report.log import log_state
from threadramp.wire.fleet import (
    Accepted,
    Collect,
    Drop,
    Find,
    Found,
    Submit,
    Updates,
)
from threadramp.wire.runner import RunOrder

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.clock import Clock
    from threadramp.fleet.peers import Peers
    from threadramp.lots.crashing_samples import SampleGuard
    from threadramp.lots.owned import OwnedLot, OwnedLots
    from threadramp.wire.fleet import AnyReply

COLLECT_WAIT_S = 0.5  # a sidecar answers earlier when a sample ends
ANSWER_MARGIN_S = 0.7  # for the way there and back, and a busy processor
ASK_TIMEOUT_S = 0.7
LOST_AFTER_S = 1.6  # a sidecar that hears nothing for 1.0 s has stopped its samples by then
TURN_S = 0.1
NOT_TAKEN_PAUSE_S = 0.1
SILENT_PAUSE_S = 0.3
FIND_TIMEOUT_S = 0.4


class Runners:
    """Sends samples to sidecars and collects their text.

    :param on_scoring: called with a lot and a sample whose text is whole
    :param samples: says which are held back, since engines ended under them
    """

    def __init__(
        self,
        owned: OwnedLots,
        peers: Peers,
        clock: Clock,
        on_scoring: Callable[[OwnedLot, str], None],
        samples: SampleGuard,
    ) -> None:
        self.samples = samples
        self.owned = owned
        self.peers = peers
        self.clock = clock
        self.news = RunnerNews(owned, clock, on_scoring, samples)
        self.members = RunnerMembers(peers, clock)
        self.views: dict[str, RunnerView] = {}
        self.collectors: set[str] = set()
        self.asked: frozenset[str] = frozenset()
        self.moves = SampleMoves(owned, clock, self._cut)
        self.hurried = HurriedLoads(owned, peers, clock)
        self.lock = threading.Lock()
        self.stopped = threading.Event()

    def start(self) -> None:
        """Start sending samples."""
        start_loop(self._run, self.stopped)

    def drop(self, lot: OwnedLot, let_finish: bool) -> None:
        """Tell the sidecars that the samples of a lot are not wanted any more."""
        for view in list(self.views.values()):
            with self.owned.lock:
                have = lot.book.at_runner(view.member.name)
            if have:
                self._drop(view, have, let_finish)

    def _run(self) -> None:
        while not self.stopped.is_set():
            self.owned.work.wait(TURN_S)
            self.owned.work.clear()
            if not self.owned.open():
                continue
            self._refresh()
            self._look()
            self.moves.turn(self._usable())
            self._send()
            self.hurried.turn(list(self._usable().values()))

    def _refresh(self) -> None:
        """Keep one view and one collector for each sidecar that may run samples of our lots."""
        models = {lot.book.lot.model for lot in self.owned.open()}
        members = {one.name: one for one in self.members.members(models, self._not_answering())}
        with self.lock:
            self.asked = frozenset(members)
            for name in self.views.keys() - members.keys() - self.collectors:
                del self.views[name]
            for name, member in members.items():
                view = self.views.get(name)
                if view is None or view.member.address != member.address:
                    self.views[name] = RunnerView(member, first_asked_at=self.clock.now())
                else:
                    view.member = member
                self._start_collector(name)

    def _not_answering(self) -> list[str]:
        """Return those that are asked and do not answer; their samples have stopped by now."""
        now = self.clock.now()
        late = [
            view
            for name, view in list(self.views.items())
            if name in self.collectors
            and now - max(view.last_answer_at, view.first_asked_at) > LOST_AFTER_S
        ]
        for view in late:
            if view.status is not None:
                self.news.lose(view, self.owned.open(), "silent")
        return [view.member.name for view in late]

    def _usable(self) -> dict[str, RunnerView]:
        """Return those that are given samples: not one that only ends what it has."""
        return {name: view for name, view in list(self.views.items()) if name in self.asked}

    def _start_collector(self, name: str) -> None:
        """Start collecting from a sidecar unless that is done already."""
        if name in self.collectors:
            return
        self.collectors.add(name)
        threading.Thread(
            target=self._collect_from, args=(name,), name=f"collect-{name}", daemon=True
        ).start()

    def _collect_from(self, name: str) -> None:
        """Collect from one sidecar for as long as it is asked for samples or has some of ours."""
        while not self.stopped.is_set():
            view = self.views[name]
            try:
                if not self._collect(view):
                    break
            except Exception as error:  # the loop goes on: its samples would be stuck else
                log_state("collect_failed", sidecar=name, error=repr(error))
                self.stopped.wait(SILENT_PAUSE_S)
        with self.lock:
            self.collectors.discard(name)

    def _collect(self, view: RunnerView) -> bool:
        """Ask once for news; false if there is nothing to ask for."""
        name = view.member.name
        lots = self.owned.open()
        if not lots:
            return False
        with self.owned.lock:
            have = {key: n for lot in lots for key, n in lot.book.at_runner(name).items()}
        if not have and name not in self.asked:
            return False
        facts = self.peers.facts_for(view.member)
        engine = view.member.endpoint
        ask = Collect(*self.peers.myself, facts, have, COLLECT_WAIT_S, engine)
        reply = self.peers.ask(view.member.address, ask, COLLECT_WAIT_S + ANSWER_MARGIN_S)
        if not isinstance(reply, Updates):
            self._silent(view, lots)
            return True
        self.news.heard(view, reply.status)
        self.news.take(view, lots, reply)
        return True

    def _silent(self, view: RunnerView, lots: list[OwnedLot]) -> None:
        """Count a sidecar that does not answer as lost once its samples must have stopped."""
        now = self.clock.now()
        if now - view.last_answer_at > LOST_AFTER_S:
            self.news.lose(view, lots, "silent")
        self.stopped.wait(SILENT_PAUSE_S)

    def _look(self) -> None:
        """Ask the sidecars for text that they kept of a new lot's samples."""
        for lot in self.owned.open():
            if lot.looked:
                continue
            lot.looked = True
            with self.owned.lock:
                wanted = tuple(
                    name
                    for name, state in lot.book.states.items()
                    if state.phase is Phase.WAITING and not state.events
                )
            views = list(self._usable().values())
            min_version = lot.book.lot.min_version
            asks = [
                (
                    view.member,
                    Find(*self.peers.myself, wanted, min_version, view.member.endpoint),
                )
                for view in views
            ]
            replies = self.peers.ask_members(asks, FIND_TIMEOUT_S)
            for view in views:
                self._found(lot, view, replies.get(view.member.name))

    def _found(self, lot: OwnedLot, view: RunnerView, reply: AnyReply | None) -> None:
        """Send samples to the sidecar that kept their text."""
        if not isinstance(reply, Found):
            return
        self.news.heard(view, reply.status)
        with self.owned.lock:
            samples = [
                name
                for name in reply.samples
                if lot.book.states[name].phase is Phase.WAITING
                and self.samples.may_go_on(lot, name)
            ]
        if samples:
            log_state("text_found", lot=lot.lot_id, sidecar=view.member.name, samples=reply.samples)
            self._submit(view, [(lot, name) for name in samples])

    def _send(self) -> None:
        """Give waiting samples to sidecars that have room."""
        threads = [
            threading.Thread(target=self._submit, args=(self.views[name], batch), daemon=True)
            for name, batch in self._batches().items()
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(ASK_TIMEOUT_S)

    def _batches(self) -> dict[str, list[tuple[OwnedLot, str]]]:
        """Return the waiting samples by the sidecar that each is to go to."""
        now = self.clock.now()
        views = list(self._usable().values())
        batches: dict[str, list[tuple[OwnedLot, str]]] = {}
        for lot in self.owned.open():
            wanted = lot.book.lot
            with self.owned.lock:
                waiting = [(one.sample.id, one.last_runner) for one in lot.book.waiting(now)]
            for name, avoid in waiting:
                near = self.peers.data_centre
                able = self.samples.open_to(lot, name, views)
                view = choose_runner(able, wanted.model, wanted.min_version, near, avoid, now)
                if view is None and able is views:
                    break
                if view is None or not self.samples.admit(lot, name, view.member.name, now):
                    continue
                view.assigned += 1
                batches.setdefault(view.member.name, []).append((lot, name))
        return batches

    def _submit(self, view: RunnerView, batch: list[tuple[OwnedLot, str]]) -> None:
        """Send samples to one sidecar and note which it took."""
        name = view.member.name
        with self.owned.lock:
            orders = tuple(self._order(lot, sample, name) for lot, sample in batch)
        facts = self.peers.facts_for(view.member)
        ask = Submit(*self.peers.myself, facts, orders, view.member.endpoint)
        reply = self.peers.ask(view.member.address, ask, ASK_TIMEOUT_S)
        now = self.clock.now()
        taken: dict[str, str] = {}
        pause = SILENT_PAUSE_S
        if isinstance(reply, Accepted):
            self.news.heard(view, reply.status)
            taken = reply.samples
            pause = NOT_TAKEN_PAUSE_S
        self._note_submitted(name, batch, taken, now + pause)
        for lot in {id(lot): lot for lot, _ in batch if lot.book.ended}.values():
            self.drop(lot, let_finish=False)  # it was ended while they were on their way

    def _note_submitted(
        self, name: str, batch: list[tuple[OwnedLot, str]], taken: dict[str, str], again_at: float
    ) -> None:
        """Note which samples a sidecar took; the others wait until ``again_at``."""
        refused = [(lot, sample) for lot, sample in batch if sample not in taken]
        with self.owned.lock:
            for lot, sample in batch:
                if sample in taken:
                    lot.book.accepted(sample, name, taken[sample])
            for lot, sample in refused:
                lot.book.give_back(sample, name, again_at)
        log_state("samples_sent", sidecar=name, taken=sorted(taken), refused=len(refused))

    def _order(self, lot: OwnedLot, sample: str, runner: str) -> RunOrder:
        """Assign a sample to a sidecar and return what to ask of it."""
        book = lot.book
        state = book.states[sample]
        book.assign(sample, runner)
        return RunOrder(
            sample=state.sample,
            host=book.lot.host,
            min_version=book.lot.min_version,
            one_version=book.rules.one_version,
            after=len(state.events),
            lineage=state.lineage if state.events else "",
            new_lineage=secrets.token_hex(4),
            due=book.rules.due - self.clock.now(),
            give_up_in_s=book.rules.give_up_at - self.clock.now(),
            rank=lot.kept.head.rank,
            model=book.lot.model,
            organisation=book.lot.organisation,
        )

    def _cut(self, view: RunnerView, have: dict[str, int]) -> None:
        """End samples at a sidecar and take their last events."""
        self._drop(view, have, let_finish=False)

    def _drop(self, view: RunnerView, have: dict[str, int], let_finish: bool) -> None:
        """Drop samples at a sidecar and take their last events."""
        ask = Drop(*self.peers.myself, have, let_finish, view.member.endpoint)
        reply = self.peers.ask(view.member.address, ask, ASK_TIMEOUT_S)
        if isinstance(reply, Updates):
            self.news.heard(view, reply.status)
            self.news.take(view, self.owned.open(), reply)


__all__ = ["Runners"]
