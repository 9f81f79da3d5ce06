"""Reads KDL documents into checked values, and collects all errors with their positions.

The parser is kdl-py, which supports KDL 1 and tells node converters the line and column of each node, so that
invalid values can be reported with their position as well as syntax errors. ckdl is faster, but reports no
positions.
"""

from __future__ import annotations

import ipaddress
import math
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from kdl.errors import ParseError
from kdl.parsing import ParseConfig, Parser
from kdl.types import Node as ParsedNode

Value = TypeVar("Value")

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(us|ms|s|m|h)")
_US_BY_UNIT = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
_MAX_DURATION_US = 31 * 24 * _US_BY_UNIT["h"]
_MAX_DURATION_CHARACTERS = 19
_CHILD_PREFIX = "> "  # distinguishes the names of children from those of properties in `Node.read_keys`
_MAX_PORT = 65_535


class SettingsError(Exception):
    """The settings are invalid.

    `lines` contains one line for each error: its file, line and path of nodes, what was expected, and how to
    correct it.
    """

    def __init__(self, lines: list[str]) -> None:
        """Creates an error whose message consists of `lines`."""
        super().__init__("\n".join(lines))
        self.lines = lines


@dataclass
class Node:
    """A node of the document.

    The methods record in `read_keys` which properties and children have been read; `reject_unread` reports
    all others as errors.
    """

    name: str
    args: list[Any]
    props: dict[str, Any]
    children: list[Node]
    line: int
    reader: SettingsReader
    parent: Node | None = None
    read_keys: set[str] = field(default_factory=set)

    @property
    def path(self) -> str:
        """The names of the nodes from the root to this one, as shown in errors."""
        own = self.name + (f' "{self.args[0]}"' if self.args and isinstance(self.args[0], str) else "")
        return f"{self.parent.path} > {own}" if self.parent else own

    def add_error(self, expected: str, remedy: str, where: str = "") -> None:
        """Adds an error about this node, or about its property or child `where`."""
        path = f"{self.path} > {where}" if where else self.path
        self.reader.errors.append(f"{self.reader.file}:{self.line}: {path}: {expected}; {remedy}")

    def get(self, key: str, parse: Callable[[Any], Value], default: Value | None = None) -> Value:
        """Returns the parsed value of a property.

        `parse` raises ValueError with a description of the values that it accepts. If the property is
        invalid, or missing without a default, an error is added to the reader and the default is returned.
        """
        self.read_keys.add(key)
        if key not in self.props:
            if default is None:
                self.add_error("missing", f"add {key}=…", key)
            return default  # type: ignore[return-value]  # never used, as the errors are raised before
        try:
            return parse(self.props[key])
        except ValueError as error:
            self.add_error(f"expected {error}, got {self.props[key]!r}", "correct it", key)
            return default  # type: ignore[return-value]

    def get_name(self, what: str) -> str:
        """Returns the node's only argument; `what` describes it in errors."""
        if len(self.args) != 1 or not isinstance(self.args[0], str) or not self.args[0]:
            self.add_error(f"expected {what} in quotes", f'write {self.name} "…"')
            return ""
        return self.args[0]

    def get_names(self, what: str) -> tuple[str, ...]:
        """Returns the node's arguments, which have to be distinct names; `what` describes them in errors."""
        if not self.args or not all(isinstance(a, str) and a for a in self.args):
            self.add_error(f"expected {what} in quotes", f'write {self.name} "…" "…"')
            return ()
        if len(set(self.args)) < len(self.args):
            self.add_error("a name occurs twice", "list each name once")
        return tuple(self.args)

    def child(self, name: str) -> Node | None:
        """Returns the child of that name, or None. A second child of the same name is an error."""
        self.read_keys.add(_CHILD_PREFIX + name)
        matches = [child for child in self.children if child.name == name]
        for extra in matches[1:]:
            extra.add_error("occurs twice", f"keep one {name}")
        return matches[0] if matches else None

    def require_child(self, name: str) -> Node:
        """Returns the child of that name; if it is missing, adds an error and returns an empty node."""
        child = self.child(name)
        if child is None:
            self.add_error("missing", f"add a node {name}", name)
            # The empty node has a reader of its own, so that its missing properties are not reported as well.
            return Node(
                name=name,
                args=[],
                props={},
                children=[],
                line=self.line,
                reader=SettingsReader(self.reader.file),
                parent=self,
            )
        return child

    def children_named(self, name: str) -> list[Node]:
        """Returns all children of that name."""
        self.read_keys.add(_CHILD_PREFIX + name)
        return [child for child in self.children if child.name == name]

    def reject_unread(self, expected_args: int = 0) -> None:
        """Adds an error for each argument, property and child not read, so that no misspelling is ignored."""
        if len(self.args) > expected_args:
            self.add_error(f"{len(self.args)} values where {expected_args} are expected", "remove the others")
        for key in self.props:
            if key not in self.read_keys:
                known = (
                    ", ".join(sorted(k for k in self.read_keys if not k.startswith(_CHILD_PREFIX))) or "none"
                )
                self.add_error("unknown property", f"known here: {known}", key)
        for child in self.children:
            if _CHILD_PREFIX + child.name not in self.read_keys:
                known = (
                    ", ".join(sorted(k[2:] for k in self.read_keys if k.startswith(_CHILD_PREFIX))) or "none"
                )
                child.add_error("unknown node", f"known here: {known}")


