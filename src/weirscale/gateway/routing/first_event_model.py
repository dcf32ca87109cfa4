"""Linear model of the time to an engine's first event, learnt from observed first events.

The time is linear in the prompt tokens to prefill, the tokens waiting for prefill before them, the
active requests, and the tokens to fetch from other engines and from kept-KV stores. Waiting tokens
cost less: some of them have been prefilled since the gossip about them was sent, and more urgent
requests are served first. If fetches fail, engines prefill those tokens, so that a fetched token
costs as much as a prefilled one. The coefficients are learnt by recursive least squares with
forgetting (S. Haykin, Adaptive Filter Theory, chapter on the RLS algorithm). The error of an
observation is bounded, so that an engine that lost its memory does not distort the rates.

On the first events of three logged runs of a fleet, the median and 95th percentile of the error are
15.4 and 127 ms, 18.0 and 163 ms, and 20.3 and 156 ms. With the initial rates they are 22.5 and
262 ms, 19.9 and 226 ms, and 20.2 and 255 ms (`docs/DECISIONS.md`, "Prediction of the time to a
first event").
"""

from collections.abc import Sequence

import msgspec

FORGETTING_FACTOR = 0.99
"""Weight, without unit, of past observations at each new one: about 100 observations count."""

MIN_NOISE_S = 0.02
"""Fixed part, in seconds, of the expected deviation from the model. Without this part, the median
error in the three runs is 21.7, 27.1 and 27.7 ms."""

NOISE_SHARE = 0.3
"""Proportional part of the expected deviation, as a share of the expected time, since long prompts
vary more than short ones. Errors are limited to the sum of both parts. With a fixed deviation only,
the median error in the three runs is 20.8, 25.6 and 25.7 ms."""

Vector = tuple[float, ...]
Matrix = list[list[float]]


class FirstEventRates(msgspec.Struct, frozen=True):
    """Coefficients of the time to the first event.

    Attributes:
        base_s: Seconds without any prompt to prefill.
        token_s: Seconds per prompt token to prefill.
        waiting_token_s: Seconds per prompt token of other requests that waits for prefill.
        active_s: Seconds per active request.
        engine_token_s: Seconds per prompt token to fetch from another engine.
        store_token_s: Seconds per prompt token to fetch from a kept-KV store.
    """

    base_s: float = 0.02
    token_s: float = 1 / 38_000.0
    waiting_token_s: float = 1 / 50_000.0
    active_s: float = 0.0015
    engine_token_s: float = 1 / 400_000.0
    store_token_s: float = 1 / 400_000.0


START_RATES = FirstEventRates()
"""Assumed rates before any observation: 20 ms, 38,000 and 50,000 tokens/s, 1.5 ms per request. On
one deployment, the learnt rates after about 30 s are 46,000 to 50,000 tokens/s, 27 to 41 ms, and
0.4 to 0.8 ms per request (`docs/DECISIONS.md`)."""

RATE_DEVIATION = FirstEventRates(
    0.02, 1 / 60_000.0, 1 / 60_000.0, 0.002, 1 / 20_000.0, 1 / 20_000.0
)
"""Standard deviation of a deployment's rates from the initial ones, in the units of the rates. It
is largest for tokens to fetch, since engines prefill them if fetches fail."""

MIN_RATES = FirstEventRates(0.0, 1 / 400_000.0, 1 / 800_000.0, 0.0, 1 / 800_000.0, 1 / 800_000.0)
"""Lower bounds of the learnt rates."""

MAX_RATES = FirstEventRates(0.2, 1 / 4_000.0, 1 / 4_000.0, 0.02, 1 / 4_000.0, 1 / 4_000.0)
"""Upper bounds of the learnt rates."""


