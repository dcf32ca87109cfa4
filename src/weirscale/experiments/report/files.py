"""Writes and reads the files of a report."""

from pathlib import Path

import msgspec
from result import Err, Ok, Result

from weirscale.experiments.faults.kinds import PlannedFault
from weirscale.experiments.history.history import History
from weirscale.experiments.report.figures import Figures

REPORT_FILE = "report.json"
PAGE_FILE = "index.html"


def write_report(
    directory: Path, figures: Figures, history: History, faults: tuple[PlannedFault, ...]
) -> None:
    """Write `report.json`, and the page where matplotlib is installed."""
    directory.mkdir(parents=True, exist_ok=True)
    encoded = msgspec.json.format(msgspec.json.encode(figures), indent=2)
    (directory / REPORT_FILE).write_bytes(encoded + b"\n")
    try:
        import matplotlib  # noqa: F401
    except ImportError:
        return
    from weirscale.experiments.report.page import render_page

    (directory / PAGE_FILE).write_text(render_page(figures, history, faults))


def read_report(directory: Path) -> Result[Figures, str]:
    """Read a report's figures, or tell in one line why they cannot be read."""
    file = directory / REPORT_FILE
    try:
        return Ok(msgspec.json.decode(file.read_bytes(), type=Figures))
    except OSError as error:
        return Err(f"{file}: cannot be read: {error}; name a directory written by `--report`")
    except msgspec.MsgspecError as error:
        return Err(f"{file}: not a report: {error}; run the experiment again")
