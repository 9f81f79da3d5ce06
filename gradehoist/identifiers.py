"""Interning of names: replicas, zones, kinds, classes and proxies are represented by small indices."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator


class Interner:
    """Assigns each new name the next index, from 0.

    A name keeps its index until it is released and, with `capacity` names known, another one takes its place.
    """

    def __init__(self, names: Iterable[str] = (), capacity: int = sys.maxsize) -> None:
        """Intern `names` in the given order."""
        self.names: list[str] = []  # by index
        self._indices: dict[str, int] = {}
        self._capacity = capacity
        self._released: dict[str, None] = {}  # the longest released first
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
        """Return the index of a name; a new name gets the next index, or that of a released name."""
        self._released.pop(name, None)
        index = self._indices.get(name)
        if index is not None:
            return index
        if self._released and len(self.names) >= self._capacity:
            return self._replace_released(name)
        self._indices[name] = len(self.names)
        self.names.append(name)
        return len(self.names) - 1

    def release(self, name: str) -> None:
        """Allow another name to take this one's index. Without this, ever new names would fill the memory."""
        if name in self._indices:
            self._released[name] = None

    def _replace_released(self, name: str) -> int:
        oldest = next(iter(self._released))
        del self._released[oldest]
        index = self._indices.pop(oldest)
        self._indices[name] = index
        self.names[index] = name
        return index


class Identifiers:
    """The interned names of one policy instance, node or governor."""

    def __init__(
        self,
        zones: Iterable[str],
        kinds: Iterable[str],
        classes: Iterable[str],
        max_proxies: int = sys.maxsize,
    ) -> None:
        """Intern the names in the settings; replicas and proxies are interned as they appear.

        With `max_proxies` known, a new proxy takes the index of one that was released.
        """
        self.zones = Interner(zones)
        self.kinds = Interner(kinds)
        self.classes = Interner(classes)
        self.replicas = Interner()
        self.proxies = Interner(capacity=max_proxies)
