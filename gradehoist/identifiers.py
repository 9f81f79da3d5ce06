"""Interning of names: replicas, zones, kinds, classes and proxies are represented by small indices."""

from __future__ import annotations

from collections.abc import Iterable, Iterator


class Interner:
    """Assigns each new name the next index, from 0. Names are never removed."""

    def __init__(self, names: Iterable[str] = ()) -> None:
        """Intern `names` in the given order."""
        self.names: list[str] = []  # by index
        self._indices: dict[str, int] = {}
        for name in names:
            self.intern(name)

    def __len__(self) -> int:
        """Return the number of names."""
        return len(self.names)

    def __iter__(self) -> Iterator[str]:
        """Return an iterator over the names, ordered by index."""
        return iter(self.names)

    def __contains__(self, name: str) -> bool:
        """Return whether a name has an index."""
        return name in self._indices

    def __getitem__(self, name: str) -> int:
        """Return the index of a name.

        Raises:
            KeyError: The name has no index.
        """
        return self._indices[name]

    def get(self, name: str, default: int) -> int:
        """Return the index of a name, or `default` if it has none."""
        return self._indices.get(name, default)

    def intern(self, name: str) -> int:
        """Return the index of a name; a new name gets the next index."""
        index = self._indices.get(name)
        if index is None:
            index = len(self.names)
            self._indices[name] = index
            self.names.append(name)
        return index


class Identifiers:
    """The interned names of one policy instance, node or governor."""

    def __init__(self, zones: Iterable[str], kinds: Iterable[str], classes: Iterable[str]) -> None:
        """Intern the names in the settings; replicas and proxies are interned as they appear."""
        self.zones = Interner(zones)
        self.kinds = Interner(kinds)
        self.classes = Interner(classes)
        self.replicas = Interner()
        self.proxies = Interner()
