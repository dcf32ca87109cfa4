"""Runs formatter, linter, type check and behave; the last line is `N passed, N failed`.

Each of the three static checks counts as one, each behave scenario as one. A failing scenario that
KNOWN-RED.txt lists (one line each: test, cause, issue) is printed but not counted as failed.
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
"""behave processes at once; few enough for a small machine."""

SLOW_FEATURES = (
    "fault_soak",
    "gateway_overload",
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
"""Files that take longest, begun first so that no worker is left with one at the end."""

BEHAVE_ENDED = (0, 1)
"""Exit codes of behave that ran to its end: all passed, or some failed."""


@dataclass(frozen=True)
class FeatureRun:
    """What behave made of one feature file.

    Attributes:
        file: The feature file.
        output: Everything that behave printed.
        passed: Names of the scenarios that passed.
        others: Names of all other scenarios.
        ended: Whether behave ran to its end.
        duration_s: Time that it took.
    """

    file: str
    output: str
    passed: list[str]
    others: list[str]
    ended: bool
    duration_s: float


def run_static_check(name: str, command: tuple[str, ...]) -> tuple[bool, str]:
    """Run one tool from this interpreter's environment; True if it is clean, and what to print."""
    outcome = subprocess.run(
        [sys.executable, "-m", *command],
        check=False,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    is_clean = outcome.returncode == 0
    return is_clean, f"{outcome.stdout}{name}: {'passed' if is_clean else 'FAILED'}"


def known_red() -> set[str]:
    """Return the scenario names that KNOWN-RED.txt lists; at most MAX_KNOWN_RED."""
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = [line for line in KNOWN_RED_FILE.read_text().splitlines() if line.strip()]
    malformed = any(len(line.split(",", 2)) < KNOWN_RED_FIELDS for line in lines)
    if len(lines) > MAX_KNOWN_RED or malformed:
        sys.exit("KNOWN-RED.txt: at most three lines, each `test, cause, issue`")
    return {line.split(",", 1)[0].strip() for line in lines}


def listed_name(name: str) -> str:
    """Return how a scenario is listed: a line's first comma ends its name."""
    return name.split(",", 1)[0].strip()


class SharedStepsRunner(Runner):
    """Runs features with the step files that its process has loaded once."""

    has_loaded = False

    def load_step_definitions(self, extra_step_paths: list[str] | None = None) -> None:
        """Load the step files, unless an earlier run of the process did."""
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
        ended = exit_code in BEHAVE_ENDED and report.exists()
        passed, others = read_report(report) if ended else ([], [])
    duration_s = time.monotonic() - began_s
    return FeatureRun(file, text.getvalue(), passed, others, ended, duration_s)


def read_report(report: Path) -> tuple[list[str], list[str]]:
    """Return the names of passed and of all other scenarios."""
    passed: list[str] = []
    others: list[str] = []
    for feature in json.loads(report.read_text() or "[]"):
        for element in feature.get("elements", []):
            if element["type"] != "background":
                names = passed if element["status"] == "passed" else others
                names.append(element["name"])
    return passed, others


def feature_files() -> list[str]:
    """Return all feature files, the slow ones first, then the large ones."""

    def rank(file: Path) -> tuple[bool, int, int]:
        is_slow = file.stem in SLOW_FEATURES
        return not is_slow, SLOW_FEATURES.index(file.stem) if is_slow else 0, -file.stat().st_size

    return [str(file) for file in sorted(Path("features").glob("*.feature"), key=rank)]


def outcome_of(run: Future[FeatureRun], file: str) -> FeatureRun:
    """Return a finished run; one that raised, or whose process died, did not end."""
    error = run.exception()
    if error is None:
        return run.result()
    return FeatureRun(file, f"{type(error).__name__}: {error}", [], [], False, 0.0)


def describe(run: FeatureRun) -> str:
    """Return one line for a file that passed; of any other, all that behave printed."""
    num_others = len(run.others)
    line = f"{run.file}: {len(run.passed)} passed, {num_others} not, in {run.duration_s:.1f} s"
    if not run.ended:
        line += " (behave did not run to its end)"
    return line if run.ended and not run.others else f"{run.output}\n{line}"


def run_features() -> list[FeatureRun]:
    """Run every scenario.

    Feature files share nothing: each goes to the next worker that is idle. Workers are new
    processes, so that the threads of this one are not copied into them.
    """
    spawn = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(NUM_WORKERS, mp_context=spawn) as pool:
        files = {pool.submit(run_feature, file): file for file in feature_files()}
        runs = []
        for future in as_completed(files):
            runs.append(outcome_of(future, files[future]))
            print(describe(runs[-1]), flush=True)
    return runs


def main() -> int:
    """Run everything and print the closing line."""
    with ThreadPoolExecutor(1) as background:
        checks = [background.submit(run_static_check, *check) for check in STATIC_CHECKS]
        runs = run_features()
        results = [check.result()[0] for check in checks]
        for check in checks:
            print(check.result()[1])
    passed = [name for run in runs for name in run.passed]
    others = [name for run in runs for name in run.others]
    results.append(bool(passed) and all(run.ended for run in runs))
    expected = known_red()
    failed = [name for name in others if listed_name(name) not in expected]
    for name in others:
        print(f"{'failed' if name in failed else 'known red'}: {name}")
    num_passed = results.count(True) + len(passed)
    num_failed = results.count(False) + len(failed)
    print(f"{num_passed} passed, {num_failed} failed", flush=True)
    return 1 if num_failed else 0


if __name__ == "__main__":
    sys.exit(main())
