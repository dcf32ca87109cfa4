"""Runs formatter, linter, type check and behave; the last line is `N passed, N failed`.

Each of the three static checks counts as one, each behave scenario as one. A failing scenario that
KNOWN-RED.txt lists (one line each: test, cause, issue) is printed but not counted as failed.
"""

import json
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

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

BEHAVE_ENDED = (0, 1)
"""Exit codes of behave that ran to its end: all passed, or some failed."""


def run_static_check(name: str, command: tuple[str, ...]) -> bool:
    """Run one tool from this interpreter's environment; True if it is clean."""
    outcome = subprocess.run([sys.executable, "-m", *command], check=False)
    print(f"{name}: {'passed' if outcome.returncode == 0 else 'FAILED'}", flush=True)
    return outcome.returncode == 0


def known_red() -> set[str]:
    """Return the scenario names that KNOWN-RED.txt lists; at most MAX_KNOWN_RED."""
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = [line for line in KNOWN_RED_FILE.read_text().splitlines() if line.strip()]
    malformed = any(len(line.split(",", 2)) < KNOWN_RED_FIELDS for line in lines)
    if len(lines) > MAX_KNOWN_RED or malformed:
        sys.exit("KNOWN-RED.txt: at most three lines, each `test, cause, issue`")
    return {line.split(",", 1)[0].strip() for line in lines}


def run_features(files: list[str], report: Path) -> tuple[str, bool]:
    """Run behave on some feature files; return its output and whether it ended properly."""
    command = [sys.executable, "-m", "behave", "--format", "json", "--outfile", str(report)]
    command += ["--format", "progress", *files]
    outcome = subprocess.run(
        command, check=False, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )
    return outcome.stdout, outcome.returncode in BEHAVE_ENDED and report.exists()


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


def run_behave() -> tuple[list[str], list[str], bool]:
    """Run every scenario; return passed names, other names and whether behave itself ran well.

    Feature files share nothing, so they are dealt to a few processes, long ones first.
    """
    files = sorted(Path("features").glob("*.feature"), key=lambda file: -file.stat().st_size)
    shares = [[str(file) for file in files[start::NUM_WORKERS]] for start in range(NUM_WORKERS)]
    passed: list[str] = []
    others: list[str] = []
    ran_well = True
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(NUM_WORKERS) as pool:
        reports = [Path(folder) / f"{number}.json" for number in range(NUM_WORKERS)]
        for report, (output, ended) in zip(
            reports, pool.map(run_features, shares, reports), strict=True
        ):
            print(output, flush=True)
            ran_well = ran_well and ended
            if ended:
                names = read_report(report)
                passed += names[0]
                others += names[1]
    return passed, others, ran_well and bool(passed)


def main() -> int:
    """Run everything and print the closing line."""
    results = [run_static_check(name, command) for name, command in STATIC_CHECKS]
    passed, others, ran_well = run_behave()
    results.append(ran_well)
    expected = known_red()
    failed = [name for name in others if name not in expected]
    for name in others:
        print(f"{'known red' if name in expected else 'failed'}: {name}")
    num_passed = results.count(True) + len(passed)
    num_failed = results.count(False) + len(failed)
    print(f"{num_passed} passed, {num_failed} failed", flush=True)
    return 1 if num_failed else 0


if __name__ == "__main__":
    sys.exit(main())
