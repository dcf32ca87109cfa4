"""Measures what a choice, a chain and the state of beliefs cost; prints tables.

Run as `python -m weirscale.experiments.choice.cost`.
"""

import sys
import time
import tracemalloc
from array import array
from collections.abc import Callable, Sequence
from random import Random
from typing import cast

import msgspec

from weirscale.domain.choice.policy import ChoiceRequest, EngineCandidate
from weirscale.domain.choice.prefix_aware import PrefixAware
from weirscale.domain.configuration.model import EngineRole, RoutingObjective
from weirscale.domain.identifiers import (
    BlockHash,
    EngineName,
    Incarnation,
    RequestId,
    TenantName,
    WeightVersion,
    ZoneName,
)
from weirscale.domain.prefix.block_set import BlockSet
from weirscale.domain.prefix.cache_view import CacheView
from weirscale.domain.prefix.chain import extend_chain
from weirscale.domain.prefix.chain_cache import ChainCache
from weirscale.domain.prefix.sampling import block_key, is_sampled
from weirscale.messages.digest import FullDigest, pack_keys

NUM_PROMPTS = 20
NUM_CHOICES = 400
TOKENS_PER_BLOCK = 16.0
HELD_SHARES = (0.25, 0.5, 0.75, 1.0)
SEED_HASH = BlockHash(7)
PROMPT_BYTES = 1024 * 1024
BLOCK_SIZE_BYTES = 64
ENGINE_BLOCKS = 70_000
"""120 million blocks over 1,700 engines."""


class ChoiceCost(msgspec.Struct, frozen=True):
    """Microseconds of one choice and of noting that it was sent."""

    num_candidates: int
    num_blocks: int
    sample_bits: int
    choose_p50_us: float
    choose_p95_us: float
    note_sent_us: float


def measure_choice(num_candidates: int, num_blocks: int, sample_bits: int) -> ChoiceCost:
    """Measure choices for prompts that each engine holds with a chance of one half."""
    random = Random(1)
    chains = [_chain(random, num_blocks) for _ in range(NUM_PROMPTS)]
    view = CacheView()
    for number in range(num_candidates):
        view.receive_full(_digest(random, f"e{number}", chains, sample_bits), 0.0)
    policy = PrefixAware(view, RoutingObjective())
    candidates = [_candidate(random, f"e{number}") for number in range(num_candidates)]
    choose_us: list[float] = []
    sent_us: list[float] = []
    for number in range(NUM_CHOICES):
        request = ChoiceRequest(
            request_id=RequestId(str(number)),
            tenant=TenantName("tenant"),
            block_hashes=chains[number % NUM_PROMPTS],
            num_prompt_tokens=int(num_blocks * TOKENS_PER_BLOCK),
            tokens_per_block=TOKENS_PER_BLOCK,
        )
        started_s = time.perf_counter()
        choice = policy.choose(request, candidates, 1.0, random)
        chosen_s = time.perf_counter()
        assert choice is not None
        policy.note_sent(request, choice.engine, 1.0)
        choose_us.append((chosen_s - started_s) * 1e6)
        sent_us.append((time.perf_counter() - chosen_s) * 1e6)
    choose_us.sort()
    sent_us.sort()
    return ChoiceCost(
        num_candidates,
        num_blocks,
        sample_bits,
        choose_us[NUM_CHOICES // 2],
        choose_us[NUM_CHOICES * 95 // 100],
        sent_us[NUM_CHOICES // 2],
    )


def measure_chain() -> tuple[float, float, float]:
    """Return microseconds for each kB: hashing, hashing into the cache, reading from it."""
    prompt = Random(2).randbytes(PROMPT_BYTES)
    num_kb = PROMPT_BYTES / 1024
    cache = ChainCache()
    plain_us = _best_us(lambda: extend_chain(SEED_HASH, prompt, 0, BLOCK_SIZE_BYTES))
    cold_us = _best_us(lambda: ChainCache().chain(SEED_HASH, prompt, BLOCK_SIZE_BYTES))
    cache.chain(SEED_HASH, prompt, BLOCK_SIZE_BYTES)
    hot_us = _best_us(lambda: cache.chain(SEED_HASH, prompt, BLOCK_SIZE_BYTES))
    return plain_us / num_kb, cold_us / num_kb, hot_us / num_kb


def measure_state() -> tuple[float, float]:
    """Return bytes for each block of an exact set and for each key of a view of a zone."""
    random = Random(3)
    blocks = BlockSet(random.getrandbits(64) for _ in range(ENGINE_BLOCKS))
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    view = CacheView()
    for number in range(94):
        keys = [random.getrandbits(40) for _ in range(1000)]
        full = FullDigest(EngineName(f"e{number}"), Incarnation(1), 1, 1, 0, pack_keys(keys))
        view.receive_full(full, 0.0)
    num_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return blocks.num_bytes / len(blocks), num_bytes / len(view)


def _best_us(function: Callable[[], object]) -> float:
    best_s = float("inf")
    for _ in range(5):
        started_s = time.perf_counter()
        function()
        best_s = min(best_s, time.perf_counter() - started_s)
    return best_s * 1e6


def _chain(random: Random, num_blocks: int) -> Sequence[BlockHash]:
    hashes = array("Q", [random.getrandbits(64) for _ in range(num_blocks)])
    return cast(Sequence[BlockHash], hashes)


def _digest(
    random: Random, engine: str, chains: list[Sequence[BlockHash]], sample_bits: int
) -> FullDigest:
    keys: list[int] = []
    for chain in chains:
        if random.random() < 0.5:
            num_held = int(len(chain) * random.choice(HELD_SHARES))
            held = (block_key(each) for each in chain[:num_held])
            keys.extend(key for key in held if is_sampled(key, sample_bits))
    return FullDigest(EngineName(engine), Incarnation(1), 1, 1, sample_bits, pack_keys(keys))


def _candidate(random: Random, engine: str) -> EngineCandidate:
    return EngineCandidate(
        engine=EngineName(engine),
        zone=ZoneName("zone"),
        role=EngineRole.BOTH,
        incarnation=Incarnation(1),
        weight_version=WeightVersion("v1"),
        link_delay_s=0.0015,
        num_outstanding=random.randrange(20),
        num_waiting_prefill_tokens=random.randrange(9000),
        prefill_tokens_per_s=8000.0,
        max_concurrent_requests=64,
        num_total_blocks=ENGINE_BLOCKS,
        num_cached_blocks=ENGINE_BLOCKS,
        report_age_s=0.5,
    )


def main() -> None:
    """Print all measurements."""
    write = sys.stdout.write
    write("candidates blocks sample_bits choose_p50_us choose_p95_us note_sent_us\n")
    sizes = [(number, 2000) for number in (6, 24, 94, 188)]
    sizes += [(94, number) for number in (250, 500, 1000, 4000, 8000)]
    for num_candidates, num_blocks in sizes:
        for bits in (0, 5):
            cost = measure_choice(num_candidates, num_blocks, bits)
            write(
                f"{cost.num_candidates:10} {cost.num_blocks:6} {cost.sample_bits:11}"
                f" {cost.choose_p50_us:13.0f} {cost.choose_p95_us:13.0f}"
                f" {cost.note_sent_us:12.0f}\n"
            )
    plain, cold, hot = measure_chain()
    write(f"chain, us a kB: plain {plain:.2f}, cold cache {cold:.2f}, hot cache {hot:.3f}\n")
    block, key = measure_state()
    write(f"state: {block:.1f} bytes a block of an exact set, {key:.0f} bytes a key of a view\n")


if __name__ == "__main__":
    main()
