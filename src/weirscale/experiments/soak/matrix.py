"""The fault matrix: each fault, and pairs of them, on both deployments, and the page of it."""

import itertools
import sys
import time
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec

from weirscale.experiments.faults.kinds import FaultKind
from weirscale.experiments.history.verdict import RequestCounts
from weirscale.experiments.report.effects import Effects, describe
from weirscale.experiments.run.main import (
    EXIT_BAD_ARGUMENT,
    EXIT_OK,
    EXIT_VIOLATIONS,
    ensure_fixed_hash_seed,
    has_failed,
)
from weirscale.experiments.run.virtual import RunOutcome, VirtualRun, run_experiment
from weirscale.experiments.soak.experiments import (
    DEPLOYMENT_NAMES,
    matrix_experiment,
    read_deployment,
)

DEPLOYMENTS_FOLDER = Path("deployments")
PAGE_FILE = "docs/FAULT-MATRIX.md"


class MatrixCell(msgspec.Struct, frozen=True):
    """The result of one run of the matrix.

    Attributes:
        deployment: The deployment.
        faults: The faults, in the order of their beginning.
        seed: The seed.
        requests: What became of the requests.
        rules_broken: Rules broken, with how often.
        num_internal_errors: Exceptions raised in nodes.
        refusals: Refusals by their code.
        effects: What the faults visibly did.
        ttft_p99_s: 99th percentile of the time to first token.
    """

    deployment: str
    faults: tuple[str, ...]
    seed: int
    requests: RequestCounts
    rules_broken: dict[str, int]
    num_internal_errors: int
    refusals: dict[str, int]
    effects: Effects
    ttft_p99_s: float | None


def run(
    results: str,
    pairs: bool = False,
    deployments: str = ",".join(DEPLOYMENT_NAMES),
    seed: int = 1,
) -> int:
    """Run the matrix in virtual time and add its results to a file, one JSON line each.

    Args:
        results: File that results are added to; `render` makes the page of such files.
        pairs: Run all pairs instead of the single faults.
        deployments: Shipped deployments, with commas between.
        seed: The seed of every run.

    Returns:
        The exit code: 0, 1 when a run broke a rule, 2 for a bad argument.
    """
    names = deployments.split(",")
    unknown = [name for name in names if name not in DEPLOYMENT_NAMES]
    if unknown:
        print(f"matrix: unknown {unknown[0]}; use {', '.join(DEPLOYMENT_NAMES)}", file=sys.stderr)
        return EXIT_BAD_ARGUMENT
    ensure_fixed_hash_seed()
    has_violations = False
    for name, faults in itertools.product(names, _columns(pairs)):
        started_s = time.monotonic()
        outcome = _run_cell(name, faults, seed)
        cell = _cell(name, faults, seed, outcome)
        has_violations = has_violations or has_failed(outcome)
        with Path(results).open("ab") as file:
            file.write(msgspec.json.encode(cell) + b"\n")
        shown = "+".join(cell.faults)
        print(f"{name} {shown} {_verdict(cell)} {time.monotonic() - started_s:.1f} s", flush=True)
    return EXIT_VIOLATIONS if has_violations else EXIT_OK


def _columns(pairs: bool) -> Iterator[tuple[FaultKind, ...]]:
    if pairs:
        yield from itertools.combinations(FaultKind, 2)
    else:
        yield from ((kind,) for kind in FaultKind)


def _run_cell(deployment_name: str, faults: Sequence[FaultKind], seed: int) -> RunOutcome:
    deployment = read_deployment(DEPLOYMENTS_FOLDER, deployment_name)
    return run_experiment(VirtualRun(matrix_experiment(deployment, faults), seed))


def _cell(
    deployment: str, faults: Sequence[FaultKind], seed: int, outcome: RunOutcome
) -> MatrixCell:
    figures = outcome.figures
    rules_broken: dict[str, int] = {}
    for violation in figures.violations:
        rules_broken[violation.rule] = rules_broken.get(violation.rule, 0) + 1
    return MatrixCell(
        deployment=deployment,
        faults=tuple(fault.value for fault in faults),
        seed=seed,
        requests=figures.requests,
        rules_broken=rules_broken,
        num_internal_errors=figures.num_internal_errors,
        refusals=figures.refusals,
        effects=figures.effects,
        ttft_p99_s=figures.ttft_seconds.p99,
    )


