"""The command `soak`: many seeds, each with faults of its own."""

import sys
import time
from pathlib import Path

from weirscale.experiments.run.main import (
    EXIT_BAD_ARGUMENT,
    EXIT_OK,
    EXIT_VIOLATIONS,
    ensure_fixed_hash_seed,
    has_failed,
    print_outcome,
)
from weirscale.experiments.run.virtual import RunOutcome, VirtualRun, run_experiment
from weirscale.experiments.soak.experiments import (
    DEPLOYMENT_NAMES,
    read_deployment,
    soak_experiment,
)

DEFAULT_NUM_SEEDS = 200
DEPLOYMENTS_FOLDER = "deployments"


def run(
    seeds: int = DEFAULT_NUM_SEEDS,
    first_seed: int = 1,
    deployments: str = DEPLOYMENTS_FOLDER,
) -> int:
    """Run many seeds in virtual time, each with random faults; print those that break a rule.

    Odd seeds run one shipped deployment, even ones the other.

    Args:
        seeds: Seeds to run.
        first_seed: The first one.
        deployments: Folder of the deployment files.

    Returns:
        The exit code: 0, 1 when a seed broke a rule, 2 for a bad argument.
    """
    if seeds < 1:
        print(f"soak: {seeds} seeds are none; give --seeds 1 or more", file=sys.stderr)
        return EXIT_BAD_ARGUMENT
    ensure_fixed_hash_seed()
    failed: list[int] = []
    for seed in range(first_seed, first_seed + seeds):
        started_s = time.monotonic()
        outcome = run_seed(seed, Path(deployments))
        _print_seed(seed, outcome, time.monotonic() - started_s)
        if has_failed(outcome):
            failed.append(seed)
    print(f"{seeds - len(failed)} of {seeds} seeds without violations", flush=True)
    for seed in failed:
        print(f"failed: seed {seed}; again alone: {reproducing_command(seed)}")
    return EXIT_VIOLATIONS if failed else EXIT_OK


def run_seed(seed: int, deployments: Path) -> RunOutcome:
    """Run one seed."""
    name = DEPLOYMENT_NAMES[(seed + 1) % len(DEPLOYMENT_NAMES)]
    loaded = soak_experiment(read_deployment(deployments, name), seed)
    return run_experiment(VirtualRun(loaded, seed))


def reproducing_command(seed: int) -> str:
    """Return the command that runs one seed alone."""
    return f"weirscale soak --seeds=1 --first_seed={seed}"


def _print_seed(seed: int, outcome: RunOutcome, took_s: float) -> None:
    figures = outcome.figures
    faults = ", ".join(f"{one.kind.value}@{one.at_s:.1f}" for one in outcome.faults)
    verdict = "FAILED" if has_failed(outcome) else "ok"
    print(f"seed {seed} {figures.deployment} {verdict} {took_s:.1f} s [{faults}]", flush=True)
    if has_failed(outcome):
        print_outcome(outcome)
        print(f"again alone: {reproducing_command(seed)}", flush=True)
