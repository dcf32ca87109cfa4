"""Collection of a deployment's errors, and checks of names, zones and addresses for the rules."""

import ipaddress
import re
from collections.abc import Iterable, Mapping
from typing import Protocol

from weirscale.domain.configuration.errors import ConfigurationError
from weirscale.domain.configuration.model import Deployment

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
"""Allowed names. They appear in keys, paths and logs and need no quoting there."""
MAX_PORT = 65535


class _Named(Protocol):
    @property
    def name(self) -> str: ...


class DeploymentChecker:
    """Checks a deployment and collects the errors found.

    Attributes:
        deployment: The deployment to check.
        lines: Line of each field by its path; may be empty.
        errors: The errors found so far.
        zones: Names of all declared zones.
        models: Names of all declared models.
    """

    def __init__(self, deployment: Deployment, lines: Mapping[str, int]) -> None:
        self.deployment = deployment
        self.lines = lines
        self.errors: list[ConfigurationError] = []
        self.zones = {zone for region in deployment.regions for zone in region.zones}
        self.models = {model.name for model in deployment.models}

    def add_error(self, path: str, message: str, remedy: str) -> None:
        """Record an error at the line of the field, or of its nearest parent that has a line."""
        nearest_path = path
        while nearest_path and nearest_path not in self.lines:
            cut = max(nearest_path.rfind("."), nearest_path.rfind("["))
            nearest_path = nearest_path[:cut] if cut > 0 else ""
        self.errors.append(
            ConfigurationError(self.lines.get(nearest_path, 0), path, message, remedy)
        )

    def check_unique(self, values: Iterable[tuple[str, str]], value_kind: str) -> None:
        """Report each (path, value) pair whose value occurred before.

        Args:
            values: Paths of fields and their values.
            value_kind: Name of the values in the error message, such as "address".
        """
        first_path: dict[str, str] = {}
        for path, value in values:
            if value in first_path:
                message = f"{value_kind} `{value}` is taken by {first_path[value]}"
                self.add_error(path, message, f"give each its own {value_kind}")
            else:
                first_path[value] = path

    def check_names(self, path: str, items: Iterable[_Named]) -> None:
        """Check that the names of a list of items are well-formed and unique."""
        names = [(f"{path}[{index}].name", item.name) for index, item in enumerate(items)]
        self.check_unique(names, "name")
        for name_path, name in names:
            self.check_name(name_path, name)

    def check_name(self, path: str, name: str) -> None:
        """Check that a name matches NAME_PATTERN."""
        if not NAME_PATTERN.fullmatch(name):
            remedy = (
                "use at most 63 letters, digits, `.`, `_` and `-`; start with a letter or digit"
            )
            self.add_error(path, f"`{name}` is not a name", remedy)

    def check_zone(self, path: str, zone: str) -> None:
        """Check that a zone is declared."""
        if zone not in self.zones:
            remedy = f"use one of: {', '.join(sorted(self.zones))}"
            self.add_error(path, f"unknown zone `{zone}`", remedy)

    def check_address(self, path: str, address: str) -> None:
        """Check that an address has the form IP:port."""
        host, _, port = address.rpartition(":")
        try:
            ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
            is_valid = port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
        except ValueError:
            is_valid = False
        if not is_valid:
            remedy = "write an IP address and a port, such as 10.0.0.7:8000"
            self.add_error(path, f"`{address}` is not an address", remedy)
