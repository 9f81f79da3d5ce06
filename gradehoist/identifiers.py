"""Names at the door: what files and wires call a replica, zone, kind, class or proxy, by small index."""

from __future__ import annotations

from collections.abc import Iterable, Iterator


class Interner:
    """Gives each new name the next number, from 0."""

    def __init__(self, names: Iterable[str] = ()) -> None:
        self.names: list[str] = []
        self._numbers: dict[str, int] = {}
        for name in names:
            self.intern(name)

    def __len__(self) -> int:
        return len(self.names)

    def __iter__(self) -> Iterator[str]:
        return iter(self.names)

    def __contains__(self, name: str) -> bool:
        return name in self._numbers

    def __getitem__(self, name: str) -> int:
        """Raises KeyError for a name not seen before."""
        return self._numbers[name]

    def get(self, name: str, default: int) -> int:
        return self._numbers.get(name, default)

    def intern(self, name: str) -> int:
        found = self._numbers.get(name)
        if found is None:
            found = self._numbers[name] = len(self.names)
            self.names.append(name)
        return found


class Identifiers:
    """One instance's names."""

    def __init__(self, zones: Iterable[str], kinds: Iterable[str], classes: Iterable[str]) -> None:
        self.zones, self.kinds, self.classes = Interner(zones), Interner(kinds), Interner(classes)
        self.replicas, self.proxies = Interner(), Interner()
