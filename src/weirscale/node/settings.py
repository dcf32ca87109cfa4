"""A process's own settings: addresses, zone, seeds. Read from a YAML file; flags override fields.

What all nodes share is in the deployment's configuration, never here.
"""

import ipaddress
from collections.abc import Mapping
from pathlib import Path

import msgspec
from result import Err, Ok, Result
from ruamel.yaml import YAML
from ruamel.yaml.error import YAMLError

from weirscale.domain.identifiers import NodeAddress, NodeName, ZoneName
from weirscale.messages.envelope import MAX_SECRET_BYTES, MIN_SECRET_BYTES

MAX_SETTINGS_BYTES = 64 * 1024
"""Settings are a screenful; anything larger is the wrong file."""

MAX_PORT = 65_535
MAX_KEY_ID = 255

DEFAULT_PEER_PORT = 7100


class PeerKeySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A shared key between nodes; two are given while keys are rotated, the first one signs.

    Attributes:
        key_id: Number that names the key on the wire, 0 to 255.
        secret: The key, 16 to 64 characters.
    """

    key_id: int
    secret: str


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one node.

    Attributes:
        name: Unique name; by default made from host and caller port.
        zone: Zone of this machine, as named in the configuration.
        host: IP number to listen on.
        caller_port: TCP port for callers; 0 takes a free one.
        peer_port: UDP and TCP port for other nodes.
        operator_port: TCP port for operators' questions, on loopback only; 0 takes a free one.
        seeds: Peer addresses (host:port) of nodes to join by.
        key_value: Addresses (host:port) of the key-value service.
        machine_list: Address (host:port) of the machine list, or None.
        peer_keys: Shared keys between nodes; the first one signs.
        log_level: `info` or `debug`.
    """

    zone: ZoneName
    peer_keys: tuple[PeerKeySettings, ...]
    name: NodeName = NodeName("")
    host: str = "127.0.0.1"
    caller_port: int = 0
    peer_port: int = DEFAULT_PEER_PORT
    operator_port: int = 0
    seeds: tuple[str, ...] = ()
    key_value: tuple[str, ...] = ()
    machine_list: str | None = None
    log_level: str = "info"


class SettingsError(msgspec.Struct, frozen=True):
    """Settings that cannot be used.

    Attributes:
        field: The field, or the file's name.
        problem: What is wrong.
        remedy: What to change.
    """

    field: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.field}: {self.problem}; {self.remedy}"


def load_settings(
    file: Path | None, overrides: Mapping[str, object]
) -> Result[NodeSettings, SettingsError]:
    """Read a settings file and lay flags over it.

    Args:
        file: YAML file, or None to use flags alone.
        overrides: Fields given as flags; None values are left out.

    Returns:
        The checked settings, or the first error with its remedy.
    """
    fields: dict[str, object] = {}
    if file is not None:
        read = _read_fields(file)
        if isinstance(read, Err):
            return read
        fields = read.ok_value
    fields.update({name: value for name, value in overrides.items() if value is not None})
    try:
        settings = msgspec.convert(fields, NodeSettings)
    except msgspec.ValidationError as error:
        known = ", ".join(NodeSettings.__struct_fields__)
        return Err(SettingsError("settings", str(error), f"known fields are {known}"))
    problem = _first_problem(settings)
    if problem is not None:
        return Err(problem)
    return Ok(_with_name(settings))


def parse_address(address: str) -> Result[NodeAddress, SettingsError]:
    """Split `IP:port` into its parts; IPv6 numbers stand in brackets."""
    host, separator, port = address.rpartition(":")
    host = host.strip("[]")
    remedy = "give it as IP number, colon, port, such as 127.0.0.1:7100"
    if not separator or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        return Err(SettingsError("address", f"{address!r} has no valid port", remedy))
    if not _is_ip_number(host):
        return Err(SettingsError("address", f"{host!r} is not an IP number", remedy))
    return Ok(NodeAddress(host, int(port)))


def _read_fields(file: Path) -> Result[dict[str, object], SettingsError]:
    """Parse the file into plain fields."""
    try:
        content = file.read_bytes()
    except OSError as error:
        return Err(SettingsError(str(file), error.strerror or "cannot be read", "check the path"))
    if len(content) > MAX_SETTINGS_BYTES:
        remedy = f"a settings file has at most {MAX_SETTINGS_BYTES} bytes; is this the right file?"
        return Err(SettingsError(str(file), "too large", remedy))
    try:
        parsed = YAML(typ="safe").load(content.decode())
    except (YAMLError, UnicodeDecodeError) as error:
        problem = " ".join(str(error).split())
        return Err(SettingsError(str(file), problem, "correct the YAML at that place"))
    if not isinstance(parsed, dict) or not all(isinstance(name, str) for name in parsed):
        return Err(SettingsError(str(file), "not a mapping", "write one `field: value` a line"))
    return Ok(parsed)


def _first_problem(settings: NodeSettings) -> SettingsError | None:
    """Check the rules that types do not express."""
    if not _is_ip_number(settings.host):
        return SettingsError("host", f"{settings.host!r} is not an IP number", "use 127.0.0.1")
    for name, port, lowest in (
        ("caller_port", settings.caller_port, 0),
        ("operator_port", settings.operator_port, 0),
        ("peer_port", settings.peer_port, 1),
    ):
        if not lowest <= port <= MAX_PORT:
            return SettingsError(name, f"{port} is no port", f"use {lowest} to {MAX_PORT}")
    if not settings.peer_keys:
        return SettingsError("peer_keys", "no key is given", "give at least one key")
    for key in settings.peer_keys:
        if not 0 <= key.key_id <= MAX_KEY_ID:
            return SettingsError("peer_keys", f"{key.key_id} is no key id", "use 0 to 255")
        if not MIN_SECRET_BYTES <= len(key.secret.encode()) <= MAX_SECRET_BYTES:
            remedy = f"give {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} characters"
            return SettingsError("peer_keys", f"secret of key {key.key_id} does not fit", remedy)
    for field, addresses in (("seeds", settings.seeds), ("key_value", settings.key_value)):
        for address in addresses:
            parsed = parse_address(address)
            if isinstance(parsed, Err):
                return SettingsError(field, parsed.err_value.problem, parsed.err_value.remedy)
    return None


def _with_name(settings: NodeSettings) -> NodeSettings:
    """Fill in the default name."""
    if settings.name:
        return settings
    name = NodeName(f"{settings.host}:{settings.caller_port}")
    return msgspec.structs.replace(settings, name=name)


def _is_ip_number(host: str) -> bool:
    """Whether the text is an IPv4 or IPv6 number."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
