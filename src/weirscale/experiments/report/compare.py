"""Compares reports: each figure of later ones as a ratio to the first one's."""

from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec
from result import Err

from weirscale.experiments.report.figures import Figures
from weirscale.experiments.report.files import read_report

EXIT_OK = 0
EXIT_BAD_ARGUMENT = 2

COMPARED = (
    "requests.sent",
    "requests.answered_once",
    "requests.refused_not_run",
    "requests.failed",
    "requests.lost",
    "requests.doubled",
    "requests.crossed",
    "requests.truncated",
    "requests.false_not_run",
    "prefix_hit_rate",
    "recomputed_tokens_ratio",
    "ttft_seconds.p50",
    "ttft_seconds.p95",
    "ttft_seconds.p99",
    "service_seconds.p50",
    "service_seconds.p99",
    "inter_token_seconds.p95",
    "configuration_in_force_seconds.p99",
    "control.core_share",
    "control.resident_bytes",
    "control.bytes_per_second",
)
"""Figures compared, as paths into the report."""


class ComparedRow(msgspec.Struct, frozen=True):
    """One figure over all reports.

    Attributes:
        path: The figure's path in the report.
        values: Its value in each report, None where not measured.
        ratios: Value over the first report's; None where there is none.
    """

    path: str
    values: tuple[float | None, ...]
    ratios: tuple[float | None, ...]


def compare_figures(reports: Sequence[Figures]) -> list[ComparedRow]:
    """Compare reports with the first one."""
    return [_row(path, reports) for path in COMPARED] + [_violation_row(reports)]


def _row(path: str, reports: Sequence[Figures]) -> ComparedRow:
    values = tuple(_value(report, path) for report in reports)
    return ComparedRow(path, values, tuple(_ratio(value, values[0]) for value in values))


def _violation_row(reports: Sequence[Figures]) -> ComparedRow:
    values = tuple(float(len(report.violations)) for report in reports)
    return ComparedRow("violations", values, tuple(_ratio(value, values[0]) for value in values))


def _value(report: Figures, path: str) -> float | None:
    found: object = report
    for name in path.split("."):
        found = getattr(found, name)
    return float(found) if isinstance(found, int | float) else None


def _ratio(value: float | None, first: float | None) -> float | None:
    if value is None or first is None:
        return None
    if first == 0.0:
        return 1.0 if value == 0.0 else None
    return value / first


def _cells(row: ComparedRow) -> Iterator[str]:
    yield row.path
    for value, ratio in zip(row.values, row.ratios, strict=True):
        shown = "–" if value is None else f"{value:.4g}"
        yield shown if ratio is None else f"{shown} (× {ratio:.3g})"


def compare(*directories: str) -> int:
    """Print reports side by side, each figure with its ratio to the first report's.

    Args:
        *directories: Directories written by `experiment run --report`; two or more.

    Returns:
        The exit code: 0, or 2 for a bad argument.
    """
    from rich.console import Console
    from rich.table import Table

    console = Console()
    if len(directories) < 2:
        console.print("compare: needs two or more report directories")
        return EXIT_BAD_ARGUMENT
    reports: list[Figures] = []
    for directory in directories:
        found = read_report(Path(directory))
        if isinstance(found, Err):
            console.print(f"compare: {found.err_value}", markup=False)
            return EXIT_BAD_ARGUMENT
        reports.append(found.ok_value)
    table = Table()
    table.add_column("figure", no_wrap=True)
    for one in reports:
        table.add_column(f"{one.name} {one.policy} seed {one.seed}")
    for row in compare_figures(reports):
        table.add_row(*_cells(row))
    console.print(table)
    return EXIT_OK
