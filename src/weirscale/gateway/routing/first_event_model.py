"""How long an engine takes to its first event: learnt from the first events that are observed.

The time is taken for linear in the prompt tokens to read, in those that wait before them, and in
the requests at work. Waiting tokens weigh less: some of them have been read since they were heard
of, and more urgent requests go first. The coefficients are learnt by recursive least squares with
forgetting (S. Haykin, Adaptive Filter Theory, chapter on the RLS algorithm). An observation far
off, such as that of an engine that lost its memory, counts with a bounded error.
"""

from collections.abc import Sequence

import msgspec

NUM_COEFFICIENTS = 4
FORGETTING = 0.99
"""Weight of the past at each observation: some 100 observations count."""

LEAST_NOISE_S = 0.02
NOISE_SHARE = 0.3
"""Usual spread of the times about the line: a fixed part and a share of the expected time. An error
counts up to this much."""

Vector = tuple[float, float, float, float]
Matrix = list[list[float]]


class FirstEventRates(msgspec.Struct, frozen=True):
    """What makes up the time to a first event.

    Attributes:
        base_s: Time without any prompt to read.
        token_s: Time for each prompt token to read.
        waiting_token_s: Time for each prompt token that waits there already.
        active_s: Time for each request at work.
    """

    base_s: float = 0.02
    token_s: float = 1 / 38_000.0
    waiting_token_s: float = 1 / 50_000.0
    active_s: float = 0.0015


START_RATES = FirstEventRates()
SPREAD = FirstEventRates(0.02, 1 / 60_000.0, 1 / 60_000.0, 0.002)
"""How far the rates of a deployment may be from those assumed at the start."""

LEAST_RATES = FirstEventRates(0.0, 1 / 400_000.0, 1 / 800_000.0, 0.0)
MOST_RATES = FirstEventRates(0.2, 1 / 4_000.0, 1 / 4_000.0, 0.02)
"""Guarantees, whatever is observed."""


class ReadingWork(msgspec.Struct, frozen=True):
    """What a request meets at an engine.

    Attributes:
        num_tokens: Prompt tokens of its own to read.
        num_waiting: Prompt tokens of others that wait there.
        num_requests: Requests at work there.
    """

    num_tokens: int
    num_waiting: int
    num_requests: int


def first_event_s(rates: FirstEventRates, work: ReadingWork) -> float:
    """Return the expected time to the first event."""
    # Written out: each choice asks this of every back end.
    return (
        rates.base_s
        + rates.token_s * work.num_tokens
        + rates.waiting_token_s * work.num_waiting
        + rates.active_s * work.num_requests
    )


class FirstEventModel:
    """Learns the rates of the engines of one service."""

    def __init__(self, start: FirstEventRates = START_RATES) -> None:
        self.rates = start
        spread = _vector(SPREAD)
        self._covariance: Matrix = [
            [spread[row] ** 2 if row == column else 0.0 for column in range(NUM_COEFFICIENTS)]
            for row in range(NUM_COEFFICIENTS)
        ]

    def observe(self, work: ReadingWork, took_s: float) -> None:
        """Learn from one first event.

        Args:
            work: What the request met when it was sent.
            took_s: Time from the sending to the first event.
        """
        inputs = _inputs(work)
        expected_s = first_event_s(self.rates, work)
        noise_s = LEAST_NOISE_S + NOISE_SHARE * expected_s
        error_s = max(-noise_s, min(noise_s, took_s - expected_s))
        gain = self._gain(inputs, noise_s)
        rates = _vector(self.rates)
        self.rates = _bounded([a + part * error_s for a, part in zip(rates, gain, strict=True)])

    def _gain(self, inputs: Vector, noise_s: float) -> list[float]:
        """Return the weight of an error for each coefficient, and narrow the covariance."""
        spread = [_product(row, inputs) for row in self._covariance]
        total = _product(inputs, spread) + noise_s**2
        gain = [part / total for part in spread]
        limits = _vector(SPREAD)
        for row in range(NUM_COEFFICIENTS):
            for column in range(NUM_COEFFICIENTS):
                narrowed = self._covariance[row][column] - gain[row] * spread[column]
                most = limits[row] * limits[column]
                self._covariance[row][column] = max(-most, min(most, narrowed / FORGETTING))
        return gain


def _vector(rates: FirstEventRates) -> Vector:
    return rates.base_s, rates.token_s, rates.waiting_token_s, rates.active_s


def _inputs(work: ReadingWork) -> Vector:
    return 1.0, float(work.num_tokens), float(work.num_waiting), float(work.num_requests)


def _product(left: Sequence[float], right: Sequence[float]) -> float:
    return sum(a * b for a, b in zip(left, right, strict=True))


def _bounded(learnt: list[float]) -> FirstEventRates:
    least, most = _vector(LEAST_RATES), _vector(MOST_RATES)
    bounded = [
        max(low, min(high, rate)) for rate, low, high in zip(learnt, least, most, strict=True)
    ]
    return FirstEventRates(*bounded)
