"""Runs the days of `bench/days/table.toml` on an external test bench and prints a line for each.

A day is a scenario of load and faults. Usage: python scripts/play_days.py BENCH SITE [JOBS]
[NAME ...], with BENCH the bench's program and SITE a site file. The bench is not part of the
repository, so CI does not run this script.
"""

import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

TABLE = Path(__file__).resolve().parents[1] / "bench" / "days" / "table.toml"
DEFAULT_JOBS = 4
EXIT_USAGE = 2
MIN_ARGUMENTS = 2
QUIET_DAY = "quiet-1"


def as_toml(value: Any) -> str:
    """Return a value of a day as TOML."""
    if isinstance(value, list):
        return "[" + ", ".join(as_toml(item) for item in value) + "]"
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {as_toml(item)}" for key, item in value.items()) + " }"
    if isinstance(value, str):
        return f'"{value}"'
    return str(value)


def day_text(day: dict[str, Any], site: dict[str, Any]) -> str:
    """Return the text of a day file: the day's plan and faults, with the quiet day's traffic."""
    quiet_day = next(site_day for site_day in site["day"] if site_day["name"] == QUIET_DAY)
    fields = {
        "name": day["name"].replace(" ", "-"),
        "slot": "trouble",
        "seed": quiet_day["seed"],
        "plan": day.get("plan", []),
        "faults": day.get("faults", []),
        "traffic": quiet_day["traffic"],
    }
    lines = [f"{key} = {as_toml(value)}" for key, value in fields.items()]
    return "[[day]]\n" + "\n".join(lines) + "\n"


def run_day(bench: str, site_file: Path, day: dict[str, Any], site: dict[str, Any]) -> str:
    """Run a day on the bench, and return the line with its result."""
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "day.toml"
        file.write_text(day_text(day, site))
        outcome = subprocess.run(
            [bench, "run", str(site_file), str(file), "--why", f"own day: {day['name']}"],
            check=False,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
    return f"{day['name']:48s} {summary(outcome.stdout)}"


def summary(output: str) -> str:
    """Return the result and the violated rules from the bench's output."""
    lines = output.splitlines()
    broken = [line for line in lines if line.startswith(("rules broken", "short of the gate"))]
    for number, line in enumerate(lines):
        if line.startswith("day  ") and number + 1 < len(lines):
            return " ".join(lines[number + 1].split()[2:7]) + "  " + "; ".join(broken)
    return "NOT RUN: " + (lines[-1] if lines else "no output")


def main() -> int:
    """Run all days, or those named in the arguments."""
    if len(sys.argv) <= MIN_ARGUMENTS:
        sys.stderr.write(f"{__doc__}\n")
        return EXIT_USAGE
    bench, site_file = sys.argv[1], Path(sys.argv[2])
    jobs = int(sys.argv[3]) if len(sys.argv) > MIN_ARGUMENTS + 1 else DEFAULT_JOBS
    names = sys.argv[4:]
    site = tomllib.loads(site_file.read_text())
    days = tomllib.loads(TABLE.read_text())["day"]
    chosen = [day for day in days if not names or day["name"] in names]
    with ThreadPoolExecutor(jobs) as pool:
        for line in pool.map(lambda day: run_day(bench, site_file, day, site), chosen):
            print(line, flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
