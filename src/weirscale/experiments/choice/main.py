"""Compares all policies on both deployments with the same seed; prints ratios to the oracle.

Run as `python -m weirscale.experiments.choice.main [SHAPE ...]`.
"""

import sys
import time
from collections.abc import Sequence

import msgspec

from weirscale.domain.choice.approximate_tree import ApproximateTree
from weirscale.domain.choice.least_outstanding import LeastOutstanding
from weirscale.domain.choice.oracle import ExactBeliefs, OraclePolicy
from weirscale.domain.choice.prefix_aware import PrefixAware
from weirscale.domain.choice.random_choice import RandomChoice
from weirscale.domain.choice.rendezvous_bounded import RendezvousBounded
from weirscale.experiments.choice.arrivals import ArrivalMaker
from weirscale.experiments.choice.fleet import FleetRun, MakePolicy, Served
from weirscale.experiments.choice.knowledge import KnowledgeFaults
from weirscale.experiments.choice.shape import SHAPES, ChoiceShape

DEFAULT_SEED = 1
DEFAULT_DURATION_S = 300.0
WARM_UP_S = 30.0
"""Requests of the first seconds fill empty caches and are not counted."""

ORACLE = "oracle"
PREFIX_AWARE = "prefix_aware"

POLICIES: dict[str, MakePolicy] = {
    "random": lambda shape, known: RandomChoice(),
    "least_outstanding": lambda shape, known: LeastOutstanding(),
    "rendezvous_bounded": lambda shape, known: RendezvousBounded(
        num_root_blocks=shape.sections[0].num_tokens // shape.tokens_per_block
    ),
    "approximate_tree": lambda shape, known: ApproximateTree(),
    PREFIX_AWARE: lambda shape, known: PrefixAware(known.view, shape.objective, known.noted),
    "prefix_aware_silent": lambda shape, known: PrefixAware(known.view, shape.objective),
    ORACLE: lambda shape, known: OraclePolicy(
        ExactBeliefs({name: engine.leading_soon for name, engine in known.engines.items()}),
        shape.objective,
    ),
}


class PolicyResult(msgspec.Struct, frozen=True):
    """Measures of one policy on one workload.

    Attributes:
        policy: Its name.
        hit_rate: Prompt blocks served from caches, as a share.
        ttft_p50_s: Median time to first token.
        ttft_p95_s: 95th percentile.
        ttft_p99_s: 99th percentile.
        recomputed: Prompt blocks computed again, as a share.
        predicted: Blocks that the policy counted on, as a share.
        digest_bytes_per_s: Digest keys sent by all homes to one node.
        note_bytes_per_s: Notes received by one node.
        wall_s: Time that the simulation took.
    """

    policy: str
    hit_rate: float
    ttft_p50_s: float
    ttft_p95_s: float
    ttft_p99_s: float
    recomputed: float
    predicted: float
    digest_bytes_per_s: float
    note_bytes_per_s: float
    wall_s: float


def run(
    shape_name: str,
    seed: int = DEFAULT_SEED,
    duration_s: float = DEFAULT_DURATION_S,
    faults: KnowledgeFaults | None = None,
    policies: Sequence[str] = tuple(POLICIES),
    load: float = 1.0,
) -> list[PolicyResult]:
    """Run policies on a deployment's workload.

    Args:
        shape_name: `tsehay` or `startgrid`.
        seed: Determines arrivals, losses and random choices.
        duration_s: Virtual time of arrivals.
        faults: How late and lossy knowledge is; the defaults are a 2 s lag and 5 % lost batches.
        policies: Names of the policies to run.
        load: Multiple of the shape's rate of arrivals.

    Returns:
        One result for each policy.
    """
    declared = SHAPES[shape_name]
    shape = msgspec.structs.replace(declared, requests_per_s=load * declared.requests_per_s)
    return [
        run_policy(shape, name, seed, duration_s, faults or KnowledgeFaults()) for name in policies
    ]


def run_policy(
    shape: ChoiceShape, policy: str, seed: int, duration_s: float, faults: KnowledgeFaults
) -> PolicyResult:
    """Run one policy."""
    started_s = time.perf_counter()
    arrivals = ArrivalMaker(shape, seed).make(duration_s)
    fleet = FleetRun(shape, POLICIES[policy], faults, seed, exact_loads=policy == ORACLE)
    served = [each for each in fleet.run(arrivals) if each.at_s >= WARM_UP_S]
    num_digest_bytes = sum(home.num_digest_bytes for home in fleet.homes)
    num_nodes = shape.num_zones * shape.nodes_per_zone
    num_note_bytes = fleet.num_note_bytes if policy == PREFIX_AWARE else 0
    note_bytes_per_s = num_note_bytes / num_nodes / duration_s
    return _result(policy, served, num_digest_bytes / duration_s, note_bytes_per_s, started_s)


def _result(
    policy: str,
    served: list[Served],
    digest_bytes_per_s: float,
    note_bytes_per_s: float,
    started_s: float,
) -> PolicyResult:
    num_blocks = sum(each.num_blocks for each in served)
    ttfts = sorted(each.ttft_s for each in served)
    return PolicyResult(
        policy=policy,
        hit_rate=sum(each.num_cached_blocks for each in served) / num_blocks,
        ttft_p50_s=_quantile(ttfts, 0.5),
        ttft_p95_s=_quantile(ttfts, 0.95),
        ttft_p99_s=_quantile(ttfts, 0.99),
        recomputed=sum(each.num_again_blocks for each in served) / num_blocks,
        predicted=sum(each.num_predicted_blocks for each in served) / num_blocks,
        digest_bytes_per_s=digest_bytes_per_s,
        note_bytes_per_s=note_bytes_per_s,
        wall_s=time.perf_counter() - started_s,
    )


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def format_results(shape_name: str, results: list[PolicyResult]) -> str:
    """Return a table; the last three columns are ratios to the oracle."""
    oracle = next((each for each in results if each.policy == ORACLE), results[-1])
    lines = [
        f"{shape_name:20} {'hit':>6} {'p50 s':>7} {'p95 s':>7} {'p99 s':>7} {'again':>6}"
        f" {'believed':>8} {'dig B/s':>7} {'note B/s':>8} {'hit/o':>6} {'p99/o':>6} {'again/o':>7}"
    ]
    for each in results:
        lines.append(
            f"{each.policy:20} {each.hit_rate:6.3f} {each.ttft_p50_s:7.3f} {each.ttft_p95_s:7.3f}"
            f" {each.ttft_p99_s:7.3f} {each.recomputed:6.3f} {each.predicted:8.3f}"
            f" {each.digest_bytes_per_s:7.0f} {each.note_bytes_per_s:8.0f}"
            f" {each.hit_rate / oracle.hit_rate:6.3f}"
            f" {each.ttft_p99_s / oracle.ttft_p99_s:6.2f}"
            f" {each.recomputed / max(oracle.recomputed, 1e-9):7.2f}"
        )
    return "\n".join(lines)


def main() -> None:
    """Print the comparison for the named shapes, all without names."""
    for shape_name in sys.argv[1:] or SHAPES:
        sys.stdout.write(format_results(shape_name, run(shape_name)) + "\n\n")


if __name__ == "__main__":
    main()
