"""Lots that are past their retention, in a fleet of gateways."""

from __future__ import annotations

from types import SimpleNamespace

from tests.lots.test_owner import owner_at
from tests.stores import MemoryStore
from threadramp.fleet.model import PoolShare, Route, RouteKind
from threadramp.lots.audit import RETENTION_MARGIN_S, LotAudit
from threadramp.lots.model import Lot, Sample

STATUS_S = 120.0
LOTS = 200
GATEWAYS = 9  # more than scan periodically
ROUTE = Route(
    "r", "host", "/p/", RouteKind.SAMPLES, (PoolShare("pool", 1.0),), 2.0, 1.0, 3, give_up_s=40.0
)


def audits_of_a_fleet(clock) -> list[LotAudit]:
    store = MemoryStore()
    owners = [owner_at(f"g{n}", store, clock) for n in range(GATEWAYS)]
    members = [owner.peers.member for owner in owners]
    for owner in owners:
        owner.peers.live_gateways = lambda: members
        owner.peers.fleet_view = SimpleNamespace(members=SimpleNamespace(is_loaded=True))
    return [LotAudit(owner, STATUS_S) for owner in owners]


def submit_lots(audits: list[LotAudit]) -> None:
    for number in range(LOTS):
        sample = Sample(f"a{number}", "/p", (), b"prompt", 1, "g", None, 0)
        lot = Lot(f"lot{number}", "host", "/p/", 0, "m", 1, 1, (sample,))
        audits[number % GATEWAYS].owner.submit(lot, ROUTE, retry_for_s=1.0)


def end_lots(audits: list[LotAudit]) -> None:
    for number in range(LOTS):
        audits[number % GATEWAYS].owner.end(f"lot{number}")


def run_audits(audits: list[LotAudit]) -> None:
    """Let each loop of the audits run once; only some of the gateways scan."""
    for audit in audits:
        audit.stopped = OneRound()
        audit._scan_loop()


class OneRound:
    """Stops a loop after its first round."""

    def __init__(self) -> None:
        self.rounds = 0

    def wait(self, timeout_s: float) -> bool:
        self.rounds += 1
        return self.rounds > 1


def in_memory(audits: list[LotAudit]) -> int:
    return sum(len(audit.owned.lots) for audit in audits)


# Guards against ended lots that stay in the memory of a gateway that others remove them for.
def test_ended_lots_leave_the_memory_of_their_gateways_after_their_retention(clock):
    audits = audits_of_a_fleet(clock)
    submit_lots(audits)
    end_lots(audits)
    clock.at += STATUS_S
    run_audits(audits)
    assert in_memory(audits) == LOTS
    clock.at += RETENTION_MARGIN_S + 1.0
    run_audits(audits)
    assert in_memory(audits) == 0
    assert audits[0].journal.list_heads() == []


def test_open_lots_stay_in_memory_however_old_they_are(clock):
    audits = audits_of_a_fleet(clock)
    submit_lots(audits)
    clock.at += 10 * STATUS_S
    run_audits(audits)
    assert in_memory(audits) == LOTS
