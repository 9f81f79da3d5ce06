"""Reads KDL documents into checked values and gathers every error with its place.

kdl-py reads KDL 1 and gives its node converters a fragment that knows its line and column, so that an error
of meaning has a place as well as one of syntax. ckdl is faster, but gives no places at all.
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
from kdl.types import Node as Parsed

Value = TypeVar("Value")

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(us|ms|s|m|h)")
_US_BY_UNIT = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
_MAX_DURATION_US = 31 * 24 * _US_BY_UNIT["h"]
_MAX_DURATION_CHARACTERS = 19
_CHILD_MARK = "> "  # tells names of children from those of properties in `Node.read_keys`
_MAX_PORT = 65_535


class SettingsError(Exception):
    """The settings are invalid; `lines` has every error that was found.

    Each says file, line, path of nodes, what was expected, and what to do.
    """

    def __init__(self, lines: list[str]) -> None:
        """Makes the text of the lines."""
        super().__init__("\n".join(lines))
        self.lines = lines


@dataclass
class Node:
    """A node of the document.

    The methods note what has been read, and `reject_unread` reports the rest as errors.
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
        """The names of the nodes that lead to this one, as errors state them."""
        own = self.name + (f' "{self.args[0]}"' if self.args and isinstance(self.args[0], str) else "")
        return f"{self.parent.path} > {own}" if self.parent else own

    def add_error(self, expected: str, remedy: str, where: str = "") -> None:
        """Adds an error of this node, or of its property or child `where`."""
        place = f"{self.path} > {where}" if where else self.path
        self.reader.errors.append(f"{self.reader.file}:{self.line}: {place}: {expected}; {remedy}")

    def get(self, key: str, parse: Callable[[Any], Value], default: Value | None = None) -> Value:
        """Returns a property; `parse` raises ValueError that says what is expected.

        A property that is invalid, or missing without a default, is an error of the reader, and the result is
        then the default.
        """
        self.read_keys.add(key)
        if key not in self.props:
            if default is None:
                self.add_error("missing", f"add {key}=…", key)
            return default  # type: ignore[return-value]  # never used: the errors are raised first
        try:
            return parse(self.props[key])
        except ValueError as error:
            self.add_error(f"expected {error}, got {self.props[key]!r}", "correct it", key)
            return default  # type: ignore[return-value]

    def get_name(self, what: str) -> str:
        """Returns the node's only argument; `what` says what it is, for the error."""
        if len(self.args) != 1 or not isinstance(self.args[0], str) or not self.args[0]:
            self.add_error(f"expected {what} in quotes", f'write {self.name} "…"')
            return ""
        return self.args[0]

    def get_names(self, what: str) -> tuple[str, ...]:
        """Returns the node's arguments, which are names and stand once each."""
        if not self.args or not all(isinstance(a, str) and a for a in self.args):
            self.add_error(f"expected {what} in quotes", f'write {self.name} "…" "…"')
            return ()
        if len(set(self.args)) < len(self.args):
            self.add_error("a name stands twice", "name each once")
        return tuple(self.args)

    def child(self, name: str) -> Node | None:
        """Returns the child of that name, or None. A second one of the name is an error."""
        self.read_keys.add(_CHILD_MARK + name)
        found = [c for c in self.children if c.name == name]
        for extra in found[1:]:
            extra.add_error("stands twice", f"keep one {name}")
        return found[0] if found else None

    def require_child(self, name: str) -> Node:
        """Returns the child of that name; a missing one is an error, and the result then an empty node."""
        found = self.child(name)
        if found is None:
            self.add_error("missing", f"add a node {name}", name)
            # Its reader is not the document's: what the empty node lacks is no error of its own.
            return Node(
                name=name,
                args=[],
                props={},
                children=[],
                line=self.line,
                reader=SettingsReader(self.reader.file),
                parent=self,
            )
        return found

    def children_named(self, name: str) -> list[Node]:
        """Returns all children of that name."""
        self.read_keys.add(_CHILD_MARK + name)
        return [c for c in self.children if c.name == name]

    def reject_unread(self, expected_args: int = 0) -> None:
        """Adds an error for everything that was not read, so that no misspelt setting is ignored."""
        if len(self.args) > expected_args:
            self.add_error(f"{len(self.args)} values where {expected_args} are expected", "remove the others")
        for key in self.props:
            if key not in self.read_keys:
                known = (
                    ", ".join(sorted(k for k in self.read_keys if not k.startswith(_CHILD_MARK))) or "none"
                )
                self.add_error("unknown property", f"known here: {known}", key)
        for child in self.children:
            if _CHILD_MARK + child.name not in self.read_keys:
                known = (
                    ", ".join(sorted(k[2:] for k in self.read_keys if k.startswith(_CHILD_MARK))) or "none"
                )
                child.add_error("unknown node", f"known here: {known}")


