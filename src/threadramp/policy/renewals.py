"""Decides how often a sidecar renews its lease in the member list, by the size of the fleet.

Each renewal counts as a read at the platform's store, whose read rate grows more slowly than the
fleet. Gateways notice a lost sidecar by its missing answers long before its lease expires.
"""

from __future__ import annotations

MIN_RENEWAL_S = 0.8  # three renewals may fail within the shortest lease of 3 s
# A lost sidecar is noticed because it stops answering, so its lease may expire later. With 25
# sidecars this saves 1,000 renewals on a calm day, which are a hundred billed calls.
MIN_SIDECAR_RENEWAL_S = 2.0
RATE_SHARE = 0.15  # of the reads that the store allows, for the renewals of all sidecars
RENEWALS_PER_LEASE = 3.75  # as for the shortest lease


def renewal_interval_s(sidecars: int, reads_per_s: float) -> float:
    """Return the seconds between two renewals of one sidecar.

    :param sidecars: number of sidecars in the member list
    :param reads_per_s: reads that the store allows the whole fleet, 0 if it has no limit
    """
    if reads_per_s <= 0:
        return MIN_SIDECAR_RENEWAL_S
    return max(MIN_SIDECAR_RENEWAL_S, sidecars / (RATE_SHARE * reads_per_s))


__all__ = ["MIN_RENEWAL_S", "MIN_SIDECAR_RENEWAL_S", "RENEWALS_PER_LEASE", "renewal_interval_s"]
