"""Configuration commands: check, plan, apply and status. Each returns an exit code."""

import random
import sys
import uuid
from collections.abc import Sequence
from enum import IntEnum
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import msgspec
from result import Err, Ok, Result

from weirscale.domain.configuration.difference import render_plan
from weirscale.domain.configuration.errors import ConfigurationError
from weirscale.domain.configuration.model import Deployment
from weirscale.domain.configuration.parse import check_deployment
from weirscale.domain.identifiers import ConfigurationRevision
from weirscale.node.configuration.apply import (
    DEFAULT_TIME_LIMIT_S,
    Applier,
    Plan,
    plan_deployment,
)
from weirscale.node.configuration.outcome import Accepted, ApplyOutcome, Refused
from weirscale.node.configuration.status import STATUS_PATH, FleetConfigurationStatus

if TYPE_CHECKING:
    from weirscale.ports.key_value_etcd import EtcdKeyValue

STATUS_POLL_S = 0.5
STATUS_TIMEOUT_S = 10.0


class ExitCode(IntEnum):
    """Exit codes of the configuration commands."""

    DONE = 0
    """Checked, planned, accepted, or in force everywhere."""
    WRONG_FILE = 3
    """The file cannot be read or has errors; each is printed on its own line."""
    REFUSED = 4
    """Not applied; the printed line gives the reason and the remedy."""
    UNKNOWN = 5
    """The file may have been applied; run the same command again."""
    UNREACHABLE = 6
    """`plan` or `status` got no answer; `apply` returns REFUSED or UNKNOWN instead."""
    NOT_IN_FORCE = 7
    """Some nodes do not have the revision yet; each is printed on its own line."""


def check(file: str) -> int:
    """Check a configuration file."""
    deployment = _load(file)
    if deployment is None:
        return ExitCode.WRONG_FILE
    print(
        f"{file}: ok: {len(deployment.engines)} engines, {len(deployment.models)} models, "
        f"{len(deployment.services)} services, {len(deployment.tenants)} tenants"
    )
    return ExitCode.DONE


def plan(file: str, key_value: Sequence[str]) -> int:
    """Print what applying a file would change, and the revision to pass to `apply`.

    Args:
        file: The configuration file.
        key_value: host:port of the key-value service's gateways.
    """
    deployment = _load(file)
    if deployment is None:
        return ExitCode.WRONG_FILE
    planned = anyio.run(partial(_plan, deployment, key_value))
    if isinstance(planned, Err):
        return _fail(ExitCode.UNREACHABLE, planned.err_value)
    print(render_plan(planned.ok_value.changes))
    print(_how_to_apply(file, planned.ok_value.revision))
    return ExitCode.DONE


def apply(
    file: str,
    key_value: Sequence[str],
    made_from: int | None = None,
    time_limit_s: float = DEFAULT_TIME_LIMIT_S,
) -> int:
    """Apply a file as a whole, if nothing was applied since the revision that it is based on.

    Args:
        file: The configuration file.
        key_value: host:port of the key-value service's gateways.
        made_from: Revision that `plan` printed; None for the first file of a deployment.
        time_limit_s: Seconds after which to give up.
    """
    deployment = _load(file)
    if deployment is None:
        return ExitCode.WRONG_FILE
    outcome = anyio.run(partial(_apply, deployment, key_value, made_from, time_limit_s))
    return report_outcome(outcome)


def status(node: str, revision: int = 0, wait_s: float = 0.0) -> int:
    """Print whether a revision is in force on all nodes, and which nodes lag and why.

    Args:
        node: Operator address (host:port) of any node.
        revision: The revision; 0 for the highest that any node knows.
        wait_s: Poll until the revision is in force or this many seconds have passed.
    """
    return anyio.run(partial(_wait_in_force, node, revision, wait_s))


def report_outcome(outcome: ApplyOutcome) -> int:
    """Print the outcome of an apply and return its exit code."""
    if isinstance(outcome, Accepted):
        result = "was in place already" if outcome.was_in_place else "accepted"
        remedy = "`weirscale status --wait_s=10` shows when it is in force"
        print(f"{result}: revision {outcome.revision}; {remedy}")
        return ExitCode.DONE
    if isinstance(outcome, Refused):
        for change in outcome.changes_since:
            print(f"changed since, from revision {change.from_revision}:\n{change.summary}")
        return _fail(ExitCode.REFUSED, f"refused: {outcome.message}; {outcome.remedy}")
    return _fail(ExitCode.UNKNOWN, f"unknown: {outcome.message}; {outcome.remedy}")


