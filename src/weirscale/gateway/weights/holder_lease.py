"""The lease on the duty that orders loads of weights and carries rollouts of service versions on.

One lease serves both, so that they cost the store no more calls than one of them.
"""

from weirscale.domain.duties.lease import LeaseRules

HOLDER_LEASE_S = 3.0
"""Seconds for which a holder that was killed keeps others from the duty. Four renewals may fail: a
lease of 2 s did not outlast two lost ones, and no orders were sent for 7 s."""

RENEWAL_INTERVAL_S = 0.5
"""Seconds between two renewals; a lost one leaves time for the next. Not measured by itself."""

RETRY_INTERVAL_S = 0.1
"""Seconds until a call that failed is made again. Not measured."""

STANDBY_INTERVAL_S = 0.5
"""Seconds between two looks at a duty that another node holds. Not measured."""

CLOCK_MARGIN_S = 0.2
"""Seconds by which a holder stops before its lease ends: clocks run at different speeds and calls
take time. Not measured."""

LEASE_CALL_TIMEOUT_S = 0.6
"""Seconds after which a call for the lease has failed. A slow store takes some 0.4 s to answer."""


def holder_lease_rules(min_lease_s: float) -> LeaseRules:
    """Return the times of the lease.

    Args:
        min_lease_s: Shortest life in seconds that the store gives a lease.
    """
    return LeaseRules(
        time_to_live_s=max(min_lease_s, HOLDER_LEASE_S),
        margin_s=CLOCK_MARGIN_S,
        renew_interval_s=RENEWAL_INTERVAL_S,
        retry_interval_s=RETRY_INTERVAL_S,
        standby_interval_s=STANDBY_INTERVAL_S,
    )
