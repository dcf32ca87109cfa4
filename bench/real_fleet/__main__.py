"""Command line: `python -m bench.real_fleet FILE-or-preset --seed N --report DIR`."""

import argparse
import signal
import sys
import tempfile
from pathlib import Path

import anyio
import msgspec
from result import Err

from bench.real_fleet.experiment import RealExperiment, RealFaultKind, load, single_fault
from bench.real_fleet.operator_commands import CommandFailedError
from bench.real_fleet.run import RealFleetRun, RealOutcome
from weirscale.domain.configuration.model import Deployment
from weirscale.experiments.report.files import write_report
from weirscale.experiments.run.main import (
    EXIT_BAD_ARGUMENT,
    EXIT_OK,
    EXIT_VIOLATIONS,
    print_outcome,
)
from weirscale.experiments.run.main import has_failed as figures_failed
from weirscale.experiments.run.virtual import RunOutcome

PROCESSES_FILE = "processes.json"
EXIT_INTERRUPTED = 130
EACH = "each"
LONG_PAUSE = "node_pause:20"
"""Longer than any lease lives."""


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="python -m bench.real_fleet",
        description="Run a deployment as real processes on loopback, under load and failures.",
    )
    parser.add_argument("experiment", help="a file, or a preset: tsehay, startgrid")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--report", type=Path, help="directory of report.json, page and logs")
    kinds = ", ".join(kind.value for kind in RealFaultKind)
    parser.add_argument(
        "--fault",
        help=f"one failure in place of the timeline, as KIND or KIND:SECONDS; none; {EACH} for "
        f"one run of each kind. Kinds: {kinds}",
    )
    return parser.parse_args()


def _run_one(
    experiment: RealExperiment, declared: Deployment, seed: int, directory: Path
) -> RealOutcome:
    directory.mkdir(parents=True, exist_ok=True)
    run = RealFleetRun(experiment, declared, seed, directory)
    return anyio.run(run.run)


def _show(experiment: RealExperiment, outcome: RealOutcome, directory: Path) -> None:
    figures = outcome.figures
    print(f"{experiment.name}: seed {figures.seed}, logs in {directory}")
    print_outcome(RunOutcome(outcome.history, figures, ()))
    for start in outcome.starts:
        if start.is_restart:
            print(
                f"restart of {start.node}: listening after {_seconds(start.listening_after_s)}, "
                f"first request answered after {_seconds(start.answering_after_s)}"
            )
    if outcome.usages:
        memory = max(one.resident_mib for one in outcome.usages)
        share = max(one.core_share for one in outcome.usages)
        print(f"nodes: at most {memory:.0f} MiB resident and {share:.1%} of a core each")
    write_report(directory, figures)
    processes = {"starts": outcome.starts, "usages": outcome.usages}
    encoded = msgspec.json.format(msgspec.json.encode(processes), indent=2)
    (directory / PROCESSES_FILE).write_bytes(encoded + b"\n")
    sys.stdout.flush()


def _seconds(duration_s: float | None) -> str:
    return "never" if duration_s is None else f"{duration_s:.3f} s"


def _chosen(experiment: RealExperiment, fault: str | None) -> list[RealExperiment] | None:
    """Return the runs to make; None for an unknown kind."""
    if fault is None:
        return [experiment]
    every = ["none", *(kind.value for kind in RealFaultKind), LONG_PAUSE]
    names = every if fault == EACH else [fault]
    chosen = [single_fault(experiment, name) for name in names]
    return [one for one in chosen if one is not None] if all(chosen) else None


def _exit_on_signal(number: int, _frame: object) -> None:
    """Turn SIGTERM into an exception, so that every process is ended on the way out."""
    sys.exit(128 + number)


def main() -> int:
    """Run and return the exit code: 1 if any rule was broken."""
    arguments = _arguments()
    loaded = load(arguments.experiment)
    if isinstance(loaded, Err):
        print(loaded.err_value, file=sys.stderr)
        return EXIT_BAD_ARGUMENT
    experiment, declared = loaded.ok_value
    chosen = _chosen(experiment, arguments.fault)
    if chosen is None:
        print(f"unknown fault {arguments.fault!r}; see --help", file=sys.stderr)
        return EXIT_BAD_ARGUMENT
    signal.signal(signal.SIGTERM, _exit_on_signal)
    root = arguments.report or Path(tempfile.mkdtemp(prefix="real-fleet-"))
    code = EXIT_OK
    for one in chosen:
        directory = root if len(chosen) == 1 else root / one.name
        outcome: RealOutcome | None = None
        try:
            outcome = _run_one(one, declared, arguments.seed, directory)
        except* CommandFailedError as group:
            for error in group.exceptions:
                print(f"{one.name}: {error}; see the logs in {directory}", file=sys.stderr)
        if outcome is None:
            code = EXIT_VIOLATIONS
            continue
        _show(one, outcome, directory)
        if figures_failed(RunOutcome(outcome.history, outcome.figures, ())):
            code = EXIT_VIOLATIONS
    return code


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        print("interrupted; every process is ended", file=sys.stderr)
        sys.exit(EXIT_INTERRUPTED)
