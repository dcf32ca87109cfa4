"""Parsing of YAML text into a tree with line numbers, with limits on size and depth.

Scalars remain text, and the type of the field decides how each is converted. So a version `1.10`
remains the text `1.10`. Anchors, aliases and multiple documents are rejected, and tags are ignored.
Without aliases a small file cannot expand into a large one.
"""

from collections.abc import Iterator
from io import StringIO

import msgspec
from result import Err, Ok, Result
from ruamel.yaml import YAML
from ruamel.yaml.error import MarkedYAMLError, YAMLError
from ruamel.yaml.events import (
    AliasEvent,
    DocumentStartEvent,
    Event,
    MappingEndEvent,
    MappingStartEvent,
    NodeEvent,
    ScalarEvent,
    SequenceEndEvent,
    SequenceStartEvent,
)

from weirscale.domain.configuration.errors import ConfigurationError

MAX_TEXT_BYTES = 4 * 1024 * 1024
"""Eight times the size of a file with 1,700 engines and 290 tenants."""
MAX_DEPTH = 12
"""The deepest field of the format is at depth 6."""


class YamlScalar(msgspec.Struct, frozen=True):
    """A scalar as written, without its quotes."""

    line: int
    text: str
    is_quoted: bool


class YamlSequence(msgspec.Struct, frozen=True):
    """A YAML sequence."""

    line: int
    items: list["YamlNode"]


class YamlEntry(msgspec.Struct, frozen=True):
    """One key of a mapping, with its value."""

    line: int
    key: str
    value: "YamlNode"


class YamlMapping(msgspec.Struct, frozen=True):
    """A YAML mapping; keys may occur more than once."""

    line: int
    entries: list[YamlEntry]


YamlNode = YamlScalar | YamlSequence | YamlMapping


class _TreeError(Exception):
    """Raised in the nested readers of this module for YAML that is not accepted."""

    def __init__(self, line: int, message: str, remedy: str) -> None:
        super().__init__(message)
        self.error = ConfigurationError(line, "", message, remedy)


def read_yaml_tree(text: str) -> Result[YamlNode, ConfigurationError]:
    """Read one YAML document.

    Args:
        text: Content of the file.

    Returns:
        The root node, or the first error.
    """
    if len(text.encode("utf-8", "replace")) > MAX_TEXT_BYTES:
        message = f"the file is larger than {MAX_TEXT_BYTES} bytes"
        return Err(ConfigurationError(0, "", message, "split the deployment or shorten the file"))
    try:
        return Ok(_read_document(YAML(typ="safe", pure=True).parse(StringIO(text))))
    except _TreeError as tree_error:
        return Err(tree_error.error)
    except MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark is not None else 0
        message = f"not valid YAML: {error.problem or error.context}"
        return Err(ConfigurationError(line, "", message, "correct the YAML at or above this line"))
    except (YAMLError, ValueError) as error:
        message = f"not valid YAML: {' '.join(str(error).split())}"
        return Err(ConfigurationError(0, "", message, "write the file as UTF-8 YAML"))


def _read_document(events: Iterator[Event]) -> YamlNode:
    root: YamlNode | None = None
    for event in events:
        if isinstance(event, DocumentStartEvent) and root is not None:
            raise _TreeError(_line(event), "a second document starts here", "keep one document")
        if isinstance(event, NodeEvent):
            root = _read_node(event, events, depth=1)
    if root is None:
        raise _TreeError(0, "the file is empty", "declare a deployment, see deployments/")
    return root


def _line(event: Event) -> int:
    return int(event.start_mark.line) + 1


def _read_node(event: Event, events: Iterator[Event], depth: int) -> YamlNode:
    line = _line(event)
    if depth > MAX_DEPTH:
        raise _TreeError(line, f"nested deeper than {MAX_DEPTH} levels", "flatten the value")
    if isinstance(event, AliasEvent) or getattr(event, "anchor", None) is not None:
        raise _TreeError(line, "anchors and aliases are not accepted", "write the value out")
    if isinstance(event, ScalarEvent):
        return YamlScalar(line, str(event.value), is_quoted=event.style in ("'", '"', "|", ">"))
    if isinstance(event, SequenceStartEvent):
        return _read_sequence(line, events, depth)
    if isinstance(event, MappingStartEvent):
        return _read_mapping(line, events, depth)
    raise _TreeError(line, "unexpected YAML", "write plain keys, lists and values")


def _read_sequence(line: int, events: Iterator[Event], depth: int) -> YamlSequence:
    items: list[YamlNode] = []
    for event in events:
        if isinstance(event, SequenceEndEvent):
            break
        items.append(_read_node(event, events, depth + 1))
    return YamlSequence(line, items)


def _read_mapping(line: int, events: Iterator[Event], depth: int) -> YamlMapping:
    entries: list[YamlEntry] = []
    for event in events:
        if isinstance(event, MappingEndEvent):
            break
        key = _read_node(event, events, depth + 1)
        if not isinstance(key, YamlScalar):
            raise _TreeError(key.line, "a key must be plain text", "write `key: value`")
        value = _read_node(next(events), events, depth + 1)
        if isinstance(value, YamlScalar) and not value.text:
            # The parser gives an omitted value the line of the next token; use the key's line.
            value = YamlScalar(key.line, value.text, value.is_quoted)
        entries.append(YamlEntry(key.line, key.text, value))
    return YamlMapping(line, entries)
