"""Runs formatter, linter, type check and behave; the last line is `N passed, N failed`.

Each of the three static checks and each behave scenario counts as one. A failing scenario that is
listed in KNOWN-RED.txt (a line each: test, cause, issue) is printed, but not counted as failed.
"""

import contextlib
import io
import json
import multiprocessing
import subprocess
import sys
import tempfile
import time
from concurrent.futures import Future, ProcessPoolExecutor, ThreadPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path

from behave.__main__ import run_behave
from behave.configuration import Configuration
from behave.runner import Runner

STATIC_CHECKS = (
    ("formatter", ("ruff", "format", "--check", "--quiet", ".")),
    ("linter", ("ruff", "check", "--quiet", ".")),
    ("type check", ("mypy",)),
)
KNOWN_RED_FILE = Path("KNOWN-RED.txt")
MAX_KNOWN_RED = 3
KNOWN_RED_FIELDS = 3
NUM_WORKERS = 4
"""Concurrent behave processes; few enough for a small machine."""

SLOW_FEATURES = (
    "fault_soak",
    "gateway_overload",
    "gateway_lost_paths",
    "gateway_brittle",
    "gateway_shared_blocks",
    "gateway_quarantine",
    "gateway_rollouts_faults",
    "gateway_rollouts",
    "membership_faults",
    "duties_lease",
    "configuration_spread",
    "backends_directory",
    "placement_rollout",
    "claims_faults",
    "experiment_virtual_runs",
    "limits_shares",
    "gateway_quota",
    "gateway_quota_schedules",
)
"""The slowest files, started first so that no worker still runs one of them alone at the end."""

BEHAVE_COMPLETED = (0, 1)
"""Exit codes of a behave run that was completed: all passed, or some failed."""


@dataclass(frozen=True)
class FeatureRun:
    """Result of a behave run of one feature file.

    Attributes:
        file: The feature file.
        output: Everything that behave printed.
        passed: Names of the scenarios that passed.
        others: Names of all other scenarios.
        is_completed: Whether behave completed the run.
        duration_s: Duration of the run.
    """

    file: str
    output: str
    passed: list[str]
    others: list[str]
    is_completed: bool
    duration_s: float


def run_static_check(name: str, command: tuple[str, ...]) -> tuple[bool, str]:
    """Run a tool from this interpreter's environment.

    Return whether it passed, and the text to print.
    """
    outcome = subprocess.run(
        [sys.executable, "-m", *command],
        check=False,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    is_clean = outcome.returncode == 0
    return is_clean, f"{outcome.stdout}{name}: {'passed' if is_clean else 'FAILED'}"


def read_known_red() -> set[str]:
    """Return the scenario names that KNOWN-RED.txt lists; exit if it is malformed or too long."""
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = [line for line in KNOWN_RED_FILE.read_text().splitlines() if line.strip()]
    malformed = any(len(line.split(",", 2)) < KNOWN_RED_FIELDS for line in lines)
    if len(lines) > MAX_KNOWN_RED or malformed:
        sys.exit("KNOWN-RED.txt: at most three lines, each `test, cause, issue`")
    return {line.split(",", 1)[0].strip() for line in lines}


def listed_name(name: str) -> str:
    """Return a scenario's name as KNOWN-RED.txt lists it, which is up to the first comma."""
    return name.split(",", 1)[0].strip()


class SharedStepsRunner(Runner):
    """Loads the step files only once in a process."""

    has_loaded = False

    def load_step_definitions(self, extra_step_paths: list[str] | None = None) -> None:
        """Load the step files, unless this process has loaded them already."""
        if not SharedStepsRunner.has_loaded:
            super().load_step_definitions(extra_step_paths)  # type: ignore[no-untyped-call]
            SharedStepsRunner.has_loaded = True


def run_feature(file: str) -> FeatureRun:
    """Run behave on one feature file."""
    began_s = time.monotonic()
    with tempfile.TemporaryDirectory() as folder, contextlib.redirect_stdout(io.StringIO()) as text:
        report = Path(folder) / "report.json"
        command = ["--format", "json", "--outfile", str(report), "--format", "progress2", file]
        with contextlib.redirect_stderr(text):
            configuration = Configuration(command)  # type: ignore[no-untyped-call]
            exit_code = run_behave(  # type: ignore[no-untyped-call]
                configuration, SharedStepsRunner
            )
        is_completed = exit_code in BEHAVE_COMPLETED and report.exists()
        passed, others = read_report(report) if is_completed else ([], [])
    duration_s = time.monotonic() - began_s
    return FeatureRun(file, text.getvalue(), passed, others, is_completed, duration_s)


def read_report(report: Path) -> tuple[list[str], list[str]]:
    """Return the names of the passed scenarios, and of all others."""
    passed: list[str] = []
    others: list[str] = []
    for feature in json.loads(report.read_text() or "[]"):
        for element in feature.get("elements", []):
            if element["type"] != "background":
                names = passed if element["status"] == "passed" else others
                names.append(element["name"])
    return passed, others


def feature_files() -> list[str]:
    """Return all feature files: the slow ones first, then the others by descending size."""

    def rank(file: Path) -> tuple[bool, int, int]:
        is_slow = file.stem in SLOW_FEATURES
        return not is_slow, SLOW_FEATURES.index(file.stem) if is_slow else 0, -file.stat().st_size

    return [str(file) for file in sorted(Path("features").glob("*.feature"), key=rank)]


def result_of(future: Future[FeatureRun], file: str) -> FeatureRun:
    """Return the result of a run; it is incomplete if the run raised or its process died."""
    error = future.exception()
    if error is None:
        return future.result()
    return FeatureRun(file, f"{type(error).__name__}: {error}", [], [], False, 0.0)


def describe(run: FeatureRun) -> str:
    """Return a summary line for a file, preceded by behave's output unless all scenarios passed."""
    num_others = len(run.others)
    line = f"{run.file}: {len(run.passed)} passed, {num_others} not, in {run.duration_s:.1f} s"
    if not run.is_completed:
        line += " (behave did not complete the run)"
    return line if run.is_completed and not run.others else f"{run.output}\n{line}"


def run_features() -> list[FeatureRun]:
    """Run every scenario.

    Feature files share no state, so each goes to the next idle worker. Workers are spawned, not
    forked, so that the threads of this process are not copied into them.
    """
    spawn = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(NUM_WORKERS, mp_context=spawn) as pool:
        files = {pool.submit(run_feature, file): file for file in feature_files()}
        runs = []
        for future in as_completed(files):
            runs.append(result_of(future, files[future]))
            print(describe(runs[-1]), flush=True)
    return runs


def main() -> int:
    """Run all checks and print the closing line."""
    with ThreadPoolExecutor(1) as background:
        checks = [background.submit(run_static_check, *check) for check in STATIC_CHECKS]
        runs = run_features()
        results = [check.result()[0] for check in checks]
        for check in checks:
            print(check.result()[1])
    passed = [name for run in runs for name in run.passed]
    others = [name for run in runs for name in run.others]
    results.append(bool(passed) and all(run.is_completed for run in runs))
    expected = read_known_red()
    failed = [name for name in others if listed_name(name) not in expected]
    for name in others:
        print(f"{'failed' if name in failed else 'known red'}: {name}")
    num_passed = results.count(True) + len(passed)
    num_failed = results.count(False) + len(failed)
    print(f"{num_passed} passed, {num_failed} failed", flush=True)
    return 1 if num_failed else 0


if __name__ == "__main__":
    sys.exit(main())
