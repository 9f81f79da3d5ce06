"""The platform's configuration file: read and checked completely, returned as a frozen record.

The settings object inside it belongs to `gradehoist.settings.platform`.
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
MIN_SOCKET_LIMIT = 64  # below this too few are left for proxies beside the node's own descriptors
EMPTY_ENDPOINT_LIST = {"revision": 0, "complete": True, "members": []}


class ConfigError(NodeError):
    """The configuration can't be used. The message is one line: file, setting, problem, remedy."""

    def __init__(self, path: Path, problem: str, remedy: str, setting: str = "") -> None:
        """Names the setting at fault; empty where it is the whole file."""
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
        """The form IPV4:PORT."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """The checked configuration of one node."""

    listen: Address
    discovery: Address
    socket_limit: int  # descriptors that the process may hold
    policy_config: PolicyConfig
    identifiers: Identifiers
    settings: dict[str, Any]  # as written, to see whether a reload changes them
    cached_endpoints: EndpointListUpdate  # the endpoint list as this node last had it


def parse_address(text: object) -> Address:
    """Parses IPV4:PORT.

    Host names are rejected: resolving one would block the event loop, and the platform has none.

    Raises:
        ValueError: The text is not such an address.
    """
    host, _, port = str(text).rpartition(":")
    try:
        if not port.isdecimal() or not 0 < int(port) < 65_536:
            raise ValueError
        return Address(str(ipaddress.IPv4Address(host)), int(port))
    except ValueError:
        raise ValueError(f"{str(text)[:60]!r} is no address; write it as IPV4:PORT") from None


def seed_from_text(text: object) -> int:
    """Maps any seed, hexadecimal or not, to the number that the policy needs."""
    return zlib.crc32(str(text).encode())


def load_config(path: Path) -> NodeConfig:
    """Reads and checks the configuration file.

    Raises:
        ConfigError: The file can't be read, is not JSON, or a setting is missing or invalid.
    """
    document = _read_document(path)
    with _checked(path, "listen"):
        listen = parse_address(document["listen"])
    with _checked(path, "discovery"):
        discovery = parse_address(document["discovery"])
    with _checked(path, "limits.sockets"):
        socket_limit = int(document.get("limits", {}).get("sockets", DEFAULT_SOCKET_LIMIT))
        if socket_limit < MIN_SOCKET_LIMIT:
            raise ValueError(f"{socket_limit} are too few; allow {MIN_SOCKET_LIMIT} at least")
    with _checked(path, "settings"):
        settings = document["settings"]
        identifiers = platform.parse_identifiers(settings)
        seed = seed_from_text(document.get("seed", ""))
        policy_config = platform.parse_config(settings, identifiers, seed)
    with _checked(path, "known"):
        cached_endpoints = parse_update(document.get("known", EMPTY_ENDPOINT_LIST))
    return NodeConfig(
        listen=listen,
        discovery=discovery,
        socket_limit=socket_limit,
        policy_config=policy_config,
        identifiers=identifiers,
        settings=settings,
        cached_endpoints=cached_endpoints,
    )


def _read_document(path: Path) -> dict[str, Any]:
    try:
        document = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        raise ConfigError(path, f"{error.strerror}", "name a readable file in ROUTER_CONFIG") from None
    except msgspec.DecodeError as error:
        raise ConfigError(path, f"no JSON ({error})", "write the whole file anew") from None
    if not isinstance(document, dict):
        raise ConfigError(path, "no JSON object", "write the whole file anew")
    return document


@contextlib.contextmanager
def _checked(path: Path, setting: str) -> Iterator[None]:
    """Turns what reading `setting` raises into a ConfigError that names it."""
    try:
        yield
    except KeyError as error:
        raise ConfigError(path, f"{error} is missing", "add it", setting) from None
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        raise ConfigError(path, f"{error}", "correct it", setting) from None
