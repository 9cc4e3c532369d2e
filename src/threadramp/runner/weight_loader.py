"""Loads the published weight versions into the engine while this process holds the engine lock.

Level-triggered: the versions that the engine reports are compared with the published ones in every
pass. So a lost response, an order that is carried out late or a restart needs no special case.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from threadramp.platform.engine import OrderOutcome
from threadramp.policy.load_schedule import PublishedVersion, next_load
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from threadramp.fleet.clock import Clock
    from threadramp.fleet.fenced_lock import FencedLock
    from threadramp.fleet.model import WeightTarget
    from threadramp.runner.engine import Engine

ORDER_EFFECT_TIMEOUT_S = 4.0  # an accepted order that shows no effect for this long is repeated
# A gateway repeats the request while the load is urgent; the loader runs every 0.2 s.
URGENT_TTL_S = 0.6
ORDER_RETRY_S = 0.5  # between two orders that were not accepted
# An engine that was suspended may have an order of the previous lock holder in its buffers; once it
# has answered for this long it has processed that order.
BUFFERED_ORDER_S = 1.0


@dataclass
class KnownVersion:
    """The newest published version of a model that this sidecar knows of.

    :param since: time at which the sidecar received it
    :param is_blocked: whether a load was due but the order could not be sent
    """

    version: int
    since: float
    is_blocked: bool = False


class WeightLoader:
    """Decides when the engine is ordered to load which version.

    :param lock: engine lock, which gives the fencing tokens of the orders
    :param versions_apart: 1 if the engine loads each version, 2 if every second one
    """

    def __init__(
        self, engine: Engine, clock: Clock, lock: FencedLock, versions_apart: int = 1
    ) -> None:
        self.lock = lock
        self.versions_apart = versions_apart
        self.engine = engine
        self.clock = clock
        self.known_versions: dict[str, KnownVersion] = {}
        self.ordered_at = 0.0
        self.urgent_model = ""
        self.urgent_at = 0.0
        self.not_before = 0.0

    def run_once(self) -> None:
        """Send an order if a load is due; to be called after each report."""
        report = self.engine.report
        if report is None:
            return
        self._check_pending_order()
        if self.engine.is_loading or not self.engine.is_confirmed:
            return
        if self.clock.now() < self.not_before:
            return
        target = self._next_target()
        if target is not None:
            self._send_order(target)

    def _check_pending_order(self) -> None:
        """Clear the pending order once it was carried out, or has had no effect for too long."""
        pending = self.engine.pending_order
        if pending is None:
            return
        report = self.engine.report
        age = self.clock.now() - self.ordered_at
        if report.versions.get(pending.model, 0) >= pending.version and not report.busy:
            log_state(
                "weights_loaded", model=pending.model, version=pending.version, s=round(age, 2)
            )
            self.engine.pending_order = None
        elif age > ORDER_EFFECT_TIMEOUT_S and not report.busy:
            log_state("order_without_effect", model=pending.model, version=pending.version)
            self.engine.pending_order = None

    def _next_target(self) -> WeightTarget | None:
        """Return the version to load now, none if no load is due."""
        facts = self.engine.facts
        published = {
            self._published_version(one): one
            for one in facts.targets
            if one.model in facts.share.shifts
        }
        seconds = self.clock.time_of_day()
        apart = self.versions_apart
        chosen = next_load(
            list(published), facts.share, seconds, apart, self._current_urgent_model()
        )
        return published[chosen] if chosen is not None else None

    def _published_version(self, target: WeightTarget) -> PublishedVersion:
        """Return a published version along with the version that the engine holds."""
        now = self.clock.now()
        known = self.known_versions.get(target.model)
        if known is None or known.version != target.version:
            known = KnownVersion(target.version, now)
            self.known_versions[target.model] = known
        return PublishedVersion(
            model=target.model,
            version=target.version,
            held=self.engine.report.versions.get(target.model, 0),
            # A version does not age while orders are blocked, for example during the wait for the
            # engine lock, 5 s after a takeover.
            age_s=0.0 if known.is_blocked else now - known.since,
        )

    def request_urgent_load(self, model: str) -> None:
        """Record that no engine can run the samples that wait for a model."""
        self.urgent_model = model
        self.urgent_at = self.clock.now()

    def _current_urgent_model(self) -> str:
        """Return the model for which a gateway has requested an urgent load, empty if none."""
        return self.urgent_model if self.clock.now() - self.urgent_at < URGENT_TTL_S else ""

    def _may_have_buffered_order(self) -> bool:
        """Return whether the engine may yet process an order of a previous lock holder."""
        responsive_s = self.clock.now() - self.engine.responsive_since
        return self.lock.had_previous_holder and responsive_s < BUFFERED_ORDER_S

    def _send_order(self, target: WeightTarget) -> None:
        report = self.engine.report
        incarnation = self.engine.incarnation
        # Only the store can verify the lock: other processes may not know of the next holder.
        fence = self.lock.verified_token()
        if self._may_have_buffered_order():
            fence = 0
        self.known_versions[target.model].is_blocked = not fence
        if not fence:
            self.not_before = self.clock.now() + ORDER_RETRY_S
            return
        self.engine.pending_order = target
        self.engine.pending_model = target.model
        self.ordered_at = self.clock.now()
        outcome = self.engine.send_order(target, fence, report.orders, self.lock.is_verified)
        log_state(
            "order",
            model=target.model,
            version=target.version,
            holds=report.versions.get(target.model, 0),
            instance=incarnation.instance,
            fence=fence,
            lock_verified_ago_s=round(self.lock.verified_ago_s(), 2),
            after=report.orders,
            outcome=outcome.value,
        )
        if outcome is OrderOutcome.TAKEN:
            return
        self.known_versions[target.model].is_blocked = outcome is OrderOutcome.NOT_SENT
        if outcome is OrderOutcome.OTHER_INSTANCE:
            self.engine.mark_superseded(incarnation)
        self.engine.pending_order = None
        self.not_before = self.clock.now() + ORDER_RETRY_S


__all__ = ["WeightLoader"]
