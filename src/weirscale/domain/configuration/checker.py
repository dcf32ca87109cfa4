"""Collects what is wrong with a deployment, and checks the shapes that several rules need."""

import ipaddress
import re
from collections.abc import Iterable, Mapping
from typing import Protocol

from weirscale.domain.configuration.errors import ConfigurationError
from weirscale.domain.configuration.model import Deployment

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
"""Names go into keys, paths and logs, so they need no quoting there."""
MAX_PORT = 65535


class _Named(Protocol):
    @property
    def name(self) -> str: ...


class DeploymentChecker:
    """The deployment, what it declares by name, and the errors found so far."""

    def __init__(self, deployment: Deployment, lines: Mapping[str, int]) -> None:
        self.deployment = deployment
        self.lines = lines
        self.errors: list[ConfigurationError] = []
        self.zones = {zone for region in deployment.regions for zone in region.zones}
        self.models = {model.name for model in deployment.models}

    def fail(self, path: str, message: str, remedy: str) -> None:
        """Record an error at the line of the field, or of the nearest field that has one."""
        known = path
        while known and known not in self.lines:
            cut = max(known.rfind("."), known.rfind("["))
            known = known[:cut] if cut > 0 else ""
        self.errors.append(ConfigurationError(self.lines.get(known, 0), path, message, remedy))

    def unique(self, values: Iterable[tuple[str, str]], what: str) -> None:
        """Report each (path, value) whose value has been seen before."""
        first_path: dict[str, str] = {}
        for path, value in values:
            if value in first_path:
                message = f"{what} `{value}` is taken by {first_path[value]}"
                self.fail(path, message, f"give each its own {what}")
            else:
                first_path[value] = path

    def named(self, path: str, items: Iterable[_Named]) -> None:
        """Check the names of a list of items: well-formed and unique."""
        names = [(f"{path}[{index}].name", item.name) for index, item in enumerate(items)]
        self.unique(names, "name")
        for name_path, name in names:
            self.name(name_path, name)

    def name(self, path: str, name: str) -> None:
        """Check that a name has the allowed shape."""
        if not NAME_PATTERN.fullmatch(name):
            remedy = (
                "use letters, digits, `.`, `_` and `-`, 63 at most, the first a letter or digit"
            )
            self.fail(path, f"`{name}` is not a name", remedy)

    def zone(self, path: str, zone: str) -> None:
        """Check that a zone is declared."""
        if zone not in self.zones:
            remedy = f"use one of: {', '.join(sorted(self.zones))}"
            self.fail(path, f"unknown zone `{zone}`", remedy)

    def address(self, path: str, address: str) -> None:
        """Check that an address is IP:port."""
        host, _, port = address.rpartition(":")
        try:
            ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
            is_valid = port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
        except ValueError:
            is_valid = False
        if not is_valid:
            remedy = "write an IP number and a port, such as 10.0.0.7:8000"
            self.fail(path, f"`{address}` is not an address", remedy)
