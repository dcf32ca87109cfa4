"""The command `stand-in`: runs one stand-in of an outside system as a process of its own."""

import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import anyio
import msgspec
from result import Err, Ok, Result
from ruamel.yaml import YAML
from ruamel.yaml.error import YAMLError

from weirscale.cli.exit_codes import EXIT_DONE, EXIT_USAGE
from weirscale.ports.asgi import AsgiApp
from weirscale.standins.asgi_server import OutageServer
from weirscale.standins.engine.server import serve_engine
from weirscale.standins.engine.settings import EngineSettings
from weirscale.standins.key_value.app import KeyValueApp
from weirscale.standins.key_value.server import KeyValueServer
from weirscale.standins.machines.app import MachineListApp
from weirscale.standins.machines.model import MachineListModel
from weirscale.standins.service.http_app import serve_service
from weirscale.standins.service.model import ServiceSettings


class StandInFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings file of a stand-in.

    Attributes:
        port: Port of its interface on loopback.
        admin_port: Port of its admin interface on loopback, where it has one.
        engine: For kind `engine`.
        service: For kind `service`.
    """

    port: int
    admin_port: int = 0
    engine: EngineSettings | None = None
    service: ServiceSettings | None = None


async def _serve_app(app: AsgiApp, port: int) -> None:
    await OutageServer(app, lambda: True, port).run()


async def _run_engine(file: StandInFile) -> None:
    assert file.engine is not None
    await serve_engine(file.engine, port=file.port, admin_port=file.admin_port)


async def _run_service(file: StandInFile) -> None:
    assert file.service is not None
    await serve_service(file.service, port=file.port, admin_port=file.admin_port)


async def _run_key_value(file: StandInFile) -> None:
    await _serve_app(KeyValueApp(KeyValueServer(Random())), file.port)


async def _run_machines(file: StandInFile) -> None:
    await _serve_app(MachineListApp(MachineListModel()), file.port)


KINDS: dict[str, Callable[[StandInFile], Awaitable[None]]] = {
    "engine": _run_engine,
    "service": _run_service,
    "key-value": _run_key_value,
    "machines": _run_machines,
}
KINDS_WITH_SETTINGS = frozenset({"engine", "service"})


def run(kind: str, settings: Path) -> int:
    """Run a stand-in until it is interrupted.

    Args:
        kind: A name in `KINDS`.
        settings: YAML file of `StandInFile`.

    Returns:
        Exit code.
    """
    loaded = _load(kind, settings)
    if isinstance(loaded, Err):
        print(f"weirscale: {loaded.err_value}", file=sys.stderr)
        return EXIT_USAGE
    try:
        anyio.run(KINDS[kind], loaded.ok_value, backend_options={"use_uvloop": True})
    except KeyboardInterrupt:
        return EXIT_DONE
    return EXIT_DONE


def _load(kind: str, settings: Path) -> Result[StandInFile, str]:
    if kind not in KINDS:
        return Err(f"no stand-in {kind!r}; use one of {', '.join(KINDS)}")
    try:
        fields = YAML(typ="safe").load(settings.read_text())
        file = msgspec.convert(fields, StandInFile)
    except (OSError, UnicodeDecodeError, YAMLError, msgspec.ValidationError) as error:
        reason = " ".join(str(error).split())
        return Err(f"{settings}: {reason}; correct the settings file")
    if kind in KINDS_WITH_SETTINGS and getattr(file, kind) is None:
        return Err(f"{settings}: no section {kind!r}; add it")
    return Ok(file)
