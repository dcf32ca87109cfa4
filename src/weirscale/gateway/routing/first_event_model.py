"""How long an engine takes to its first event, learnt from the first events that are observed.

The time is modelled as linear in the prompt tokens to read, in those that wait before them, in the
requests at work, and in the tokens to fetch from other engines and from kept-KV stores. Waiting
tokens weigh less: some of them have been read since the gossip about them was sent, and more urgent
requests go first. Where fetches do not come, engines read those tokens, and a fetched token costs
as much as one that is read. The coefficients are learnt by recursive least squares with forgetting
(S. Haykin, Adaptive Filter Theory, chapter on the RLS algorithm). The error of an observation is
bounded, so that an engine that lost its memory does not spoil the rates.

Measured on the first events of three logged runs of a fleet, median and 95th percentile of the
error: 15.4 and 127 ms, 18.0 and 163 ms, 20.3 and 156 ms; with the rates of the start 22.5 and 262,
19.9 and 226, 20.2 and 255 ms (`docs/DECISIONS.md`, "Prediction of the time to a first event").
"""

from collections.abc import Sequence

import msgspec

FORGETTING = 0.99
"""Weight of the past at each observation, without unit: some 100 observations count."""

LEAST_NOISE_S = 0.02
"""Fixed part, in seconds, of the spread of the times about the line. Measured together with
`NOISE_SHARE`: without it the median error of the three runs was 21.7, 27.1 and 27.7 ms."""

NOISE_SHARE = 0.3
"""Further part of the spread, as a share of the expected time: long prompts vary by more than short
ones. An error counts up to the whole spread. Measured: with one spread for all the median error of
the three runs was 20.8, 25.6 and 25.7 ms."""

Vector = tuple[float, ...]
Matrix = list[list[float]]


class FirstEventRates(msgspec.Struct, frozen=True):
    """What makes up the time to a first event.

    Attributes:
        base_s: Seconds without any prompt to read.
        token_s: Seconds for each prompt token to read.
        waiting_token_s: Seconds for each prompt token that waits there already.
        active_s: Seconds for each request at work.
        engine_token_s: Seconds for each prompt token that another engine is believed to keep.
        store_token_s: Seconds for each prompt token that a kept-KV store is believed to keep.
    """

    base_s: float = 0.02
    token_s: float = 1 / 38_000.0
    waiting_token_s: float = 1 / 50_000.0
    active_s: float = 0.0015
    engine_token_s: float = 1 / 400_000.0
    store_token_s: float = 1 / 400_000.0


START_RATES = FirstEventRates()
"""Rates before anything is learnt: 20 ms, 38,000 and 50,000 tokens a second, 1.5 ms a request.
Assumed. Measured on one deployment after some 30 s: 46,000 to 50,000 tokens a second, 27 to 41 ms,
0.4 to 0.8 ms a request (`docs/DECISIONS.md`)."""

SPREAD = FirstEventRates(0.02, 1 / 60_000.0, 1 / 60_000.0, 0.002, 1 / 20_000.0, 1 / 20_000.0)
"""How far the rates of a deployment may be from those of the start: standard deviations, in the
units of the rates. Widest for tokens to fetch: engines that do not fetch read them."""

MIN_RATES = FirstEventRates(0.0, 1 / 400_000.0, 1 / 800_000.0, 0.0, 1 / 800_000.0, 1 / 800_000.0)
"""Lower bounds of the rates, whatever is observed."""

MAX_RATES = FirstEventRates(0.2, 1 / 4_000.0, 1 / 4_000.0, 0.02, 1 / 4_000.0, 1 / 4_000.0)
"""Upper bounds of the rates, whatever is observed."""


class PrefillWork(msgspec.Struct, frozen=True):
    """What a request meets at an engine.

    Attributes:
        num_tokens: Prompt tokens of its own to read.
        num_waiting: Prompt tokens of others that wait there.
        num_requests: Requests at work there.
        num_from_engine: Prompt tokens that it is to fetch from another engine.
        num_from_store: Prompt tokens that it is to fetch from a kept-KV store.
    """

    num_tokens: int
    num_waiting: int
    num_requests: int
    num_from_engine: int = 0
    num_from_store: int = 0


def first_event_s(rates: FirstEventRates, work: PrefillWork) -> float:
    """Return the expected seconds to the first event."""
    # Written out instead of a loop, as each choice calls this for every engine.
    return (
        rates.base_s
        + rates.token_s * work.num_tokens
        + rates.waiting_token_s * work.num_waiting
        + rates.active_s * work.num_requests
        + rates.engine_token_s * work.num_from_engine
        + rates.store_token_s * work.num_from_store
    )


def missed_share(rates: FirstEventRates, is_from_store: bool) -> float:
    """Return from 0 to 1 the share of the tokens to fetch that engines read after all."""
    fetch_s = START_RATES.store_token_s if is_from_store else START_RATES.engine_token_s
    learnt_s = rates.store_token_s if is_from_store else rates.engine_token_s
    if rates.token_s <= fetch_s:
        return 0.0
    return max(0.0, min(1.0, (learnt_s - fetch_s) / (rates.token_s - fetch_s)))


class FirstEventModel:
    """Learns the rates of the engines of one service."""

    def __init__(self, start: FirstEventRates = START_RATES) -> None:
        self.rates = start
        spread = _vector(SPREAD)
        self._covariance: Matrix = [
            [spread[row] ** 2 if row == column else 0.0 for column in range(len(spread))]
            for row in range(len(spread))
        ]

    def observe(self, work: PrefillWork, took_s: float) -> None:
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
        self.rates = _bounded([a + share * error_s for a, share in zip(rates, gain, strict=True)])

    def _gain(self, inputs: Vector, noise_s: float) -> list[float]:
        """Return the weight of an error for each coefficient, and narrow the covariance."""
        spread = [_product(row, inputs) for row in self._covariance]
        total = _product(inputs, spread) + noise_s**2
        gain = [one / total for one in spread]
        limits = _vector(SPREAD)
        for row in range(len(limits)):
            for column in range(len(limits)):
                narrowed = self._covariance[row][column] - gain[row] * spread[column]
                most = limits[row] * limits[column]
                self._covariance[row][column] = max(-most, min(most, narrowed / FORGETTING))
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


def _product(left: Sequence[float], right: Sequence[float]) -> float:
    return sum(a * b for a, b in zip(left, right, strict=True))


def _bounded(learnt: list[float]) -> FirstEventRates:
    least, most = _vector(MIN_RATES), _vector(MAX_RATES)
    bounded = [
        max(low, min(high, rate)) for rate, low, high in zip(learnt, least, most, strict=True)
    ]
    return FirstEventRates(*bounded)
