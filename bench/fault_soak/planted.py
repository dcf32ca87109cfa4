"""Plants faults in scratch copies of the product and reports which ones the soak test detects."""

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
MAX_SOAKS_PER_FAULT = 5
"""A fault that this many soak tests of a minute each don't detect is missed."""


class PlantedFault(msgspec.Struct, frozen=True):
    """A row of the table.

    Attributes:
        name: Wrong behaviour that the fault causes.
        rule: The rule that must be violated.
        file: The file with the fault.
        find: Text that occurs once in the file.
        replace: Replacement of that text.
    """

    name: str
    rule: str
    file: str
    find: str
    replace: str


class Finding(msgspec.Struct, frozen=True):
    """Result of the soak tests of a planted fault.

    Attributes:
        seeds: Seeds that were run, a minute each.
        rules: Rules that were violated with the last seed.
        is_found: Whether the expected rule is among them.
    """

    seeds: tuple[int, ...]
    rules: tuple[str, ...]
    is_found: bool


def read_table() -> list[PlantedFault]:
    """Return all rows of the table.

    Raises:
        ValueError: A `find` text does not occur exactly once in its file.
    """
    table = msgspec.convert(tomllib.loads(TABLE.read_text())["fault"], list[PlantedFault])
    for fault in table:
        if (ROOT / fault.file).read_text().count(fault.find) != 1:
            raise ValueError(
                f"{fault.name}: {fault.find!r} does not occur exactly once in {fault.file}"
            )
    return table


def plant(fault: PlantedFault, seed: int, nodes: int) -> Finding:
    """Run soak tests of a copy with a planted fault, a minute each, until the fault is detected."""
    with tempfile.TemporaryDirectory(prefix="planted-") as name:
        folder = Path(name)
        for copied in COPIED:
            ignore = shutil.ignore_patterns("__pycache__", "*.egg-info")
            shutil.copytree(ROOT / copied, folder / copied, ignore=ignore)
        file = folder / fault.file
        file.write_text(file.read_text().replace(fault.find, fault.replace))
        rules: tuple[str, ...] = ()
        for number in range(MAX_SOAKS_PER_FAULT):
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
