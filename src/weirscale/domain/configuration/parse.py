"""Parsing of a configuration file into a typed `Deployment`, with a list of all errors.

Types, enumeration values and required fields come from the types in `model`, so a field added
there needs no change here.
"""

import enum
import types
import typing
from typing import Any, Generic, TypeVar

import msgspec
from result import Err, Ok, Result

from weirscale.domain.configuration.errors import ConfigurationError
from weirscale.domain.configuration.model import Declared, Deployment
from weirscale.domain.configuration.validate import validate_deployment
from weirscale.domain.configuration.yaml_tree import (
    YamlMapping,
    YamlNode,
    YamlScalar,
    YamlSequence,
    read_yaml_tree,
)

MAX_ERRORS = 200
"""Maximum number of reported errors; a file with more repeats one mistake."""

TYPE_NAMES = {str: "text", int: "a whole number", float: "a number", bool: "true or false"}


class ParsedDeployment(msgspec.Struct, frozen=True):
    """A deployment file that passed the type checks.

    Attributes:
        deployment: Content of the file.
        lines: Line of each field by its path, for errors found later.
    """

    deployment: Deployment
    lines: dict[str, int]


ConfigurationErrors = tuple[ConfigurationError, ...]

DeclaredT = TypeVar("DeclaredT", bound=Declared)


class ParsedFile(msgspec.Struct, Generic[DeclaredT], frozen=True):
    """A file of any declared type that passed the type checks.

    Attributes:
        content: Content of the file.
        lines: Line of each field by its path, for errors found later.
    """

    content: DeclaredT
    lines: dict[str, int]


def parse_declared(
    text: str, expected: type[DeclaredT]
) -> Result[ParsedFile[DeclaredT], ConfigurationErrors]:
    """Parse a file as the given type; return the parsed file or all errors."""
    tree = read_yaml_tree(text)
    if isinstance(tree, Err):
        return Err((tree.err_value,))
    builder = _Builder()
    content = builder.build(tree.ok_value, expected, "")
    if builder.errors:
        return Err(tuple(builder.errors[:MAX_ERRORS]))
    assert isinstance(content, expected)
    return Ok(ParsedFile(content, builder.lines))


def parse_deployment(text: str) -> Result[ParsedDeployment, ConfigurationErrors]:
    """Parse a deployment file; rules over several fields are not checked here."""
    parsed = parse_declared(text, Deployment)
    if isinstance(parsed, Err):
        return parsed
    return Ok(ParsedDeployment(parsed.ok_value.content, parsed.ok_value.lines))


def check_deployment(text: str) -> Result[Deployment, ConfigurationErrors]:
    """Parse a file and check the rules over several fields, as `weirscale check` does."""
    parsed = parse_deployment(text)
    if isinstance(parsed, Err):
        return parsed
    errors = validate_deployment(parsed.ok_value.deployment, parsed.ok_value.lines)
    if errors:
        return Err(errors[:MAX_ERRORS])
    return Ok(parsed.ok_value.deployment)


class _Builder:
    """Converts a YAML tree to the model's types; a failed part yields None and an error."""

    def __init__(self) -> None:
        self.errors: list[ConfigurationError] = []
        self.lines: dict[str, int] = {}

    def build(self, node: YamlNode, expected: Any, path: str) -> Any:
        """Convert one node to the expected type; on failure record an error and return None."""
        self.lines[path] = node.line
        expected = _without_new_type(expected)
        if isinstance(expected, type) and issubclass(expected, Declared):
            return self._build_struct(node, expected, path)
        if typing.get_origin(expected) is tuple:
            return self._build_tuple(node, typing.get_args(expected)[0], path)
        return self._build_scalar(node, expected, path)

    def _build_struct(self, node: YamlNode, expected: type[Declared], path: str) -> Any:
        if not isinstance(node, YamlMapping):
            self._fail(node, path, "expected fields", f"write fields of {expected.__name__}")
            return None
        fields = {field.name: field for field in _struct_fields(expected)}
        values: dict[str, Any] = {}
        num_errors = len(self.errors)
        for entry in node.entries:
            entry_path = f"{path}.{entry.key}" if path else entry.key
            if entry.key in values:
                self._report(entry.line, entry_path, "written twice", "keep one of the two")
                continue
            if entry.key not in fields:
                remedy = f"use one of: {', '.join(fields)}"
                self._report(entry.line, entry_path, "unknown field", remedy)
                continue
            value = self.build(entry.value, fields[entry.key].type, entry_path)
            values[entry.key] = value
        for field in fields.values():
            if field.required and field.name not in values:
                field_path = f"{path}.{field.name}" if path else field.name
                self._fail(node, field_path, "missing", f"add `{field.name}:`")
        if len(self.errors) > num_errors:
            return None
        return expected(**values)

    def _build_tuple(self, node: YamlNode, item_type: Any, path: str) -> Any:
        if not isinstance(node, YamlSequence):
            self._fail(node, path, "expected a list", "write each item after `- `")
            return None
        return tuple(
            self.build(item, item_type, f"{path}[{index}]") for index, item in enumerate(node.items)
        )

    def _build_scalar(self, node: YamlNode, expected: Any, path: str) -> Any:
        description = _describe(expected)
        if not isinstance(node, YamlScalar):
            self._fail(node, path, "expected one value", f"write {description}")
            return None
        if expected is str and not node.text:
            self._fail(node, path, "empty", "write a text")
            return None
        try:
            return msgspec.convert(node.text, expected, strict=False)
        except msgspec.ValidationError:
            shown = node.text if len(node.text) <= 40 else node.text[:40] + "…"
            self._fail(node, path, f"`{shown}` is not {description}", f"write {description}")
            return None

    def _fail(self, node: YamlNode, path: str, message: str, remedy: str) -> None:
        self._report(node.line, path, message, remedy)

    def _report(self, line: int, path: str, message: str, remedy: str) -> None:
        self.errors.append(ConfigurationError(line, path, message, remedy))


_FIELDS: dict[type[Declared], tuple[msgspec.structs.FieldInfo, ...]] = {}


def _struct_fields(expected: type[Declared]) -> tuple[msgspec.structs.FieldInfo, ...]:
    """Return a type's fields, cached per type because the inspection is slow."""
    if expected not in _FIELDS:
        _FIELDS[expected] = msgspec.structs.fields(expected)
    return _FIELDS[expected]


def _without_new_type(expected: Any) -> Any:
    while hasattr(expected, "__supertype__"):
        expected = expected.__supertype__
    return expected


def _describe(expected: Any) -> str:
    """Describe a scalar type in an error message."""
    if isinstance(expected, type) and issubclass(expected, enum.Enum):
        return "one of: " + ", ".join(str(member.value) for member in expected)
    if isinstance(expected, types.UnionType) or typing.get_origin(expected) is typing.Union:
        kinds = [kind for kind in typing.get_args(expected) if kind is not type(None)]
        return " or ".join([*(_describe(kind) for kind in kinds), "null"])
    return TYPE_NAMES.get(expected, str(expected))
