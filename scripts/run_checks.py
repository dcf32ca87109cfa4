"""Runs formatter, linter, type check and behave; the last line is `N passed, N failed`.

Each of the three static checks counts as one, each behave scenario as one. A failing scenario that
KNOWN-RED.txt lists (one line each: test, cause, issue) is printed but not counted as failed.
"""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

STATIC_CHECKS = (
    ("formatter", ("ruff", "format", "--check", "--quiet", ".")),
    ("linter", ("ruff", "check", "--quiet", ".")),
    ("type check", ("mypy",)),
)
KNOWN_RED_FILE = Path("KNOWN-RED.txt")
MAX_KNOWN_RED = 3
KNOWN_RED_FIELDS = 3


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


def run_behave() -> tuple[list[str], list[str], bool]:
    """Run every scenario; return passed names, other names and whether behave itself ran well."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "behave.json"
        command = [sys.executable, "-m", "behave", "--format", "json", "--outfile", str(report)]
        command += ["--format", "progress"]
        outcome = subprocess.run([*command, "features"], check=False)
        features = json.loads(report.read_text() or "[]") if report.exists() else []
    passed: list[str] = []
    others: list[str] = []
    for feature in features:
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            names = passed if element["status"] == "passed" else others
            names.append(element["name"])
    ran_well = outcome.returncode == 0 or bool(others)
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
