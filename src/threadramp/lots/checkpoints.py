"""Saves the text of long samples in the store while they run.

After a power loss of all boxes, a sample of 165 events cost 6 s; with its first hundred events
saved it continues after them. Nothing depends on these records: they are written unconditionally,
each owner under a key of its own, and a sample without a record starts from the beginning.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from threadramp.lots.model import SavedText, decode_texts, encode, text_bytes
from threadramp.lots.text_inputs import TextInputs
from threadramp.platform.store_model import MAX_ENTRIES, Put, StoreError, Transaction
from threadramp.report.guard import start_loop
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Iterable

    from threadramp.core.lot_tracker import SampleState
    from threadramp.lots.model import Lot
    from threadramp.lots.owned import OwnedLot, OwnedLots
    from threadramp.platform.store import StoreClient

TEXT_PREFIX = "lot-text/"
SAVE_INTERVAL_S = 1.5  # between two records of a lot; each is a billed call
MIN_EVENTS = 25  # a shorter sample is generated again within a second
MIN_NEW_EVENTS = 15  # fewer new events do not justify a record
MAX_RECORD_BYTES = 500_000  # a value may have 1 MB


class Checkpoints:
    """Writes, reads and removes the records of one gateway's lots.

    :param incarnation: of this process, part of the keys, so that two owners of a lot never write
        the same record
    """

    def __init__(self, owned: OwnedLots, store: StoreClient, incarnation: str) -> None:
        self.owned = owned
        self.store = store
        self.incarnation = incarnation
        self.saved: dict[str, dict[str, tuple[list[str], int, str]]] = {}
        self.keys: dict[str, list[str]] = {}
        self.stopped = threading.Event()

    def start(self) -> None:
        """Start the loop that writes records."""
        start_loop(self._run, self.stopped)

    def load(self, lot_id: str) -> dict[str, SavedText]:
        """Return the longest saved text of each sample of a lot.

        :raises StoreError: if the store did not answer
        """
        prefix = f"{TEXT_PREFIX}{lot_id}/"
        by_owner: dict[str, list[bytes]] = {}
        for item in self.store.list(prefix).items:
            owner, _, _ = item.key.removeprefix(prefix).partition("/")
            by_owner.setdefault(owner, []).append(item.value)
        longest: dict[str, SavedText] = {}
        for values in by_owner.values():
            for text in join_records(record for value in values for record in decode_texts(value)):
                held = longest.get(text.sample)
                if held is None or len(held.events) < len(text.events):
                    longest[text.sample] = text
        return longest

    def forget(self, lot_id: str) -> None:
        """Remove the records of a lot that this process wrote."""
        self.saved.pop(lot_id, None)
        self.remove(self.keys.pop(lot_id, []))

    def remove(self, keys: list[str]) -> None:
        """Remove records; if that fails they are removed along with their lot."""
        for start in range(0, len(keys), MAX_ENTRIES):
            batch = tuple(keys[start : start + MAX_ENTRIES])
            try:
                self.store.transact(Transaction(removals=batch), repeatable=True)
            except StoreError as error:
                log_state("texts_not_removed", keys=len(batch), error=str(error))

    def save(self, lot: OwnedLot) -> int:
        """Write the new events of a lot's long samples; returns the number of these samples."""
        with self.owned.lock:
            records = self._new_records(lot)
        if not records:
            return 0
        keys = self.keys.setdefault(lot.lot_id, [])
        key = f"{TEXT_PREFIX}{lot.lot_id}/{self.incarnation}/{len(keys):04}"
        keys.append(key)
        put = Put(key, encode(tuple(records)))
        try:
            self.store.transact(Transaction(puts=(put,)), repeatable=True)
        except StoreError as error:
            self.saved.pop(lot.lot_id, None)  # the next record contains all events again
            log_state("texts_not_saved", lot=lot.lot_id, error=str(error))
            return 0
        return len(records)

    def _run(self) -> None:
        while not self.stopped.wait(SAVE_INTERVAL_S):
            for lot in self.owned.open():
                count = self.save(lot)
                if count:
                    log_state("texts_saved", lot=lot.lot_id, samples=count)

    def _new_records(self, lot: OwnedLot) -> list[SavedText]:
        saved = self.saved.setdefault(lot.lot_id, {})
        records: list[SavedText] = []
        size = 0
        for name, state in lot.tracker.states.items():
            if not state.is_open or len(state.events) < MIN_EVENTS:
                continue
            events, base, continues = saved.get(name, (state.events, 0, ""))
            if events is not state.events:  # the sample was restarted
                base, continues = 0, ""
            if len(state.events) - base < MIN_NEW_EVENTS:
                continue
            record = _record(lot.tracker.lot, state, base, continues)
            size += sum(map(text_bytes, record.events))
            if size > MAX_RECORD_BYTES and records:
                break
            saved[name] = (state.events, len(state.events), state.lineage)
            records.append(record)
        return records


def join_records(records: Iterable[SavedText]) -> list[SavedText]:
    """Join one owner's records, given in the order of writing, into complete texts."""
    texts: dict[str, SavedText] = {}
    for record in records:
        held = texts.get(record.sample)
        if record.base == 0:
            texts[record.sample] = record
        elif held is not None and _continues(held, record):
            texts[record.sample] = SavedText(
                sample=record.sample,
                base=0,
                events=held.events + record.events,
                versions=held.versions + record.versions,
                lineage=record.lineage,
                inputs=record.inputs,
            )
        else:
            texts.pop(record.sample, None)  # a record in between is missing
    return list(texts.values())


def _continues(held: SavedText, record: SavedText) -> bool:
    """Return whether a record follows a text; one in between may be missing from a listing."""
    fits = record.continues in ("", held.lineage)
    return fits and len(held.events) == record.base and held.inputs == record.inputs


def _record(lot: Lot, state: SampleState, base: int, continues: str) -> SavedText:
    return SavedText(
        sample=state.sample.id,
        base=base,
        events=tuple(state.events[base:]),
        versions=tuple(state.versions[base:]),
        lineage=state.lineage,
        inputs=TextInputs.of(lot, state.sample).digest,
        continues=continues,
    )


__all__ = ["TEXT_PREFIX", "Checkpoints", "join_records"]
