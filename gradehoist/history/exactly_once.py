"""What takers of effects did: generations only grow, each item once, one key's items in their order."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from gradehoist.history.records import Effect, Line


class Breach(NamedTuple):
    """`stretch` is the shortest run of lines that shows it."""

    what: str
    stretch: tuple[Effect, ...]

    def __str__(self) -> str:
        return "\n".join(
            [
                self.what,
                *(
                    f"  {e.t / 1e6:.6f} s {e.by}: {e.name} generation {e.gen} of {e.holder}: {e.item}"
                    for e in self.stretch
                ),
            ]
        )


def generations(lines: Iterable[Line]) -> list[Breach]:
    """At one taker a right's generations only grow, and each has one holder."""
    last = dict[tuple[str, str], Effect]()
    out = []
    for e in lines:
        if not isinstance(e, Effect):
            continue
        known = last.get((e.by, e.name))
        if known is not None and e.gen < known.gen:
            out.append(Breach(f"{e.name}: generation {e.gen} took effect after {known.gen}", (known, e)))
        elif known is not None and e.gen == known.gen and e.holder != known.holder:
            out.append(Breach(f"{e.name}: generation {e.gen} took effect for two holders", (known, e)))
        last[e.by, e.name] = e
    return out


def once(lines: Iterable[Line]) -> list[Breach]:
    """No item took effect twice, at whichever takers."""
    first = dict[str, Effect]()
    out = []
    for e in lines:
        if isinstance(e, Effect):
            if e.item in first:
                out.append(Breach(f"{e.item} took effect twice", (first[e.item], e)))
            first.setdefault(e.item, e)
    return out
