"""Seeded sampling: Zipf ranks and open-loop arrival times."""

import bisect
import itertools
import math
from collections.abc import Iterator, Sequence
from random import Random

from weirscale.experiments.workload.shape import Burst


class ZipfRanks:
    """Draws ranks 0, 1, … with probability proportional to 1 / (rank + 1) ** exponent."""

    def __init__(self, num_ranks: int, exponent: float) -> None:
        weights = [1.0 / (rank + 1) ** exponent for rank in range(num_ranks)]
        self._cumulative = list(itertools.accumulate(weights))

    def draw(self, random: Random) -> int:
        """Draw one rank."""
        point = random.random() * self._cumulative[-1]
        return bisect.bisect_right(self._cumulative, point)


class ArrivalRate:
    """The arrival rate over time: a mean with a daily variation and bursts."""

    def __init__(
        self, mean_per_s: float, day_length_s: float, day_swing: float, bursts: Sequence[Burst]
    ) -> None:
        self._mean_per_s = mean_per_s
        self._day_length_s = day_length_s
        self._day_swing = day_swing
        self._bursts = tuple(bursts)

    @property
    def highest_per_s(self) -> float:
        """An upper bound of `at`, in requests per second."""
        burst_factor = math.prod(max(1.0, burst.factor) for burst in self._bursts)
        return self._mean_per_s * (1.0 + self._day_swing) * burst_factor

    def at(self, time_s: float) -> float:
        """Return the rate at a time, in requests per second."""
        angle = 2.0 * math.pi * time_s / self._day_length_s
        rate = self._mean_per_s * (1.0 + self._day_swing * math.sin(angle))
        for burst in self._bursts:
            if burst.at_s <= time_s < burst.at_s + burst.lasts_s:
                rate *= burst.factor
        return rate


def arrival_times(rate: ArrivalRate, duration_s: float, random: Random) -> Iterator[float]:
    """Yield the times of a Poisson process with a varying rate, by thinning.

    The process is open-loop: no arrival waits for an answer to another.
    """
    highest = rate.highest_per_s
    time_s = 0.0
    while True:
        time_s += random.expovariate(highest)
        if time_s >= duration_s:
            return
        if random.random() * highest < rate.at(time_s):
            yield time_s
