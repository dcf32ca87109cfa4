"""The command `soak`: run many seeds, each with its own random faults."""

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
    """Run many seeds in virtual time, each with random faults, and print the failed seeds.

    Odd and even seeds run different shipped deployments.

    Args:
        seeds: Number of seeds to run.
        first_seed: First seed.
        deployments: Directory of the deployment files.

    Returns:
        The exit code: 0, 1 if a seed failed, 2 for an invalid argument.
    """
    if seeds < 1:
        print(f"soak: --seeds {seeds} is out of range; give 1 or more", file=sys.stderr)
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
        print(f"failed: seed {seed}; to run it alone: {reproducing_command(seed)}")
    return EXIT_VIOLATIONS if failed else EXIT_OK


def run_seed(seed: int, deployments: Path) -> RunOutcome:
    """Run one seed."""
    name = DEPLOYMENT_NAMES[(seed + 1) % len(DEPLOYMENT_NAMES)]
    loaded = soak_experiment(read_deployment(deployments, name), seed)
    return run_experiment(VirtualRun(loaded, seed))


def reproducing_command(seed: int) -> str:
    """Return the command that runs one seed alone."""
    return f"weirscale soak --seeds=1 --first_seed={seed}"


def _print_seed(seed: int, outcome: RunOutcome, duration_s: float) -> None:
    figures = outcome.figures
    faults = ", ".join(f"{fault.kind.value}@{fault.at_s:.1f}" for fault in outcome.faults)
    verdict = "FAILED" if has_failed(outcome) else "ok"
    print(f"seed {seed} {figures.deployment} {verdict} {duration_s:.1f} s [{faults}]", flush=True)
    if has_failed(outcome):
        print_outcome(outcome)
        print(f"to run it alone: {reproducing_command(seed)}", flush=True)
