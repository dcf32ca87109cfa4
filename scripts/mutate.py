"""Applies each mutation of `bench/mutations.toml` to a scratch copy and runs its features.

A mutation that no test detects is a gap in the tests: its line says ALIVE and the exit code is 1.
Usage: python scripts/mutate.py [RULE ...]
"""

import shutil
import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
TABLE = ROOT / "bench" / "mutations.toml"
COPIED = ("src", "platform", "features", "docs", "bench", "scripts", "deployments", "experiments")
NUM_WORKERS = 4


def copy_tree(folder: Path) -> None:
    """Copy everything that the features need."""
    for name in COPIED:
        ignore = shutil.ignore_patterns("__pycache__", "*.egg-info")
        shutil.copytree(ROOT / name, folder / name, ignore=ignore)
    shutil.copy(ROOT / "pyproject.toml", folder)


def run_features(folder: Path, features: list[str]) -> bool:
    """Run features in a copy, and return whether all pass."""
    files = [f"features/{name}.feature" for name in features]
    environment = {"PYTHONPATH": f"{folder / 'src'}:{folder / 'platform'}", "PATH": "/usr/bin:/bin"}
    outcome = subprocess.run(
        [sys.executable, "-m", "behave", "--stop", "--format", "progress", *files],
        check=False,
        cwd=folder,
        env=environment,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    return outcome.returncode == 0


def try_mutation(mutation: dict[str, object]) -> tuple[bool, str]:
    """Apply a mutation, and return whether a test detected it and the line to print."""
    label = f"{mutation['rule']}: {mutation['file']}: {str(mutation['find'])[:60]!r}"
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        copy_tree(folder)
        file = folder / str(mutation["file"])
        text = file.read_text()
        if text.count(str(mutation["find"])) != 1:
            return False, f"STALE   {label}"
        file.write_text(text.replace(str(mutation["find"]), str(mutation["replace"])))
        features = mutation["features"]
        assert isinstance(features, list)
        is_alive = run_features(folder, features)
    return not is_alive, f"{'ALIVE ' if is_alive else 'noticed'} {label}"


def main() -> int:
    """Try all mutations, or those of the rules in the arguments."""
    rules = set(sys.argv[1:])
    mutations = tomllib.loads(TABLE.read_text())["mutation"]
    chosen = [mutation for mutation in mutations if not rules or mutation["rule"] in rules]
    num_noticed = 0
    with ThreadPoolExecutor(NUM_WORKERS) as pool:
        for is_noticed, line in pool.map(try_mutation, chosen):
            num_noticed += is_noticed
            print(line, flush=True)
    print(f"{num_noticed} noticed, {len(chosen) - num_noticed} not")
    return 0 if num_noticed == len(chosen) else 1


if __name__ == "__main__":
    sys.exit(main())
