"""Policy against policy, by load pattern: ``python -m bench.policy [SEEDS]`` prints the table."""

from __future__ import annotations

import sys
from dataclasses import replace
from statistics import mean

from bench.pool_model import (
    GAP_MS,
    DayFigures,
    Engine,
    Pool,
    Spell,
    Switches,
    Trainer,
    blocks,
    turns,
)
from threadramp.policy.sample_order import ORDERS

SEEDS = 10
NOW = Switches(turns)
POLICIES = {
    "as it is": NOW,
    "dealt out in blocks, loads at once": replace(NOW, loads=blocks, hurry=False),
    "all samples wait for a load": replace(NOW, others_run=False),
    "no moves to faster engines": replace(NOW, moves=False),
    "no hurried loads": replace(NOW, hurry=False),
    "samples by their latest start": replace(NOW, order=ORDERS["latest_start"]()),
    "as before": Switches(blocks, others_run=False, moves=False, hurry=False),
}
THIRD = 1.3  # a third of the engines is so much slower


def three_models(seed: int, switches: Switches, groups: float = 1.0, engines: int = 8) -> Pool:
    """Return three trainers with unequal work on one small pool, a third of it slower."""
    models = ("m0", "m1", "m2")
    made = [
        Engine(rank, GAP_MS * (THIRD if rank % 3 == 2 else 1.0), dict.fromkeys(models, 1))
        for rank in range(engines)
    ]
    trainers = [
        Trainer("m0", round(8 * groups), 4, 21, 0.5),
        Trainer("m1", round(5 * groups), 8, 26, 0.5),
        Trainer("m2", round(12 * groups), 4, 26, 1.0),
    ]
    return Pool(made, trainers, switches, seed)


def four_models(seed: int, switches: Switches) -> Pool:
    """Return four trainers on 25 engines, of which a fifth is slow for 8 s, twice a day."""
    models = ("m0", "m1", "m2", "m3")
    made = []
    for rank in range(25):
        gap_ms = GAP_MS * (THIRD if rank % 3 == 2 else 1.0)
        begins = 5.0 if rank % 5 == seed % 5 else 24.0
        spell = Spell(begins, begins + 8.0, 3.6) if (rank + seed) % 5 < 2 else None
        made.append(Engine(rank, gap_ms, dict.fromkeys(models, 1), spell=spell))
    trainers = [
        Trainer("m0", 7, 16, 17.7, 0.5),
        Trainer("m1", 11, 8, 7.7, 1.0),
        Trainer("m2", 7, 16, 17.7, 0.5),
        Trainer("m3", 6, 16, 17.7, 0.5),
    ]
    return Pool(made, trainers, switches, seed)


def one_model(seed: int, switches: Switches) -> Pool:
    """Return one trainer on six engines."""
    made = [Engine(rank, GAP_MS, {"m": 1}) for rank in range(6)]
    return Pool(made, [Trainer("m", 28, 4, 23, 0.5)], switches, seed)


def over_the_pool(seed: int, switches: Switches) -> Pool:
    """Return three trainers with unequal lots that nearly fill 23 engines at once."""
    models = ("m0", "m1", "m2")
    made = [
        Engine(rank, GAP_MS * (THIRD if rank % 3 == 2 else 1.0), dict.fromkeys(models, 1))
        for rank in range(23)
    ]
    trainers = [
        Trainer("m0", 26, 8, 21, 0.5),
        Trainer("m1", 12, 16, 18, 1.0),
        Trainer("m2", 20, 16, 21, 1.0),
    ]
    return Pool(made, trainers, switches, seed)


PATTERNS = {
    "three models, 8 engines": three_models,
    "the same, half as many groups more": lambda seed, switches: three_models(seed, switches, 1.5),
    "one model, 6 engines": one_model,
    "four models in a spell, 25 engines": four_models,
    "three trainers over the pool, 23 engines": over_the_pool,
}


def days(pattern: str, policy: str, seeds: int) -> list[DayFigures]:
    """Play a pattern under a policy on each seed."""
    return [PATTERNS[pattern](seed, POLICIES[policy]).play() for seed in range(seeds)]


def main() -> None:
    """Print the table."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else SEEDS
    print(f"{seeds} seeds each; means\n")
    print("| load | policy | steps | lot s | wait s | furthest behind s | loads |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for pattern in PATTERNS:
        for policy in POLICIES:
            row = days(pattern, policy, seeds)
            cells = [
                f"{mean(getattr(one, name) for one in row):.2f}"
                for name in ("steps", "lot_s", "wait_s", "behind_s", "loads")
            ]
            print(f"| {pattern} | {policy} | {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
