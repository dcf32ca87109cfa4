"""Thresholds for the health of back ends."""

import msgspec


class HealthRules(msgspec.Struct, frozen=True):
    """Thresholds and durations of circuits.

    Attributes:
        max_consecutive_failures: Failed requests in a row that open a circuit; one alone is
            common when a connection is reset.
        max_failed_probes: Failed probes in a row that open a circuit.
        max_failure_rate: Share of failed requests that opens a circuit.
        min_samples: Decayed number of recent requests below which the failure rate is ignored.
        sample_half_life_s: Time after which a past outcome counts half.
        open_time_s: Duration of the first opening; doubles with each opening that follows soon.
        max_open_time_s: Maximum duration of an opening.
        open_jitter: Share by which an opening is lengthened or shortened at random, so that nodes
            do not all retry at the same time.
        quarantine_time_s: Duration of the first quarantine after a wrong answer; doubles with each
            quarantine that follows soon.
        max_quarantine_time_s: Maximum duration of a quarantine.
        forget_openings_s: A back end healthy for this long starts again from `open_time_s`.
        num_tolerated_restarts: Restarts in a row that are tolerated before a back end that keeps
            restarting is held out.
        slow_start_s: Time over which the share of a readmitted back end grows to the full share.
        min_weight: Share of work at the beginning of the slow start and during trials.
        max_ejected_share: Maximum share of a pool that circuits hold out; beyond it, a faulty
            network is likelier than that many faulty back ends.
    """

    max_consecutive_failures: int = 3
    max_failed_probes: int = 2
    max_failure_rate: float = 0.5
    min_samples: float = 8.0
    sample_half_life_s: float = 10.0
    open_time_s: float = 1.0
    max_open_time_s: float = 60.0
    open_jitter: float = 0.2
    quarantine_time_s: float = 30.0
    max_quarantine_time_s: float = 600.0
    forget_openings_s: float = 300.0
    num_tolerated_restarts: int = 2
    slow_start_s: float = 10.0
    min_weight: float = 0.1
    max_ejected_share: float = 0.5