def _verdict(cell: MatrixCell) -> str:
    broken = [f"{rule} × {count}" for rule, count in cell.rules_broken.items()]
    if cell.num_internal_errors:
        broken.append(f"internal errors × {cell.num_internal_errors}")
    return ", ".join(broken) or "ok"


def render(*results: str, output: str = PAGE_FILE) -> int:
    """Write the page of the matrix from result files; of several runs of a row, the last counts.

    Args:
        *results: Files written by `run`.
        output: The page.

    Returns:
        The exit code.
    """
    cells = [
        msgspec.json.decode(line, type=MatrixCell)
        for file in results
        for line in Path(file).read_bytes().splitlines()
    ]
    last = {(cell.deployment, cell.faults, cell.seed): cell for cell in cells}
    Path(output).write_text(page(list(last.values())))
    return EXIT_OK


INTRODUCTION = """# Fault matrix

Each row is one run of a whole fleet in virtual time: the deployment at its shipped size, one node
a zone, its workload for 45 s, the fault from the 8th second for 12 s, a second one from the 11th.
`ok` means that no rule that must always hold was broken and no node raised an exception.
`answered` counts requests answered whole and once; `not run` those refused as not run; `failed`
those that ended with an explicit error or a broken connection; requests whose callers left are in
`sent` only. The page is generated; do not edit it. To make it again:

    weirscale experiment matrix --results=/tmp/single.jsonl
    weirscale experiment matrix --results=/tmp/pairs.jsonl --pairs
    python -m weirscale.experiments.soak.matrix /tmp/single.jsonl /tmp/pairs.jsonl

Both shipped deployments have one region, so `region_cut` takes the platform (store and machine
list) from all its zones, while they still see one another.

Faults of engines strike the busiest ones; where a row has few traces, the fleet had room to spare.

`herd_restart` takes a majority of the holders of claims at once, and with it the claims. Until the
retention of claims is over, an hour as shipped, a key may have run before: keyed changes are
refused as not run (`claim_unavailable`). `duplicate_request` is the answer to an impatient repeat
whose first request still runs or whose answer is not known.
"""


def page(cells: Sequence[MatrixCell]) -> str:
    """Return the page of the matrix."""
    singles = [cell for cell in cells if len(cell.faults) == 1]
    pairs = [cell for cell in cells if len(cell.faults) > 1]
    parts = [INTRODUCTION, _section("Single faults", singles)]
    parts.append(_section("Pairs of faults", pairs) if pairs else "\nPairs have not been run.\n")
    return "\n".join(parts)


def _section(title: str, cells: Sequence[MatrixCell]) -> str:
    num_ok = sum(_verdict(cell) == "ok" for cell in cells)
    lines = [
        f"## {title}: {num_ok} of {len(cells)} ok\n",
        "| deployment | faults | result | sent | answered | not run | failed | p99 TTFT "
        "| refusals | traces of the faults | command |",
        "| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | --- | --- | --- |",
    ]
    lines.extend(_line(cell) for cell in cells)
    return "\n".join(lines) + "\n"


def _line(cell: MatrixCell) -> str:
    requests = cell.requests
    ttft = "–" if cell.ttft_p99_s is None else f"{cell.ttft_p99_s:.2f} s"
    faults = ",".join(cell.faults)
    command = (
        f"`weirscale experiment run experiments/{cell.deployment}.yaml "
        f"--faults={faults} --seed={cell.seed}`"
    )
    fields = (
        cell.deployment,
        ", ".join(cell.faults),
        _verdict(cell),
        str(requests.sent),
        str(requests.answered_once),
        str(requests.refused_not_run),
        str(requests.failed),
        ttft,
        ", ".join(f"{code} {count}" for code, count in cell.refusals.items()) or "–",
        describe(cell.effects),
        command,
    )
    return f"| {' | '.join(fields)} |"


if __name__ == "__main__":
    sys.exit(render(*sys.argv[1:]))
