"""Command line: `python -m bench.fault_soak run --minutes 5`, `… judge DIRECTORY`, `… planted`."""

import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path
from random import SystemRandom

import anyio
import fire

from bench.fault_soak.history import (
    AnyRecord,
    Disturbance,
    Disturbed,
    RequestEnded,
    RunBegan,
    read_history,
)
from bench.fault_soak.planted import Finding, plant, read_table
from bench.fault_soak.rules import judge
from bench.fault_soak.run import BOUNDS, HISTORY_FILE, Soak, SoakSettings
from bench.fault_soak.violations import Violation

EXIT_OK = 0
EXIT_VIOLATIONS = 1
EXIT_BAD_ARGUMENT = 2
EXIT_INTERRUPTED = 130
SECONDS_PER_MINUTE = 60.0
MAX_SEED = 1 << 31
DEFAULT_NODES = 6
MAX_NODES = 36
"""Each node is a process of about 60 MiB."""

MAX_MINUTES = 60.0
MEAN_INTERVAL_S = 1.5
MAX_SHOWN_VIOLATIONS = 20


def run(
    minutes: float = 5.0,
    seed: int | None = None,
    nodes: int = DEFAULT_NODES,
    interval: float = MEAN_INTERVAL_S,
    report: str | None = None,
    beside: str | None = None,
) -> None:
    """Run a soak test of node processes under faults, and judge its history.

    Args:
        minutes: How long new faults are injected.
        seed: Determines faults and requests; random by default.
        nodes: Number of node processes.
        interval: Mean time between two faults, in seconds.
        report: Directory for logs and history; a new temporary directory by default.
        beside: Checkout of another release that runs side by side with this build.
    """
    if not 0.0 < minutes <= MAX_MINUTES or not 0 < nodes <= MAX_NODES or interval <= 0.0:
        print(
            f"expected up to {MAX_MINUTES:.0f} minutes, up to {MAX_NODES} nodes and an interval "
            "above 0",
            file=sys.stderr,
        )
        sys.exit(EXIT_BAD_ARGUMENT)
    actual_seed = SystemRandom().randrange(MAX_SEED) if seed is None else seed
    replay = (
        f"make faults MINUTES={minutes:g} SEED={actual_seed} NODES={nodes} INTERVAL={interval:g}"
    )
    if beside is not None:
        replay += f" BESIDE={beside}"
    directory = Path(report or tempfile.mkdtemp(prefix="fault-soak-"))
    directory.mkdir(parents=True, exist_ok=True)
    print(f"seed {actual_seed}, logs in {directory}", flush=True)
    signal.signal(signal.SIGTERM, _exit_on_signal)
    settings = SoakSettings(actual_seed, minutes * SECONDS_PER_MINUTE, nodes, interval, beside)
    outcome = anyio.run(Soak(settings, directory).run)
    _show(outcome.records, outcome.violations)
    print(f"replay: {replay}", flush=True)
    sys.exit(EXIT_VIOLATIONS if outcome.violations else EXIT_OK)


def judge_directory(directory: str) -> None:
    """Judge the history of an earlier soak test again.

    Args:
        directory: Its report directory.
    """
    records = read_history(Path(directory) / HISTORY_FILE)
    violations = judge(records, BOUNDS)
    _show(records, violations)
    sys.exit(EXIT_VIOLATIONS if violations else EXIT_OK)


def planted(seed: int = 1, nodes: int = DEFAULT_NODES, only: str = "") -> None:
    """Plant each fault of `planted.toml` in a copy of the product and print whether it is detected.

    Args:
        seed: First seed; up to five are tried, a minute each.
        nodes: Number of node processes.
        only: Plant only faults whose name contains this text.
    """
    are_all_found = True
    for fault in read_table():
        if only in fault.name:
            finding = plant(fault, seed, nodes)
            are_all_found &= finding.is_found
            print(f"{fault.name} ({fault.rule}): {_describe(finding)}", flush=True)
    sys.exit(EXIT_OK if are_all_found else EXIT_VIOLATIONS)


def _describe(finding: Finding) -> str:
    seeds = ", ".join(map(str, finding.seeds))
    rules = ", ".join(finding.rules) or "none"
    return f"{'found' if finding.is_found else 'MISSED'}, seeds {seeds}; broken: {rules}"


def _show(records: list[AnyRecord], violations: list[Violation]) -> None:
    outcomes = Counter(
        f"{record.outcome.value} {record.status}"
        for record in records
        if isinstance(record, RequestEnded)
    )
    num_runs = sum(isinstance(record, RunBegan) for record in records)
    print(f"requests: {', '.join(f'{count} {name}' for name, count in outcomes.most_common())}")
    print(f"runs: {num_runs}")
    delay_s = sum(
        record.until_s - record.at_s
        for record in records
        if isinstance(record, Disturbed) and record.what is Disturbance.HARNESS
    )
    duration_s = max(record.at_s for record in records) - min(record.at_s for record in records)
    print(f"the soak test itself was delayed for {delay_s:.1f} of {duration_s:.1f} s")
    for violation in violations[:MAX_SHOWN_VIOLATIONS]:
        print(
            f"{violation.at_s:.3f} {violation.rule.value} {violation.subject}: "
            f"{violation.explanation}"
        )
    counts = Counter(violation.rule.value for violation in violations)
    print(f"violations: {', '.join(f'{count} {name}' for name, count in counts.items()) or 'none'}")


def _exit_on_signal(number: int, _frame: object) -> None:
    """Raise an exception on SIGTERM, so that the clean-up stops every process."""
    sys.exit(128 + number)


if __name__ == "__main__":
    try:
        fire.Fire({"run": run, "judge": judge_directory, "planted": planted})  # type: ignore[no-untyped-call]
    except KeyboardInterrupt:
        print("interrupted; every process was stopped", file=sys.stderr)
        sys.exit(EXIT_INTERRUPTED)
