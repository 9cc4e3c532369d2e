from __future__ import annotations

from threadramp.core.progress import SampleProgress
from threadramp.core.step import StepAssembly
from threadramp.policy.placement import LeastLoaded, Siblings
from threadramp.policy.tail import TAILS
from threadramp.wire.messages import (
    CallStamp,
    RunningStatus,
    SampleSpec,
    StepKey,
    StepPollReply,
)

KEY = StepKey("t", "r", 0)
SAMPLES = 16


def assembly(
    endpoints: int = 4, tail: str = "wait", placement: str = "least", polls_per_s: float = 2.0
) -> StepAssembly:
    samples = {
        f"s{index}": SampleProgress(
            SampleSpec(f"s{index}", "p", 8, 0, 0), f"g{index // 4}", index % 4
        )
        for index in range(SAMPLES)
    }
    made = {"least": LeastLoaded, "siblings": Siblings}[placement]()
    shard = {f"e{index}": SAMPLES // 4 for index in range(endpoints)}
    stamp = CallStamp(1, 0, "n")
    return StepAssembly(KEY, stamp, "m", samples, shard, made, TAILS[tail](), 1, polls_per_s)


class Sidecars:
    """Sidecars that run all submitted samples and never finish them."""

    def __init__(self, step: StepAssembly) -> None:
        self.step = step
        self.held: dict[str, list[str]] = {name: [] for name in step.endpoints}
        self.rates: dict[str, int] = {}
        self.poll_count = 0

    def exchange(self, now: float, unresponsive: str = "") -> dict[str, list[str]]:
        """Poll once; return the samples submitted to each endpoint, in first or later attempts."""
        submitted = {}
        for name, poll in self.step.next_polls(0, now).items():
            self.poll_count += 1
            if name == unresponsive:
                self.step.record_missed_poll(name)
                continue
            submitted[name] = [spec.sample for spec in poll.submit]
            self.held[name] += submitted[name]
            tokens = round(self.rates.get(name, 100) * now)  # none yet at the start
            statuses = [RunningStatus(sample, 1, tokens, 1) for sample in self.held[name]]
            self.step.handle_reply(name, StepPollReply(running=tuple(statuses)), now)
        return submitted


def test_nothing_is_submitted_before_the_sidecars_were_polled() -> None:
    sidecars = Sidecars(assembly())
    assert not any(sidecars.exchange(0.0).values())
    assert sum(len(given) for given in sidecars.exchange(0.1).values()) == SAMPLES


def test_idle_polls_stay_within_their_rate() -> None:
    sidecars = Sidecars(assembly(polls_per_s=2.0))
    sidecars.exchange(0.0)
    sidecars.exchange(0.1)
    sidecars.poll_count = 0
    for tick in range(100):  # ten seconds
        sidecars.exchange(0.2 + tick / 10)
    assert 16 <= sidecars.poll_count <= 24


def test_samples_of_a_group_are_placed_together_while_slots_are_free() -> None:
    sidecars = Sidecars(assembly(placement="siblings"))
    sidecars.exchange(0.0)
    for samples in sidecars.exchange(0.1).values():
        assert len({int(sample[1:]) // 4 for sample in samples}) == 1


def test_samples_of_an_endpoint_that_misses_three_polls_are_placed_elsewhere() -> None:
    sidecars = Sidecars(assembly(endpoints=5, polls_per_s=100.0))
    sidecars.exchange(0.0)
    sidecars.exchange(0.1)
    lost = "e0"
    rounds = [sidecars.exchange(1.0 + tick, unresponsive=lost) for tick in range(4)]
    moved = [[sample for given in round_.values() for sample in given] for round_ in rounds]
    assert moved[:3] == [[], [], []]
    assert sorted(moved[3]) == sorted(sidecars.held[lost])


def test_only_samples_of_a_slow_endpoint_get_a_second_attempt() -> None:
    sidecars = Sidecars(assembly(endpoints=5, tail="slow_rate", polls_per_s=100.0))
    sidecars.exchange(0.0)
    sidecars.exchange(0.1)
    slow = "e0"
    sidecars.rates[slow] = 10
    sidecars.exchange(1.0)
    again = {name: given for name, given in sidecars.exchange(3.0).items() if given}
    assert slow not in again
    submitted = [sample for given in again.values() for sample in given]
    assert sorted(submitted) == sorted(sidecars.held[slow])
