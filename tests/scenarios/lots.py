"""Trainers in scenarios, and what a lot must be."""

from __future__ import annotations

import re
from concurrent.futures import Future
from dataclasses import dataclass, field
from itertools import groupby
from typing import TYPE_CHECKING

from tests.scenarios.world import MODEL, TRAINER
from threadramp.standins.engine import prompt_tag
from threadramp.wire.lots import GroupRequest

if TYPE_CHECKING:
    from tests.scenarios.world import World
    from threadramp.client.trainer import Lot, TrainerClient
    from threadramp.wire.lots import SampleLine

TOKEN = re.compile(r"t(\d+)v(\d+|None)p(\w+)")
STEP_DEADLINE_S = 90.0


@dataclass
class Trainer:
    """A trainer that takes step after step.

    :ivar version: the newest weights that it has published
    """

    world: World
    client: TrainerClient
    bound: int
    samples: int
    max_tokens: int
    version: int = 1
    lots: list[Lot] = field(default_factory=list)
    running: Future[Lot] | None = None

    @classmethod
    def from_world(
        cls, world: World, samples: int, max_tokens: int, bound: int, *gateways: str
    ) -> Trainer:
        """Return a trainer that knows all gateways, or those that are named."""
        client = world.fleet.trainer(TRAINER, bound, *gateways)
        return cls(world, client, bound, samples, max_tokens)

    def groups(self, step: int) -> list[GroupRequest]:
        """Return the groups of a step, eight samples each."""
        return [
            GroupRequest(f"g{index}", f"step {step} prompt {index}", 8, self.max_tokens)
            for index in range(self.samples // 8)
        ]

    def begin(self, step: int) -> None:
        """Ask for a step in the background."""
        self.running = self.world.pool.submit(self.take, step)

    def take(self, step: int) -> Lot:
        """Ask for a step, check the lot, keep it."""
        lot = self.client.step(step, self.version, self.groups(step), STEP_DEADLINE_S)
        check_lot(lot, self.groups(step), self.version, self.bound)
        self.lots.append(lot)
        return lot

    def publish(self) -> None:
        """Publish the next weights."""
        self.version += 1
        self.client.publish(MODEL, self.version)


def check_lot(lot: Lot, groups: list[GroupRequest], version: int, bound: int) -> None:
    """Check that a lot is whole, each sample once, its own, truly labelled and fresh enough."""
    prompts = {group.group: prompt_tag(group.prompt) for group in groups}
    wanted = {(group.group, index) for group in groups for index in range(group.samples)}
    got = [(sample.group, sample.index) for sample in lot.samples]
    assert sorted(got) == sorted(wanted)
    for sample in lot.samples:
        check_sample(sample, prompts[sample.group])
        assert min(sample.versions) >= version - bound, sample


def check_sample(sample: SampleLine, tag: str) -> None:
    """Check one sample's text against its labels; the text itself names the versions."""
    tokens = TOKEN.findall(sample.text)
    assert [int(number) for number, _, _ in tokens] == list(range(len(tokens))), sample
    assert {tokens_tag for _, _, tokens_tag in tokens} == {tag}, sample
    true = [(version, len(list(run))) for version, run in groupby(tokens, key=lambda item: item[1])]
    labelled = [(str(version), count) for version, count in sample.pieces]
    assert true == labelled, sample
    assert tuple(sorted({int(version) for version, _ in true})) == sample.versions


__all__ = ["STEP_DEADLINE_S", "Trainer", "check_lot"]