class PrefillWork(msgspec.Struct, frozen=True):
    """Work of an engine until the first event of a request.

    Attributes:
        num_tokens: Prompt tokens of the request to prefill.
        num_waiting: Prompt tokens of other requests that wait for prefill there.
        num_requests: Requests that are active there.
        num_from_engine: Prompt tokens of the request to fetch from another engine.
        num_from_store: Prompt tokens of the request to fetch from a kept-KV store.
    """

    num_tokens: int
    num_waiting: int
    num_requests: int
    num_from_engine: int = 0
    num_from_store: int = 0


def first_event_s(rates: FirstEventRates, work: PrefillWork) -> float:
    """Return the expected time to the first event in seconds."""
    # Unrolled, since each choice calls this for every engine.
    return (
        rates.base_s
        + rates.token_s * work.num_tokens
        + rates.waiting_token_s * work.num_waiting
        + rates.active_s * work.num_requests
        + rates.engine_token_s * work.num_from_engine
        + rates.store_token_s * work.num_from_store
    )


def missed_share(rates: FirstEventRates, is_from_store: bool) -> float:
    """Return the share, from 0 to 1, of the tokens to fetch that engines prefill after all."""
    fetch_s = START_RATES.store_token_s if is_from_store else START_RATES.engine_token_s
    learnt_s = rates.store_token_s if is_from_store else rates.engine_token_s
    if rates.token_s <= fetch_s:
        return 0.0
    return max(0.0, min(1.0, (learnt_s - fetch_s) / (rates.token_s - fetch_s)))


class FirstEventModel:
    """Learns the rates of the engines of one service by recursive least squares."""

    def __init__(self, start: FirstEventRates = START_RATES) -> None:
        self.rates = start
        deviation = _vector(RATE_DEVIATION)
        self._covariance: Matrix = [
            [deviation[row] ** 2 if row == column else 0.0 for column in range(len(deviation))]
            for row in range(len(deviation))
        ]

    def observe(self, work: PrefillWork, took_s: float) -> None:
        """Update the rates with one observation.

        Args:
            work: Work at the engine when the request was sent.
            took_s: Seconds from sending the request to its first event.
        """
        inputs = _inputs(work)
        expected_s = first_event_s(self.rates, work)
        noise_s = MIN_NOISE_S + NOISE_SHARE * expected_s
        error_s = max(-noise_s, min(noise_s, took_s - expected_s))
        gain = self._gain(inputs, noise_s)
        rates = _vector(self.rates)
        self.rates = _clamp(
            [rate + factor * error_s for rate, factor in zip(rates, gain, strict=True)]
        )

    def _gain(self, inputs: Vector, noise_s: float) -> list[float]:
        """Return the gain of each coefficient, and update the covariance."""
        spread = [_dot_product(row, inputs) for row in self._covariance]
        total = _dot_product(inputs, spread) + noise_s**2
        gain = [component / total for component in spread]
        limits = _vector(RATE_DEVIATION)
        for row in range(len(limits)):
            for column in range(len(limits)):
                updated = self._covariance[row][column] - gain[row] * spread[column]
                bound = limits[row] * limits[column]
                self._covariance[row][column] = max(-bound, min(bound, updated / FORGETTING_FACTOR))
        return gain


def _vector(rates: FirstEventRates) -> Vector:
    return msgspec.structs.astuple(rates)


def _inputs(work: PrefillWork) -> Vector:
    return (
        1.0,
        float(work.num_tokens),
        float(work.num_waiting),
        float(work.num_requests),
        float(work.num_from_engine),
        float(work.num_from_store),
    )


def _dot_product(left: Sequence[float], right: Sequence[float]) -> float:
    return sum(a * b for a, b in zip(left, right, strict=True))


def _clamp(learnt: list[float]) -> FirstEventRates:
    lows, highs = _vector(MIN_RATES), _vector(MAX_RATES)
    bounded = [
        max(low, min(high, rate)) for rate, low, high in zip(learnt, lows, highs, strict=True)
    ]
    return FirstEventRates(*bounded)
