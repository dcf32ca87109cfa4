"""Plants faults in scratch copies of the product and tells which ones the soak finds."""

import shutil
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

import msgspec

from bench.fault_soak.run import VIOLATIONS_FILE
from bench.fault_soak.violations import Violation

ROOT = Path(__file__).resolve().parents[2]
TABLE = Path(__file__).with_name("planted.toml")
COPIED = ("src", "platform", "features", "bench")
MOST_MINUTES = 5
"""A fault that is not found within this time is missed."""


class PlantedFault(msgspec.Struct, frozen=True):
    """One row of the table.

    Attributes:
        name: What is wrong then.
        rule: The rule that must be found broken.
        file: Where the fault is planted.
        find: Text that stands there once.
        replace: What takes its place.
    """

    name: str
    rule: str
    file: str
    find: str
    replace: str


class Finding(msgspec.Struct, frozen=True):
    """What the soak made of a planted fault.

    Attributes:
        seeds: Seeds that were run, a minute each.
        rules: Rules that the last one broke.
        is_found: Whether the expected one is among them.
    """

    seeds: tuple[int, ...]
    rules: tuple[str, ...]
    is_found: bool


def read_table() -> list[PlantedFault]:
    """Return all rows.

    Raises:
        ValueError: A text does not stand exactly once in its file.
    """
    table = msgspec.convert(tomllib.loads(TABLE.read_text())["fault"], list[PlantedFault])
    for fault in table:
        if (ROOT / fault.file).read_text().count(fault.find) != 1:
            raise ValueError(f"{fault.name}: {fault.find!r} does not stand once in {fault.file}")
    return table


def plant(fault: PlantedFault, seed: int, nodes: int) -> Finding:
    """Soak a copy with a planted fault, a minute at a time, until the fault is found."""
    with tempfile.TemporaryDirectory(prefix="planted-") as name:
        folder = Path(name)
        for copied in COPIED:
            ignore = shutil.ignore_patterns("__pycache__", "*.egg-info")
            shutil.copytree(ROOT / copied, folder / copied, ignore=ignore)
        file = folder / fault.file
        file.write_text(file.read_text().replace(fault.find, fault.replace))
        rules: tuple[str, ...] = ()
        for number in range(MOST_MINUTES):
            rules = _soak(folder, seed + number, nodes)
            if fault.rule in rules:
                break
        seeds = tuple(range(seed, seed + number + 1))
        return Finding(seeds, rules, fault.rule in rules)


def _soak(folder: Path, seed: int, nodes: int) -> tuple[str, ...]:
    report = folder / f"report-{seed}"
    subprocess.run(
        [
            *(sys.executable, "-m", "bench.fault_soak", "run", "--minutes=1"),
            *(f"--seed={seed}", f"--nodes={nodes}", f"--report={report}"),
        ],
        check=False,
        cwd=folder,
        env={"PYTHONPATH": f"{folder}:{folder / 'src'}", "PATH": "/usr/bin:/bin"},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    content = (report / VIOLATIONS_FILE).read_bytes()
    violations = msgspec.json.decode(content, type=list[Violation])
    return tuple(sorted({violation.rule.value for violation in violations}))
