"""How often a sidecar renews its place in the list of members, by the size of the fleet.

Each renewal counts as a read at the platform's store, whose rate grows more slowly than the fleet.
A sidecar that is lost is noticed by its gateways' questions long before its lease runs out.
"""

from __future__ import annotations

MIN_RENEWAL_S = 0.8  # three renewals may fail within the shortest lease of 3 s
# A sidecar that is lost is told by its silence, so its place may outlast it: with 25 of them this
# takes 1,000 renewals off a calm day, a hundred priced calls.
MIN_SIDECAR_RENEWAL_S = 2.0
RATE_SHARE = 0.15  # of the reads that the store takes, for the renewals of all sidecars
RENEWALS_PER_LEASE = 3.75  # lease in renewals, as for the shortest


def renewal_interval_s(sidecars: int, reads_per_s: float) -> float:
    """Return the seconds between two renewals of one sidecar.

    :param sidecars: in the list of members
    :param reads_per_s: that the store takes from the whole fleet, 0 if it names no limit
    """
    if reads_per_s <= 0:
        return MIN_SIDECAR_RENEWAL_S
    return max(MIN_SIDECAR_RENEWAL_S, sidecars / (RATE_SHARE * reads_per_s))


__all__ = ["RENEWALS_PER_LEASE", "MIN_RENEWAL_S", "MIN_SIDECAR_RENEWAL_S", "renewal_interval_s"]
