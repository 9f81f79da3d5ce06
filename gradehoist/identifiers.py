"""Interning: what files and wires call a replica, zone, kind, class or proxy becomes a small index."""

from __future__ import annotations

from collections.abc import Iterable, Iterator


class Interner:
    """Gives each new name the next index, from 0. Names are never removed."""

    def __init__(self, names: Iterable[str] = ()) -> None:
        """Interns `names` in their order."""
        self.names: list[str] = []  # by index
        self._indices: dict[str, int] = {}
        for name in names:
            self.intern(name)

    def __len__(self) -> int:
        """The number of names."""
        return len(self.names)

    def __iter__(self) -> Iterator[str]:
        """The names by index."""
        return iter(self.names)

    def __contains__(self, name: str) -> bool:
        """Whether a name has an index."""
        return name in self._indices

    def __getitem__(self, name: str) -> int:
        """The index of a name.

        Raises:
            KeyError: The name has none.
        """
        return self._indices[name]

    def get(self, name: str, default: int) -> int:
        """The index of a name, or `default` where it has none."""
        return self._indices.get(name, default)

    def intern(self, name: str) -> int:
        """The index of a name; a new name gets the next one."""
        index = self._indices.get(name)
        if index is None:
            index = len(self.names)
            self._indices[name] = index
            self.names.append(name)
        return index


class Identifiers:
    """The names that one policy instance, node or governor knows."""

    def __init__(self, zones: Iterable[str], kinds: Iterable[str], classes: Iterable[str]) -> None:
        """Interns the names that the settings give; replicas and proxies come later."""
        self.zones = Interner(zones)
        self.kinds = Interner(kinds)
        self.classes = Interner(classes)
        self.replicas = Interner()
        self.proxies = Interner()
