"""Plays variants of a site file on the users' bench: deployments that nobody has tuned for.

Usage: python scripts/play_variants.py BENCH SITE [--days DAY,...] [--seeds SEED,...] [--jobs N]

The variants are those of `bench/sites/variants.toml`. Each changed site is written beside the
original's own files in a temporary folder; nothing of the users' kit enters the repository. The
bench lies outside it as well: nothing here is part of CI.
"""

import json
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import fire

TABLE = Path(__file__).resolve().parents[1] / "bench" / "sites" / "variants.toml"
NUM_CAUSES = 3
"""Greatest losses that are printed for a play."""

READING = re.compile(r"(prefill_tokens_per_ms = )([\d.]+)")
MEMORY = re.compile(r"(model = \"llm\".*?kv_tokens = )([\d.]+)")
LOADING = re.compile(r"(warm_s = )([\d.]+)")
TRAFFIC = re.compile(r"(per_s = )([\d.]+)(?=, clients)")
MODEL_SERVICE = re.compile(r"^.*model = \"llm\".*$", re.MULTILINE)
SLOTS = re.compile(r"(slots = |batch = )(\d+)")


def _scaled(pattern: re.Pattern[str], text: str, factor: float) -> str:
    """Multiply every figure that a pattern finds; whole numbers stay whole."""

    def scale(match: re.Match[str]) -> str:
        value = float(match[2]) * factor
        return match[1] + (f"{value:.4g}" if "." in match[2] else str(round(value)))

    return pattern.sub(scale, text)


def change_site(text: str, variant: dict[str, Any]) -> str:
    """Return a site file with a variant's changes."""
    text = _scaled(READING, text, variant.get("reading_factor", 1.0))
    text = _scaled(MEMORY, text, variant.get("memory_factor", 1.0))
    text = _scaled(LOADING, text, variant.get("load_factor", 1.0))
    text = _scaled(TRAFFIC, text, variant.get("traffic_factor", 1.0))
    slots = variant.get("slots")
    if slots is not None:
        text = MODEL_SERVICE.sub(lambda one: SLOTS.sub(rf"\g<1>{slots}", one[0]), text)
    return text


def write_site(site: Path, variant: dict[str, Any], folder: Path) -> Path:
    """Write a changed site beside copies of the files that belong to the original."""
    shutil.copytree(site.parent, folder, dirs_exist_ok=True)
    folder.chmod(0o755)
    changed = folder / site.name
    changed.chmod(0o644)
    changed.write_text(change_site(site.read_text(), variant))
    return changed


def play(bench: str, site: Path, day: str, seed: int, name: str) -> str:
    """Play a day; returns the line of its result."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        outcome = subprocess.run(
            [
                bench, "run", str(site), day, "--seed", str(seed),
                "--report", report.name, "--why", f"unseen deployment: {name}",
            ],
            check=False,
            capture_output=True,
            text=True,
        )  # fmt: skip
        try:
            result = json.loads(Path(report.name).read_text())
        except ValueError:
            return f"{name:18s} {day:10s} {seed:4d} not played: {outcome.stdout[-200:]}"
    losses = [(f"lost in {one[0]}", one[1] * (1 - one[2])) for one in result["parts"]]
    losses += [(one[0], one[-1]) for one in result["prices"]]
    greatest = sorted(losses, key=lambda one: -one[1])[:NUM_CAUSES]
    told = "; ".join(f"{what} {share:.3f}" for what, share in greatest)
    trouble = f"BROKEN {result['breaks']} " if result["breaks"] else ""
    trouble += f"FAULT {result['fault']} " if result["fault"] else ""
    return f"{name:18s} {day:10s} {seed:4d} worth {result['G']:.3f} {trouble} {told}"


def main(
    bench: str, site: str, days: str = "quiet-1,trouble-1", seeds: str = "21", jobs: int = 4
) -> int:
    """Play every variant.

    Args:
        bench: The bench's program.
        site: The users' site file.
        days: Days of the site, joined by commas.
        seeds: Seeds, joined by commas.
        jobs: Plays at once.

    Returns:
        1 if a rule was broken or a day not played, else 0.
    """
    variants = tomllib.loads(TABLE.read_text())["variant"]
    subprocess.run([bench, "build"], check=True, capture_output=True)
    with tempfile.TemporaryDirectory() as name, ThreadPoolExecutor(jobs) as pool:
        plays = []
        for number, variant in enumerate(variants):
            changed = write_site(Path(site), variant, Path(name) / str(number))
            for day in str(days if isinstance(days, str) else ",".join(days)).split(","):
                for seed in str(seeds).strip("()").split(","):
                    plays.append((changed, day, int(seed), variant["name"]))
        lines = list(pool.map(lambda one: play(bench, *one), plays))
    print("\n".join(lines))
    return int(any("BROKEN" in line or "not played" in line for line in lines))


if __name__ == "__main__":
    sys.exit(fire.Fire(main))  # type: ignore[no-untyped-call]
