"""Write the figures of a run to a directory."""

from pathlib import Path

import msgspec

from weirscale.experiments.report.figures import Figures

REPORT_FILE = "report.json"


def write_report(directory: Path, figures: Figures) -> None:
    """Write `report.json`, and create the directory if needed.

    Raises:
        OSError: The report cannot be written.
    """
    directory.mkdir(parents=True, exist_ok=True)
    encoded = msgspec.json.format(msgspec.json.encode(figures), indent=2)
    (directory / REPORT_FILE).write_bytes(encoded + b"\n")
