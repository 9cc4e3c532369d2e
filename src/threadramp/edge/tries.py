"""What happened to a request at the endpoints that it was sent to."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from threadramp.edge.exchange import EndpointResponse, Exchange
    from threadramp.fleet.model import Start


@dataclass
class Tries:
    """What happened to a job so far.

    :param ran: endpoints at which it may have run
    :param rejected: endpoints that said they did not run it
    :param rounds: times that all endpoints refused
    :param ended: endpoints that ended while it was open there
    :param unreachable: endpoints at which nobody listens now
    :param sent_at: when it was last sent to an endpoint, by the steady clock
    :param begun_at: when it was counted as begun at an endpoint, by the steady clock
    """

    open: list[Exchange] = field(default_factory=list)
    ran: set[Start] = field(default_factory=set)
    rejected: set[Start] = field(default_factory=set)
    ended: set[Start] = field(default_factory=set)
    unreachable: set[Start] = field(default_factory=set)
    sent_at: dict[Start, float] = field(default_factory=dict)
    begun_at: dict[Start, float] = field(default_factory=dict)
    may_have_run: bool = False
    rounds: int = 0
    last_failure: EndpointResponse | None = None

    @property
    def passed_over(self) -> set[Start]:
        """Return the endpoints that are not asked now."""
        return self.ran | self.rejected | self.unreachable


__all__ = ["Tries"]