def report_status(fleet: FleetConfigurationStatus, revision: int) -> int:
    """Print on how many nodes a revision is in force, and return the exit code."""
    target = ConfigurationRevision(revision or fleet.revision)
    lagging = fleet.lagging(target)
    num_in_force = len(fleet.nodes) - len(lagging)
    print(f"revision {target}: in force on {num_in_force} of {len(fleet.nodes)} nodes")
    if fleet.store_problem:
        print(f"store: {fleet.store_problem}")
    for node in lagging:
        current = "unknown" if node.revision is None else f"revision {node.revision}"
        print(f"{node.node} ({node.zone}): {current}: {node.lag_reason or 'not in force yet'}")
    return ExitCode.NOT_IN_FORCE if lagging or not target else ExitCode.DONE


def _load(file: str) -> Deployment | None:
    """Read and check a file, printing its errors."""
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "not UTF-8 text"
        _print_error(f"{file}: {reason}; give the path of a deployment file")
        return None
    checked = check_deployment(text)
    if isinstance(checked, Err):
        _print_errors(file, checked.err_value)
        return None
    return checked.ok_value


def _print_errors(file: str, errors: Sequence[ConfigurationError]) -> None:
    for error in errors:
        _print_error(error.one_line(file))


def _how_to_apply(file: str, revision: int) -> str:
    from_revision = f" --made_from={revision}" if revision else ""
    return (
        f"planned against revision {revision}; apply with `weirscale apply {file}{from_revision}`"
    )


async def _plan(deployment: Deployment, key_value: Sequence[str]) -> Result[Plan, str]:
    port = _connect(key_value)
    try:
        return await plan_deployment(port, deployment)
    finally:
        await port.aclose()


async def _apply(
    deployment: Deployment, key_value: Sequence[str], made_from: int | None, time_limit_s: float
) -> ApplyOutcome:
    port = _connect(key_value)
    apply_id = uuid.uuid4().hex
    random_source = random.SystemRandom()
    try:
        return await Applier(
            port, deployment, made_from, apply_id, random_source, time_limit_s
        ).run()
    finally:
        await port.aclose()


def _connect(key_value: Sequence[str]) -> "EtcdKeyValue":
    """Return a client; it is imported here, because `check` needs no HTTP."""
    from weirscale.ports.key_value_etcd import EtcdKeyValue

    return EtcdKeyValue(key_value)


async def _wait_in_force(node: str, revision: int, wait_s: float) -> int:
    """Poll a node until no node lags or the time has passed, then report the last answer."""
    deadline_s = anyio.current_time() + wait_s
    while True:
        answer = await _fetch_status(node)
        is_last = anyio.current_time() >= deadline_s
        if isinstance(answer, Ok) and (is_last or _is_in_force(answer.ok_value, revision)):
            return report_status(answer.ok_value, revision)
        if isinstance(answer, Err) and is_last:
            return _fail(ExitCode.UNREACHABLE, answer.err_value)
        await anyio.sleep(STATUS_POLL_S)


def _is_in_force(fleet: FleetConfigurationStatus, revision: int) -> bool:
    target = ConfigurationRevision(revision or fleet.revision)
    return target > 0 and not fleet.lagging(target)


async def _fetch_status(node: str) -> Result[FleetConfigurationStatus, str]:
    import httpx

    url = f"http://{node}{STATUS_PATH}"
    try:
        async with httpx.AsyncClient(timeout=STATUS_TIMEOUT_S, trust_env=False) as client:
            response = await client.get(url)
        response.raise_for_status()
        return Ok(msgspec.json.decode(response.content, type=FleetConfigurationStatus))
    except (httpx.HTTPError, httpx.InvalidURL, msgspec.MsgspecError) as error:
        reason = " ".join(str(error).split())
        return Err(f"{node}: {reason}; give host:port of a running node")


def _fail(code: ExitCode, message: str) -> int:
    _print_error(message)
    return code


def _print_error(message: str) -> None:
    print(message, file=sys.stderr)