class SettingsReader:
    """Reads one file; `errors` gathers what is wrong with it."""

    def __init__(self, file: str) -> None:
        """Reads nothing yet; `file` is the name that errors state."""
        self.file = file
        self.errors: list[str] = []

    def parse(self, text: str) -> Node:
        """Returns the root of a document. Raises SettingsError if the text is not KDL 1."""
        lines: dict[int, int] = {}  # by the identity of the parsed node

        def note_line(node: Parsed, fragment: Any) -> Any:
            lines[id(node)] = fragment.error("").line
            return node

        try:
            document = Parser(ParseConfig(nodeConverters={(..., ...): note_line})).parse(text)
        except ParseError as error:
            reason = " ".join(str(error).split(": ", 1)[-1].split())
            at = f"{error.line}:{error.col}"
            raise SettingsError([f"{self.file}:{at}: not KDL 1: {reason}; correct the syntax"]) from None
        root = Node(name="settings", args=[], props={}, children=[], line=1, reader=self)
        root.children = [self._convert(node, lines, None) for node in document.nodes]
        return root

    def _convert(self, parsed: Parsed, lines: dict[int, int], parent: Node | None) -> Node:
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
        """Raises SettingsError with all errors gathered so far, if there are any."""
        if self.errors:
            raise SettingsError(self.errors)


def load_document(path: str | Path) -> tuple[SettingsReader, Node]:
    """Returns reader and root of a file. Raises SettingsError if it cannot be read or is not KDL 1."""
    reader = SettingsReader(str(path))
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "not UTF-8"
        raise SettingsError([f"{path}: can't be read: {reason}; name a settings file in KDL"]) from None
    return reader, reader.parse(text)


def parse_duration_us(value: Any) -> int:
    """Returns the microseconds of "250ms", "2s" and the like, 31 days at most. Raises ValueError."""
    found = (
        _DURATION.fullmatch(value)
        if isinstance(value, str) and len(value) <= _MAX_DURATION_CHARACTERS
        else None
    )
    figure = float(found[1]) * _US_BY_UNIT[found[2]] if found else math.inf
    if figure > _MAX_DURATION_US:
        raise ValueError('a time such as "250ms" or "2s", "744h" at most')
    return round(figure)


def duration_parser(least: str) -> Callable[[Any], int]:
    """Returns a parser of durations of `least` or more, for those that are divided by or waited for."""

    def parse(value: Any) -> int:
        duration_us = parse_duration_us(value)
        if duration_us < parse_duration_us(least):
            raise ValueError(f'a time of "{least}" or more')
        return duration_us

    return parse


def number_parser(least: float, most: float) -> Callable[[Any], float]:
    """Returns a parser of finite numbers from `least` to `most`."""

    def parse(value: Any) -> float:
        is_number = isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)
        if not is_number or not least <= value <= most:
            raise ValueError(f"a number from {least:g} to {most:g}")
        return float(value)

    return parse


def integer_parser(least: int, most: int) -> Callable[[Any], int]:
    """Returns a parser of whole numbers from `least` to `most`."""

    def parse(value: Any) -> int:
        expected = f"a whole number from {least} to {most}"
        try:
            number = number_parser(least, most)(value)
        except ValueError:
            raise ValueError(expected) from None
        if number != int(number):
            raise ValueError(expected)
        return int(number)

    return parse


def parse_boolean(value: Any) -> bool:
    """Returns a truth value. Raises ValueError."""
    if not isinstance(value, bool):
        raise ValueError("true or false")
    return value


def parse_text(value: Any) -> str:
    """Returns a text that is not empty. Raises ValueError."""
    if not isinstance(value, str) or not value:
        raise ValueError("text in quotes")
    return value


def choice_parser(choices: Iterable[str]) -> Callable[[Any], str]:
    """Returns a parser of one of the choices."""
    names = tuple(choices)

    def parse(value: Any) -> str:
        if value not in names:
            raise ValueError("one of " + ", ".join(names))
        return str(value)

    return parse


def names_parser(known: Iterable[str]) -> Callable[[Any], tuple[str, ...]]:
    """Returns a parser of known names, set apart by spaces or commas."""
    allowed = tuple(known)

    def parse(value: Any) -> tuple[str, ...]:
        found = tuple(re.split(r"[,\s]+", value.strip())) if isinstance(value, str) else ()
        if not found or any(n not in allowed for n in found):
            raise ValueError("names out of " + ", ".join(allowed))
        return found

    return parse


def parse_address(value: Any) -> tuple[str, int]:
    """Returns host and port of "host:port". Raises ValueError unless the host is a dotted address."""
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
