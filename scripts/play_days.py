"""Plays the project's own days on the users' bench and prints a line each.

Usage: python scripts/play_days.py BENCH SITE [JOBS] [NAME ...]; BENCH is the bench's program, SITE
a site file. The bench lies outside the repository: nothing here is part of CI.
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
    """Write a value of a day as TOML."""
    if isinstance(value, list):
        return "[" + ", ".join(as_toml(one) for one in value) + "]"
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {as_toml(one)}" for key, one in value.items()) + " }"
    if isinstance(value, str):
        return f'"{value}"'
    return str(value)


def day_text(day: dict[str, Any], site: dict[str, Any]) -> str:
    """Return a day file: our troubles over the traffic of the site's calm day."""
    calm = next(one for one in site["day"] if one["name"] == QUIET_DAY)
    fields = {
        "name": day["name"].replace(" ", "-"),
        "slot": "trouble",
        "seed": calm["seed"],
        "plan": day.get("plan", []),
        "faults": day.get("faults", []),
        "traffic": calm["traffic"],
    }
    lines = [f"{key} = {as_toml(value)}" for key, value in fields.items()]
    return "[[day]]\n" + "\n".join(lines) + "\n"


def play(bench: str, site_file: Path, day: dict[str, Any], site: dict[str, Any]) -> str:
    """Play a day; returns the line of its result."""
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
    """Return the result and the rules broken from the bench's output."""
    lines = output.splitlines()
    broken = [line for line in lines if line.startswith(("rules broken", "short of the gate"))]
    for number, line in enumerate(lines):
        if line.startswith("day  ") and number + 1 < len(lines):
            return " ".join(lines[number + 1].split()[2:7]) + "  " + "; ".join(broken)
    return "NOT PLAYED: " + (lines[-1] if lines else "no output")


def main() -> int:
    """Play all days, or those named."""
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
        for line in pool.map(lambda day: play(bench, site_file, day, site), chosen):
            print(line, flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
