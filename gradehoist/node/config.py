"""Reads and validates the platform's configuration file and returns it as a frozen record.

The `settings` object inside the file is parsed by `gradehoist.settings.platform`.
"""

from __future__ import annotations

import contextlib
import ipaddress
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from gradehoist.identifiers import Identifiers
from gradehoist.interface import PolicyConfig
from gradehoist.node.discovery import EndpointListUpdate, parse_update
from gradehoist.node.errors import NodeError
from gradehoist.settings import platform

DEFAULT_SOCKET_LIMIT = 1_024
DEFAULT_MEMORY_LIMIT_MB = 192
MIN_MEMORY_LIMIT_MB = 16
BYTES_PER_MB = 1 << 20
# A lower limit leaves too few descriptors for proxies after those that the node itself needs.
MIN_SOCKET_LIMIT = 64
EMPTY_ENDPOINT_LIST = {"revision": 0, "complete": True, "members": []}


class ConfigError(NodeError):
    """The configuration is unusable. The message is one line: file, setting, problem, remedy."""

    def __init__(self, path: Path, problem: str, remedy: str, setting: str = "") -> None:
        """Builds the message; `setting` is empty if the problem concerns the whole file."""
        place = f"{path}: {setting}" if setting else f"{path}"
        super().__init__(f"{place}: {problem}; {remedy}")
        self.path = path
        self.setting = setting
        self.problem = problem
        self.remedy = remedy


class Address(NamedTuple):
    """An IPv4 address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns the address in the form IPV4:PORT."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """The validated configuration of one node."""

    listen: Address
    discovery: Address
    socket_limit: int  # the most descriptors that the process may hold
    memory_limit_bytes: int  # the process is killed if it uses more
    policy_config: PolicyConfig
    identifiers: Identifiers
    settings: dict[str, Any]  # unparsed, to detect whether a reload changes them
    cached_endpoints: EndpointListUpdate  # the last endpoint list known before the start


def parse_address(text: object) -> Address:
    """Parses IPV4:PORT.

    Host names are rejected: resolving one would block the event loop, and the platform does not use any.

    Raises:
        ValueError: The text is not an address of this form.
    """
    host, _, port = str(text).rpartition(":")
    try:
        if not port.isdecimal() or not 0 < int(port) < 65_536:
            raise ValueError
        return Address(str(ipaddress.IPv4Address(host)), int(port))
    except ValueError:
        raise ValueError(f"{str(text)[:60]!r} is not an address; write it as IPV4:PORT") from None


def seed_from_text(text: object) -> int:
    """Maps a seed of any form, hexadecimal or not, to the integer seed of the policy."""
    return zlib.crc32(str(text).encode())


def load_config(path: Path) -> NodeConfig:
    """Reads and validates the configuration file.

    Raises:
        ConfigError: The file cannot be read or is not JSON, or a setting is missing or invalid.
    """
    document = _read_document(path)
    with _config_errors(path, "listen"):
        listen = parse_address(document["listen"])
    with _config_errors(path, "discovery"):
        discovery = parse_address(document["discovery"])
    with _config_errors(path, "limits.sockets"):
        socket_limit = int(document.get("limits", {}).get("sockets", DEFAULT_SOCKET_LIMIT))
        if socket_limit < MIN_SOCKET_LIMIT:
            raise ValueError(f"{socket_limit} is too low; allow at least {MIN_SOCKET_LIMIT}")
    with _config_errors(path, "limits.memory_mb"):
        memory_limit_mb = float(document.get("limits", {}).get("memory_mb", DEFAULT_MEMORY_LIMIT_MB))
        if not memory_limit_mb >= MIN_MEMORY_LIMIT_MB:
            raise ValueError(f"{memory_limit_mb:g} is too low; allow at least {MIN_MEMORY_LIMIT_MB}")
    with _config_errors(path, "settings"):
        settings = document["settings"]
        identifiers = platform.parse_identifiers(settings)
        seed = seed_from_text(document.get("seed", ""))
        policy_config = platform.parse_config(settings, identifiers, seed)
    with _config_errors(path, "known"):
        cached_endpoints = parse_update(document.get("known", EMPTY_ENDPOINT_LIST))
    return NodeConfig(
        listen=listen,
        discovery=discovery,
        socket_limit=socket_limit,
        memory_limit_bytes=int(memory_limit_mb * BYTES_PER_MB),
        policy_config=policy_config,
        identifiers=identifiers,
        settings=settings,
        cached_endpoints=cached_endpoints,
    )


def _read_document(path: Path) -> dict[str, Any]:
    try:
        document = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        raise ConfigError(
            path, f"{error.strerror}", "set ROUTER_CONFIG to the path of a readable file"
        ) from None
    except msgspec.DecodeError as error:
        raise ConfigError(path, f"not valid JSON ({error})", "rewrite the whole file") from None
    if not isinstance(document, dict):
        raise ConfigError(path, "not a JSON object", "rewrite the whole file")
    return document


@contextlib.contextmanager
def _config_errors(path: Path, setting: str) -> Iterator[None]:
    """Converts errors raised while `setting` is read into a ConfigError that names it."""
    try:
        yield
    except KeyError as error:
        raise ConfigError(path, f"{error} is missing", "add it", setting) from None
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        raise ConfigError(path, f"{error}", "correct it", setting) from None
