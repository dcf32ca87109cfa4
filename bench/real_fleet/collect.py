"""Builds records of a history from what processes left: stand-ins' run records, nodes' logs."""

import calendar
import re
import time
from collections.abc import Iterable

import httpx
import msgspec

from bench.real_fleet.layout import Layout
from weirscale.domain.identifiers import ConfigurationRevision, NodeName
from weirscale.experiments.history.records import AnyRecord, ConfigurationTaken
from weirscale.experiments.run.platform import engine_run, service_run
from weirscale.standins.engine.ledger import RunRecord
from weirscale.standins.service.model import ServiceRun

RECORDS_TIMEOUT_S = 20.0
IN_FORCE_LINE = re.compile(
    r"^time=(\S+)\.(\d{3})Z event=configuration_in_force (?:.* )?revision=(\d+)"
)
TRACEBACK = "Traceback (most recent call last):"
EXCEPTION_LINE = re.compile(r"^[\s|]*([\w.]+(?:Error|Exception|Interrupt|Exit)\b.*)$")
MILLISECONDS_PER_S = 1000


def configurations_taken(
    node: NodeName, lines: Iterable[str], clock_offset_s: float
) -> list[AnyRecord]:
    """Return the revisions that a node's log says it put in force.

    Args:
        node: The node.
        lines: Its log.
        clock_offset_s: Wall clock minus the records' clock.
    """
    records: list[AnyRecord] = []
    for line in lines:
        match = IN_FORCE_LINE.match(line)
        if match is None:
            continue
        wall_s = calendar.timegm(time.strptime(match.group(1), "%Y-%m-%dT%H:%M:%S"))
        at_s = wall_s + int(match.group(2)) / MILLISECONDS_PER_S - clock_offset_s
        revision = ConfigurationRevision(int(match.group(3)))
        records.append(ConfigurationTaken(at_s=at_s, node=node, revision=revision))
    return records


def internal_errors(lines: Iterable[str]) -> list[Exception]:
    """Return the exceptions that a process's log shows, one for each trace."""
    errors: list[Exception] = []
    is_in_trace = False
    for line in lines:
        if TRACEBACK in line:
            is_in_trace = True
        elif is_in_trace:
            match = EXCEPTION_LINE.match(line)
            if match is not None:
                errors.append(RuntimeError(match.group(1).strip()))
                is_in_trace = False
    return errors


async def stand_in_records(client: httpx.AsyncClient, layout: Layout) -> list[AnyRecord]:
    """Read what engines and services ran."""
    records: list[AnyRecord] = []
    for engine in layout.engines:
        content = await _read(client, engine.admin_address)
        runs = msgspec.json.decode(content, type=list[RunRecord])
        records.extend(map(engine_run, runs))
    for service in layout.services:
        content = await _read(client, service.admin_address)
        served = msgspec.json.decode(content, type=list[ServiceRun])
        records.extend(map(service_run, served))
    return records


async def _read(client: httpx.AsyncClient, admin_address: str) -> bytes:
    response = await client.get(f"http://{admin_address}/records", timeout=RECORDS_TIMEOUT_S)
    response.raise_for_status()
    return response.content
