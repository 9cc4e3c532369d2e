"""The faults of a soak test in the responses of engines and endpoints.

Each function lets the fronts before them leave the framing off, end responses early or repeat them,
and returns a function that heals it. They run beside all other faults.
"""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

import msgspec

from tests.serve.framing_fleet import is_work
from threadramp.config.registry import Registry
from threadramp.platform.standins.framing import (
    FRAMINGS,
    PLACES,
    Cut,
    End,
    Repeat,
    ResponseFaults,
    ResponsePlan,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from tests.serve.soak import Soak
    from threadramp.platform.standins.framing import SeenRequest

RESPONSE_DURATIONS_S = ((0.5, 2.0), (2.0, 5.0))
CUT_SHARE = 0.4
MAX_CUTS = 4  # of the responses to one request id
MAX_EVENT = 8  # after which a stream is cut
RESTART_INTERVALS_S = (0.3, 1.2)
MS_PER_S = 1000
# A close within these, without a length, cannot be told from the end of a body of a call.
PLACES_IN_BODIES = ("event", "event end", "head end")

RESPONSE_FAULTS: Registry[Callable[[Soak, Random], Callable[[], None]]] = Registry()


def _play(soak: Soak, random: Random, draw: Callable[[SeenRequest, Random], ResponsePlan]):
    """Let all fronts draw plans for samples, calls and streams."""

    def draw_for_work(seen: SeenRequest, random: Random) -> ResponsePlan | None:
        return draw(seen, random) if is_work(seen.request_id, seen.target) else None

    faults = ResponseFaults(random.randrange(1_000_000), draw_for_work)
    for proxy in soak.duplicating_proxies:
        proxy.faults = faults

    def heal() -> None:
        for proxy in soak.duplicating_proxies:
            proxy.faults = None

    return heal


def _draw_cut(seen: SeenRequest, random: Random, framing: str, end: End) -> Cut | None:
    """Draw where a response ends early; a call's body without a length is reset, never closed."""
    if seen.number > MAX_CUTS or random.random() >= CUT_SHARE:
        return None
    place = random.choice(sorted(PLACES))
    is_stream = seen.target.startswith(("POST /lots/", "POST /stream"))
    if not is_stream and framing != "length" and place in PLACES_IN_BODIES:
        end = End.RESET
    return Cut(place, end, random.randint(1, MAX_EVENT), random.random())


@RESPONSE_FAULTS.register("responses without a length")
def leave_framing_off(soak: Soak, random: Random) -> Callable[[], None]:
    return _play(soak, random, lambda seen, random: ResponsePlan("close"))


@RESPONSE_FAULTS.register("responses reframed and ended early")
def end_responses_early(soak: Soak, random: Random) -> Callable[[], None]:
    def draw(seen: SeenRequest, random: Random) -> ResponsePlan:
        framing = random.choice(sorted(FRAMINGS))
        return ResponsePlan(framing, _draw_cut(seen, random, framing, random.choice(list(End))))

    return _play(soak, random, draw)


@RESPONSE_FAULTS.register("responses without a length ended early by a close")
def close_responses_early(soak: Soak, random: Random) -> Callable[[], None]:
    def draw(seen: SeenRequest, random: Random) -> ResponsePlan:
        return ResponsePlan("close", _draw_cut(seen, random, "close", End.CLOSE))

    return _play(soak, random, draw)


@RESPONSE_FAULTS.register("samples reframed and repeated")
def repeat_samples(soak: Soak, random: Random) -> Callable[[], None]:
    """Repeat whole streams; a copy behind a call's body without a length is part of that body."""

    def draw(seen: SeenRequest, random: Random) -> ResponsePlan:
        framing = random.choice(sorted(FRAMINGS))
        is_stream = seen.target.startswith("POST /lots/")
        is_repeated = seen.number <= MAX_CUTS and (is_stream or framing != "close")
        return ResponsePlan(framing, None, random.choice(list(Repeat)) if is_repeated else None)

    return _play(soak, random, draw)


@RESPONSE_FAULTS.register("engines killed amid streams without a length")
def kill_engines(soak: Soak, random: Random) -> Callable[[], None]:
    """Kill engines one after the other; their kernels close the streams."""
    heal_framing = _play(soak, random, lambda seen, random: ResponsePlan("close"))
    healed = threading.Event()
    for proxy in soak.duplicating_proxies:
        proxy.broken_end = End.CLOSE

    def keep_killing() -> None:
        while not healed.wait(random.uniform(*RESTART_INTERVALS_S)):
            engine = random.choice(soak.fleet.engines)
            key = f"servers/{engine.instance}"
            entry = msgspec.json.decode(soak.fleet.value(key))
            born = max(int(time.time() * MS_PER_S), engine.born + 1)
            engine.start_again(born)
            soak.fleet.put(key, entry | {"born": born})

    thread = threading.Thread(target=keep_killing, daemon=True)
    thread.start()

    def heal() -> None:
        healed.set()
        thread.join()
        heal_framing()
        for proxy in soak.duplicating_proxies:
            proxy.broken_end = End.RESET

    return heal


__all__ = ["RESPONSE_DURATIONS_S", "RESPONSE_FAULTS"]
