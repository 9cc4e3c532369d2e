"""The checks at the end of a soak test, once all faults are healed."""

from __future__ import annotations

import time
from contextlib import suppress
from typing import TYPE_CHECKING

from tests.serve.fleet import WaitTimeoutError, wait_for
from tests.serve.texts import events_for, text_errors
from tests.serve.trainer import is_refused

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator, Mapping, Sequence

    from tests.serve.fleet import Box
    from tests.serve.soak import Soak
    from tests.serve.trainer import Attempt

EVENTS = 12  # of a sample
SAMPLES = 8  # of a lot
MAX_CRASHES = 3  # endpoints that may crash before a request is suspect
MAX_TRIAL_RUNS = 3  # starts of a suspect request after that
# Faults under which gateways may lose what they know about suspect requests.
STATE_LOSS_FAULTS = {
    "all gateways killed",
    "all killed",
    "gateway killed",
    "gateway stopped gracefully",
    "process suspended",
    "gateway suspended",
    "gateways start without the member list",
    "gateways take over from suspended sidecars",
    "holder suspended after it verified its lock",
}
LATE_WRITE_S = 4.0  # after the faults; a write that a partition delayed has arrived by then
SCAN_TIMEOUT_S = 22.0  # gateways look for lots without an owner each 10 s
COMPLETION_TIMEOUT_S = 60.0  # after the faults; allows for a busy machine, no guarantee


def find_violations(soak: Soak) -> list[str]:
    """Return all violations found, an empty list if there are none."""
    return [
        *_lots(soak),
        *_refused_work(soak),
        *soak.orders.check(),
        *_crashing_requests(soak),
        *soak.keys.find_violations(),
        *soak.routes.find_violations(),
        *soak.fleet.cloud.broken(soak.min_alternation_s),
    ]


def _lots(soak: Soak) -> Iterator[str]:
    """Check that all accepted lots complete, with the same results at each gateway."""
    for lot, min_version in soak.accepted.items():
        for gateway in soak.fleet.gateways:
            rows = wait_for(
                lambda box=gateway, name=lot: _rows(soak, box, name),
                f"all results of {lot} at {gateway.name}, faults: {soak.faults_drawn}",
                COMPLETION_TIMEOUT_S,
            )
            for position, row in enumerate(rows):
                soak.record_result(lot, position, row)
        yield from _wrong_rows(soak, lot, min_version, rows)


def _rows(soak: Soak, gateway: Box, lot: str) -> list[dict] | None:
    """Read all results of a lot, page by page; None if some are still missing."""
    rows: list[dict] = []
    while True:
        page = soak.fleet.results(gateway, lot, after=len(rows))
        if page is None or not page["results"]:
            return None
        rows += page["results"]
        if len(rows) == page["total"]:
            return rows


def _wrong_rows(soak: Soak, lot: str, min_version: int, rows: list[dict]) -> Iterator[str]:
    if {row["id"] for row in rows} != {f"{lot}-s{number}" for number in range(SAMPLES)}:
        yield f"{lot}: unexpected results {[row['id'] for row in rows]}"
    for row in rows:
        name = row["id"]
        if row["state"] != "succeeded":
            continue
        events = events_for([*soak.fleet.engines, *soak.routes.engines], name)
        for error in text_errors(row["text"], row["versions"], events, EVENTS):
            yield f"{name}: {error}"
        if min(row["versions"]) < min_version or row["score"] != "sig-" + name.replace("-s", "-r"):
            yield f"{name}: wrong versions {row['versions']} or score {row['score']}"


def _refused_work(soak: Soak) -> Iterator[str]:
    """Check that refused lots and calls did not run, nor do once all faults are healed."""
    _watch_refused_lots(soak)
    yield from refused_lots_that_ran(soak.attempts, _ran(soak))
    called = {run["id"] for run in soak.fleet.callee.runs} | soak.pool.ran
    for name in soak.refused_calls & called:
        yield f"{name} was refused but ran"


def refused_lots_that_ran(
    attempts: Mapping[str, Sequence[Attempt]], ran: Collection[str]
) -> Iterator[str]:
    """Report the lots of which something ran though every attempt promised that nothing would.

    :param attempts: all attempts to submit each lot
    :param ran: ids of the samples and reward calls that engines and endpoints ran
    """
    lots_run = {name.rpartition("-")[0] for name in ran}
    for lot, made in attempts.items():
        if is_refused(made) and lot in lots_run:
            answered = ", ".join(f"{one.gateway} {one.status}" for one in made)
            yield f"{lot} was refused at every attempt but ran: {answered}"


def _watch_refused_lots(soak: Soak) -> None:
    """Wait until refused lots run, or until it is clear that they do not.

    A lot that the store has is run by a gateway that finds it, at the latest with its next scan.
    """
    if not soak.refused_lots:
        return
    time.sleep(max(0.0, soak.healed_at + LATE_WRITE_S - time.monotonic()))
    with suppress(WaitTimeoutError):
        wait_for(lambda: not _stored_and_not_run(soak), "refused lots run", SCAN_TIMEOUT_S)


def _stored_and_not_run(soak: Soak) -> set[str]:
    stored = {key.removeprefix("lot/") for key in soak.fleet.keys("lot/")}
    return soak.refused_lots & stored - {name.rpartition("-")[0] for name in _ran(soak)}


def _ran(soak: Soak) -> set[str]:
    """Return the ids of all samples and calls that engines and endpoints ran."""
    standins = [*soak.fleet.engines, *soak.routes.engines, soak.fleet.callee]
    return {run["id"] for standin in standins for run in list(standin.runs)} | soak.pool.ran


def _crashing_requests(soak: Soak) -> Iterator[str]:
    """Check that requests that crash endpoints are stopped, unless gateways lost their state.

    A gateway that exits while the store accepts no writes loses what it knew about suspects.
    """
    if STATE_LOSS_FAULTS & set(soak.faults_drawn):
        return
    for target in soak.crashing_targets:
        started = soak.pool.start_count(target)
        if started > MAX_CRASHES + MAX_TRIAL_RUNS:
            yield f"{target}: started {started} times, faults {soak.faults_drawn}"


__all__ = ["EVENTS", "SAMPLES", "find_violations", "refused_lots_that_ran"]