class SettingsReader:
    """Reads one file and collects its errors."""

    def __init__(self, file: str) -> None:
        """Creates a reader without reading anything; `file` is the name shown in errors."""
        self.file = file
        self.errors: list[str] = []

    def parse(self, text: str) -> Node:
        """Returns the root of a document. Raises SettingsError if the text is not KDL 1."""
        lines: dict[int, int] = {}  # the line of each parsed node, by the node's id()

        def record_line(node: ParsedNode, fragment: Any) -> Any:
            lines[id(node)] = fragment.error("").line
            return node

        try:
            document = Parser(ParseConfig(nodeConverters={(..., ...): record_line})).parse(text)
        except ParseError as error:
            reason = " ".join(str(error).split(": ", 1)[-1].split())
            position = f"{error.line}:{error.col}"
            raise SettingsError(
                [f"{self.file}:{position}: not KDL 1: {reason}; correct the syntax"]
            ) from None
        root = Node(name="settings", args=[], props={}, children=[], line=1, reader=self)
        root.children = [self._convert(node, lines, None) for node in document.nodes]
        return root

    def _convert(self, parsed: ParsedNode, lines: dict[int, int], parent: Node | None) -> Node:
        node = Node(
            name=parsed.name,
            args=list(parsed.args),
            props=dict(parsed.props),
            children=[],
            line=lines.get(id(parsed), 1),
            reader=self,
            parent=parent,
        )
        node.children = [self._convert(child, lines, node) for child in parsed.nodes]
        return node

    def raise_errors(self) -> None:
        """Raises SettingsError with all errors collected so far, if there are any."""
        if self.errors:
            raise SettingsError(self.errors)


def load_document(path: str | Path) -> tuple[SettingsReader, Node]:
    """Returns the reader and the root of a file. Raises SettingsError if it can't be read or is not KDL 1."""
    reader = SettingsReader(str(path))
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "not UTF-8"
        raise SettingsError([f"{path}: can't be read: {reason}; give a settings file in KDL"]) from None
    return reader, reader.parse(text)


def parse_duration_us(value: Any) -> int:
    """Returns the microseconds of a duration such as "250ms" or "2s", at most 31 days. Raises ValueError."""
    match = (
        _DURATION.fullmatch(value)
        if isinstance(value, str) and len(value) <= _MAX_DURATION_CHARACTERS
        else None
    )
    duration_us = float(match[1]) * _US_BY_UNIT[match[2]] if match else math.inf
    if duration_us > _MAX_DURATION_US:
        raise ValueError('a time such as "250ms" or "2s", "744h" at most')
    return round(duration_us)


def duration_parser(minimum: str) -> Callable[[Any], int]:
    """Returns a parser of durations of at least `minimum`, for those used as a divisor or an interval."""

    def parse(value: Any) -> int:
        duration_us = parse_duration_us(value)
        if duration_us < parse_duration_us(minimum):
            raise ValueError(f'a time of "{minimum}" or more')
        return duration_us

    return parse


def number_parser(minimum: float, maximum: float) -> Callable[[Any], float]:
    """Returns a parser of finite numbers from `minimum` to `maximum`."""

    def parse(value: Any) -> float:
        is_number = isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)
        if not is_number or not minimum <= value <= maximum:
            raise ValueError(f"a number from {minimum:g} to {maximum:g}")
        return float(value)

    return parse


def integer_parser(minimum: int, maximum: int) -> Callable[[Any], int]:
    """Returns a parser of integers from `minimum` to `maximum`."""

    def parse(value: Any) -> int:
        expected = f"a whole number from {minimum} to {maximum}"
        try:
            number = number_parser(minimum, maximum)(value)
        except ValueError:
            raise ValueError(expected) from None
        if number != int(number):
            raise ValueError(expected)
        return int(number)

    return parse


def parse_boolean(value: Any) -> bool:
    """Returns a Boolean value. Raises ValueError."""
    if not isinstance(value, bool):
        raise ValueError("true or false")
    return value


def parse_text(value: Any) -> str:
    """Returns a non-empty string. Raises ValueError."""
    if not isinstance(value, str) or not value:
        raise ValueError("text in quotes")
    return value


def choice_parser(choices: Iterable[str]) -> Callable[[Any], str]:
    """Returns a parser that accepts one of the choices."""
    names = tuple(choices)

    def parse(value: Any) -> str:
        if value not in names:
            raise ValueError("one of " + ", ".join(names))
        return str(value)

    return parse


def names_parser(known: Iterable[str]) -> Callable[[Any], tuple[str, ...]]:
    """Returns a parser of known names that are separated by spaces or commas."""
    allowed = tuple(known)

    def parse(value: Any) -> tuple[str, ...]:
        names = tuple(re.split(r"[,\s]+", value.strip())) if isinstance(value, str) else ()
        if not names or any(name not in allowed for name in names):
            raise ValueError("one or more of " + ", ".join(allowed))
        return names

    return parse


def parse_address(value: Any) -> tuple[str, int]:
    """Returns the host and port of "host:port". Raises ValueError unless the host is an IPv4 address."""
    if not isinstance(value, str):
        raise ValueError('an address such as "127.0.0.1:7101"')
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        is_valid = 0 < int(port) <= _MAX_PORT
    except ValueError:
        is_valid = False
    if not is_valid:
        raise ValueError('an address such as "127.0.0.1:7101"')
    return host, int(port)
