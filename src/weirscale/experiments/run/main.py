"""Implement the command `experiment run`."""

import os
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from weirscale.experiments.faults.kinds import FaultKind
from weirscale.experiments.faults.schedule import overlapping
from weirscale.experiments.report.files import write_report
from weirscale.experiments.run.load import LoadedExperiment, load_experiment, with_shape
from weirscale.experiments.run.virtual import Progress, RunOutcome, VirtualRun, run_experiment

EXIT_OK = 0
EXIT_VIOLATIONS = 1
EXIT_BAD_ARGUMENT = 2

HASH_SEED_VARIABLE = "PYTHONHASHSEED"
FIXED_HASH_SEED = "0"


def ensure_fixed_hash_seed() -> None:
    """Re-execute this command with a fixed hash seed, unless one is already set.

    The iteration order of sets of names depends on the hash seed, so an experiment seed determines
    a run only together with it. Python reads the hash seed only at startup.
    """
    if os.environ.get(HASH_SEED_VARIABLE, "random") != "random":
        return
    environment = {**os.environ, HASH_SEED_VARIABLE: FIXED_HASH_SEED}
    os.execve(sys.executable, [sys.executable, *sys.orig_argv[1:]], environment)


def run(
    file: str,
    seed: int | None = None,
    report: str | None = None,
    faults: str | Sequence[str] | None = None,
) -> int:
    """Run an experiment file and print its figures.

    Args:
        file: Experiment file, see `experiments/`.
        seed: Overrides the file's seed.
        report: Directory for `report.json`; None writes no report.
        faults: Comma-separated kinds of faults that replace the file's; they overlap in time.

    Returns:
        The exit code: 0 for success, 1 if a rule was violated or a node raised an exception, 2 for
        an invalid argument.
    """
    loaded = load_experiment(Path(file))
    if isinstance(loaded, Err):
        for line in loaded.err_value:
            print(line, file=sys.stderr)
        return EXIT_BAD_ARGUMENT
    chosen = _with_faults(loaded.ok_value, faults)
    if isinstance(chosen, Err):
        print(chosen.err_value, file=sys.stderr)
        return EXIT_BAD_ARGUMENT
    experiment = chosen.ok_value.experiment
    used_seed = experiment.seed if seed is None else seed
    ensure_fixed_hash_seed()
    outcome = run_with_progress(chosen.ok_value, used_seed)
    print_outcome(outcome)
    if report is not None:
        write_report(Path(report), outcome.figures)
        print(f"report: {report}")
    return EXIT_VIOLATIONS if has_failed(outcome) else EXIT_OK


def _with_faults(
    loaded: LoadedExperiment, faults: str | Sequence[str] | None
) -> Result[LoadedExperiment, str]:
    """Replace the file's faults by the named ones; Fire passes several names as a tuple."""
    if faults is None:
        return Ok(loaded)
    names = faults.split(",") if isinstance(faults, str) else list(faults)
    kinds_by_name = {kind.value: kind for kind in FaultKind}
    unknown = [name for name in names if name not in kinds_by_name]
    if unknown:
        return Err(f"unknown fault {unknown[0]!r}; use {', '.join(kinds_by_name)}")
    planned = overlapping([kinds_by_name[name] for name in names])
    name = "+".join([loaded.experiment.name, *names])
    experiment = msgspec.structs.replace(loaded.experiment, name=name, faults=planned)
    return Ok(with_shape(experiment, loaded.deployment))


def has_failed(outcome: RunOutcome) -> bool:
    """Return whether a rule was violated or a node raised an exception."""
    return bool(outcome.figures.violations) or outcome.figures.num_internal_errors > 0


def run_with_progress(loaded: LoadedExperiment, seed: int) -> RunOutcome:
    """Run an experiment with a progress bar on the terminal."""
    from rich.progress import Progress as ProgressBar

    with ProgressBar(transient=True) as bar:
        task = bar.add_task(loaded.experiment.name, total=None)

        def show(num_ended: int, num_planned: int, virtual_s: float) -> None:
            text = f"{loaded.experiment.name}: {virtual_s:.0f} s of virtual time"
            bar.update(task, completed=num_ended, total=num_planned, description=text)

        progress: Progress = show
        return run_experiment(VirtualRun(loaded, seed, progress=progress))


MAX_PRINTED_VIOLATIONS = 20


def print_outcome(outcome: RunOutcome, show: Callable[[str], None] = print) -> None:
    """Print the figures of a run and the first violations."""
    figures = outcome.figures
    requests = figures.requests
    names = [name for name in requests.__struct_fields__ if getattr(requests, name)]
    show(" ".join(f"{name}={getattr(requests, name)}" for name in names))
    if figures.refusals:
        show("refusals: " + " ".join(f"{code}={n}" for code, n in figures.refusals.items()))
    ttft = figures.ttft_seconds
    show(
        f"prefix_hit_rate={_format(figures.prefix_hit_rate)} "
        f"recomputed_tokens_ratio={_format(figures.recomputed_tokens_ratio)} "
        f"ttft_s p50={_format(ttft.p50)} p95={_format(ttft.p95)} p99={_format(ttft.p99)}"
    )
    show(f"violations={len(figures.violations)} internal_errors={figures.num_internal_errors}")
    for violation in figures.violations[:MAX_PRINTED_VIOLATIONS]:
        show(f"{violation.rule}: {violation.detail} {' '.join(violation.request_ids)}")
    for error in figures.internal_errors:
        show(f"internal error: {error}")


def _format(value: float | None) -> str:
    return "none" if value is None else f"{value:.3f}"
