"""The attempts that were made to forward a request."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from threadramp.edge.exchange import EndpointResponse, Exchange
    from threadramp.fleet.model import Incarnation


@dataclass
class AttemptHistory:
    """The attempts of one job so far.

    :param possibly_ran: endpoints at which it may have run
    :param rejected: endpoints that reported that they did not run it
    :param rejection_rounds: number of times that all endpoints rejected it
    :param crashed: endpoints that crashed while it was open there
    :param unreachable: endpoints that refuse connections
    :param sent_at: when it was last sent to an endpoint, by the steady clock
    :param ahead_at_send: requests that were expected at an endpoint when it was sent there
    :param response_was_unnamed: whether a response on a reused connection named no request id
    :param started_at: when it was counted as started at an endpoint, by the steady clock
    """

    open_exchanges: list[Exchange] = field(default_factory=list)
    possibly_ran: set[Incarnation] = field(default_factory=set)
    rejected: set[Incarnation] = field(default_factory=set)
    crashed: set[Incarnation] = field(default_factory=set)
    unreachable: set[Incarnation] = field(default_factory=set)
    sent_at: dict[Incarnation, float] = field(default_factory=dict)
    ahead_at_send: dict[Incarnation, float] = field(default_factory=dict)
    started_at: dict[Incarnation, float] = field(default_factory=dict)
    may_have_run: bool = False
    response_was_unnamed: bool = False
    rejection_rounds: int = 0
    last_error_response: EndpointResponse | None = None

    @property
    def excluded(self) -> set[Incarnation]:
        """Return the endpoints that are not tried again for now."""
        return self.possibly_ran | self.rejected | self.unreachable


__all__ = ["AttemptHistory"]
