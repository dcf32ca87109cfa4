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
from weirscale.standins.engine.in_process import InProcessEngine
from weirscale.standins.engine.server import serve_engine
from weirscale.standins.engine.settings import EngineSettings
from weirscale.standins.kept_kv.http_app import HttpKeptKvStore, serve_kept_kv
from weirscale.standins.kept_kv.in_process import KeptKvSettings
from weirscale.standins.key_value.app import KeyValueApp
from weirscale.standins.key_value.server import KeyValueServer
from weirscale.standins.machines.app import MachineListApp
from weirscale.standins.machines.model import MachineListModel
from weirscale.standins.service.http_app import serve_service
from weirscale.standins.service.model import ServiceSettings
from weirscale.standins.weight_store.http_app import HttpWeightStore, serve_weight_store
from weirscale.standins.weight_store.in_process import WeightStoreSettings


class StandInFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings file of a stand-in.

    Attributes:
        port: Port of its interface on loopback.
        admin_port: Port of its admin interface on loopback, where it has one.
        engine: For kind `engine`.
        service: For kind `service`.
        kept_kv: For kind `kept-kv`.
        weight_store: For kind `weight-store`.
        weight_store_address: Where an engine reads weights; None loads them at once.
        kept_kv_address: The kept-KV store that an engine exports to and imports from, or None.
    """

    port: int
    admin_port: int = 0
    engine: EngineSettings | None = None
    service: ServiceSettings | None = None
    kept_kv: KeptKvSettings | None = None
    weight_store: WeightStoreSettings | None = None
    weight_store_address: str | None = None
    kept_kv_address: str | None = None


async def _serve_app(app: AsgiApp, port: int) -> None:
    await OutageServer(app, lambda: True, port).run()


async def _run_engine(file: StandInFile) -> None:
    assert file.engine is not None
    weights, kept_kv = file.weight_store_address, file.kept_kv_address
    engine = InProcessEngine(
        msgspec.structs.replace(file.engine, export_to=kept_kv),
        Random(file.engine.name),
        weight_source=HttpWeightStore(weights) if weights else None,
        block_stores={kept_kv: HttpKeptKvStore(kept_kv)} if kept_kv else None,
    )
    await serve_engine(engine, port=file.port, admin_port=file.admin_port)


async def _run_service(file: StandInFile) -> None:
    assert file.service is not None
    await serve_service(file.service, port=file.port, admin_port=file.admin_port)


async def _run_kept_kv(file: StandInFile) -> None:
    assert file.kept_kv is not None
    await serve_kept_kv(file.kept_kv, port=file.port, admin_port=file.admin_port)


async def _run_weight_store(file: StandInFile) -> None:
    assert file.weight_store is not None
    await serve_weight_store(file.weight_store, port=file.port, admin_port=file.admin_port)


async def _run_key_value(file: StandInFile) -> None:
    await _serve_app(KeyValueApp(KeyValueServer(Random())), file.port)


async def _run_machines(file: StandInFile) -> None:
    await _serve_app(MachineListApp(MachineListModel()), file.port)


KINDS: dict[str, Callable[[StandInFile], Awaitable[None]]] = {
    "engine": _run_engine,
    "service": _run_service,
    "kept-kv": _run_kept_kv,
    "weight-store": _run_weight_store,
    "key-value": _run_key_value,
    "machines": _run_machines,
}
SECTION_OF_KIND = {
    "engine": "engine",
    "service": "service",
    "kept-kv": "kept_kv",
    "weight-store": "weight_store",
}
"""Kinds that need a section of the settings file."""


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
    section = SECTION_OF_KIND.get(kind)
    if section is not None and getattr(file, section) is None:
        return Err(f"{settings}: no section {section!r}; add it")
    return Ok(file)
