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
MOST_SEEDS = 1 << 31
DEFAULT_NODES = 6
MOST_NODES = 36
"""A few dozen processes of some 60 MiB each."""

LONGEST_MINUTES = 60.0
MEAN_INTERVAL_S = 1.5
MOST_SHOWN = 20


def run(
    minutes: float = 5.0,
    seed: int | None = None,
    nodes: int = DEFAULT_NODES,
    interval: float = MEAN_INTERVAL_S,
    report: str | None = None,
    beside: str | None = None,
) -> None:
    """Soak node processes under faults, and judge what was seen.

    Args:
        minutes: How long faults begin.
        seed: Determines faults and requests; a fresh one by default.
        nodes: Node processes.
        interval: Mean time between two faults, in seconds.
        report: Directory of logs and history; a new temporary one by default.
        beside: Checkout of another release that runs side by side with this build.
    """
    if not 0.0 < minutes <= LONGEST_MINUTES or not 0 < nodes <= MOST_NODES or interval <= 0.0:
        print(
            f"give up to {LONGEST_MINUTES:.0f} minutes, up to {MOST_NODES} nodes and an interval "
            "above 0",
            file=sys.stderr,
        )
        sys.exit(EXIT_BAD_ARGUMENT)
    chosen = SystemRandom().randrange(MOST_SEEDS) if seed is None else seed
    replay = f"make faults MINUTES={minutes:g} SEED={chosen} NODES={nodes} INTERVAL={interval:g}"
    if beside is not None:
        replay += f" BESIDE={beside}"
    directory = Path(report or tempfile.mkdtemp(prefix="fault-soak-"))
    directory.mkdir(parents=True, exist_ok=True)
    print(f"seed {chosen}, logs in {directory}", flush=True)
    signal.signal(signal.SIGTERM, _exit_on_signal)
    settings = SoakSettings(chosen, minutes * SECONDS_PER_MINUTE, nodes, interval, beside)
    outcome = anyio.run(Soak(settings, directory).run)
    _show(outcome.records, outcome.violations)
    print(f"replay: {replay}", flush=True)
    sys.exit(EXIT_VIOLATIONS if outcome.violations else EXIT_OK)


def judge_directory(directory: str) -> None:
    """Judge the history of an earlier soak again."""
    records = read_history(Path(directory) / HISTORY_FILE)
    violations = judge(records, BOUNDS)
    _show(records, violations)
    sys.exit(EXIT_VIOLATIONS if violations else EXIT_OK)


def planted(seed: int = 1, nodes: int = DEFAULT_NODES, only: str = "") -> None:
    """Plant each fault of `planted.toml` in a copy of the product and tell whether it is found.

    Args:
        seed: First seed; each takes a minute, and five are tried.
        nodes: Node processes.
        only: Plants only faults whose name holds this text.
    """
    is_every_one_found = True
    for fault in read_table():
        if only in fault.name:
            finding = plant(fault, seed, nodes)
            is_every_one_found &= finding.is_found
            print(f"{fault.name} ({fault.rule}): {_describe(finding)}", flush=True)
    sys.exit(EXIT_OK if is_every_one_found else EXIT_VIOLATIONS)


def _describe(finding: Finding) -> str:
    seeds = ", ".join(map(str, finding.seeds))
    rules = ", ".join(finding.rules) or "none"
    return f"{'found' if finding.is_found else 'MISSED'}, seeds {seeds}; broken: {rules}"


def _show(records: list[AnyRecord], violations: list[Violation]) -> None:
    ends = Counter(
        f"{one.outcome.value} {one.status}" for one in records if isinstance(one, RequestEnded)
    )
    num_runs = sum(isinstance(one, RunBegan) for one in records)
    print(f"requests: {', '.join(f'{count} {name}' for name, count in ends.most_common())}")
    print(f"runs: {num_runs}")
    late_s = sum(
        one.until_s - one.at_s
        for one in records
        if isinstance(one, Disturbed) and one.what is Disturbance.HARNESS
    )
    lasted_s = max(one.at_s for one in records) - min(one.at_s for one in records)
    print(f"the soak itself was late for {late_s:.1f} of {lasted_s:.1f} s")
    for violation in violations[:MOST_SHOWN]:
        print(
            f"{violation.at_s:.3f} {violation.rule.value} {violation.subject}: "
            f"{violation.explanation}"
        )
    counts = Counter(violation.rule.value for violation in violations)
    print(f"violations: {', '.join(f'{count} {name}' for name, count in counts.items()) or 'none'}")


def _exit_on_signal(number: int, _frame: object) -> None:
    """Turn SIGTERM into an exception, so that every process is ended on the way out."""
    sys.exit(128 + number)


if __name__ == "__main__":
    try:
        fire.Fire({"run": run, "judge": judge_directory, "planted": planted})  # type: ignore[no-untyped-call]
    except KeyboardInterrupt:
        print("interrupted; every process is ended", file=sys.stderr)
        sys.exit(EXIT_INTERRUPTED)
