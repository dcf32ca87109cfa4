"""Settings of one node process, such as its addresses, zone and seeds.

They are read from a YAML file; command line flags override fields. Settings shared by all nodes are
part of the deployment's configuration instead.
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
"""Maximum size of the file; settings fit on one screen, so a larger file is the wrong one."""

MAX_PORT = 65_535
MAX_KEY_ID = 255

DEFAULT_PEER_PORT = 7100


class PeerKeySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A key shared between nodes. During key rotation two keys are given; the first one signs.

    Attributes:
        key_id: Number that identifies the key on the wire, 0 to 255.
        secret: The key, 16 to 64 bytes.
    """

    key_id: int
    secret: str


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one node.

    Attributes:
        name: Unique name; by default host and caller port, separated by a colon.
        zone: Zone of this machine, as it is named in the configuration.
        host: IP address to listen on.
        caller_port: TCP port for callers; 0 selects a free port.
        peer_port: UDP and TCP port for other nodes.
        operator_port: TCP port for operators, on loopback only; 0 selects a free port.
        seeds: Peer addresses (host:port) of the nodes through which this node joins.
        key_value: Addresses (host:port) of the key-value service.
        machine_list: Address (host:port) of the machine list, or None if there is none.
        peer_keys: Keys shared between nodes; the first one signs.
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
    """An error in the settings.

    Attributes:
        field: The field, or the file's name.
        problem: The problem.
        remedy: The change that solves it.
    """

    field: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.field}: {self.problem}; {self.remedy}"


def load_settings(
    file: Path | None, overrides: Mapping[str, object]
) -> Result[NodeSettings, SettingsError]:
    """Read a settings file and override its fields with flags.

    Args:
        file: YAML file, or None to use only flags.
        overrides: Fields given as flags; None values are ignored.

    Returns:
        The checked settings, or the first error with its remedy.
    """
    fields: dict[str, object] = {}
    if file is not None:
        parsed_file = _read_fields(file)
        if isinstance(parsed_file, Err):
            return parsed_file
        fields = parsed_file.ok_value
    fields.update({name: value for name, value in overrides.items() if value is not None})
    try:
        settings = msgspec.convert(fields, NodeSettings)
    except msgspec.ValidationError as error:
        known_fields = ", ".join(NodeSettings.__struct_fields__)
        return Err(SettingsError("settings", str(error), f"known fields are {known_fields}"))
    problem = _first_problem(settings)
    if problem is not None:
        return Err(problem)
    return Ok(_with_name(settings))


def parse_address(address: str) -> Result[NodeAddress, SettingsError]:
    """Parse `IP:port`; IPv6 addresses are in brackets."""
    host, separator, port = address.rpartition(":")
    host = host.strip("[]")
    remedy = "give it as IP number, colon, port, such as 127.0.0.1:7100"
    if not separator or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        return Err(SettingsError("address", f"{address!r} has no valid port", remedy))
    if not _is_ip_number(host):
        return Err(SettingsError("address", f"{host!r} is not an IP number", remedy))
    return Ok(NodeAddress(host, int(port)))


def _read_fields(file: Path) -> Result[dict[str, object], SettingsError]:
    """Parse the file and return its fields, unchecked."""
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
    """Return the first violation of a rule that types do not express, or None."""
    if not _is_ip_number(settings.host):
        return SettingsError("host", f"{settings.host!r} is not an IP number", "use 127.0.0.1")
    for name, port, min_port in (
        ("caller_port", settings.caller_port, 0),
        ("operator_port", settings.operator_port, 0),
        ("peer_port", settings.peer_port, 1),
    ):
        if not min_port <= port <= MAX_PORT:
            return SettingsError(name, f"{port} is no port", f"use {min_port} to {MAX_PORT}")
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
    """Return the settings with the default name filled in."""
    if settings.name:
        return settings
    name = NodeName(f"{settings.host}:{settings.caller_port}")
    return msgspec.structs.replace(settings, name=name)


def _is_ip_number(host: str) -> bool:
    """Return whether the text is an IPv4 or IPv6 address."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
