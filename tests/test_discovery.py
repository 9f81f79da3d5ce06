"""The discovery watch: whatever the chunks and the malformed lines, no drain is lost."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gradehoist.interface import Phase
from gradehoist.node.discovery import (
    PHASES,
    DiscoveryWatch,
    EndpointListUpdate,
    WatchLostError,
    parse_update,
)
from gradehoist.node.endpoint_list import EndpointList
from gradehoist.testbed.platform import build_member
from tests.support.node_harness import CHUNKED_RESPONSE_HEAD, encode_chunk, update_line


def chunked(*pieces: bytes) -> bytes:
    return CHUNKED_RESPONSE_HEAD + b"".join(encode_chunk(piece) for piece in pieces if piece)


BODY = (
    update_line(2, build_member("s-1"), complete=True)
    + b"\n"
    + update_line(3, build_member("s-1", "leaving"))
    + b"\r\n"
)


@given(st.lists(st.integers(0, len(BODY)), max_size=8), st.lists(st.integers(0, 2_000), max_size=8))
def test_any_chunks_and_any_reads_give_the_same_updates(chunks: list[int], cuts: list[int]) -> None:
    at = [0, *sorted(chunks), len(BODY)]
    data = chunked(*(BODY[a:b] for a, b in zip(at, at[1:], strict=False)))
    where = [0, *sorted(min(c, len(data)) for c in cuts), len(data)]
    watch = DiscoveryWatch()
    found = [c for a, b in zip(where, where[1:], strict=False) for c in watch.receive(data[a:b])]
    assert [(c.revision, c.is_snapshot, [m.phase for m in c.endpoints]) for c in found] == [
        (2, True, [Phase.READY]),
        (3, False, [Phase.DRAINING]),
    ]


@pytest.mark.parametrize("data", [
    b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}", b"junk\r\n\r\n",
    chunked(b"{]\n"), chunked(b'{"revision":1.5,"members":[]}\n'), chunked(b"[]\n"),
    chunked(update_line(1)) + b"0\r\n\r\n",
])  # fmt: skip
def test_a_response_that_is_no_watch_ends_it(data: bytes) -> None:
    with pytest.raises(WatchLostError):
        DiscoveryWatch().receive(data)


def phases(listed: dict[str, str]) -> dict[str, Phase]:
    return {replica: PHASES[phase] for replica, phase in listed.items()}


def held() -> EndpointList:
    one = EndpointList()
    one.apply_update(
        parse_update({"revision": 5, "complete": True, "members": [build_member("s-1"), build_member("s-2")]})
    )
    return one


def test_a_malformed_endpoint_is_dropped_alone_and_hides_no_drain() -> None:
    one = held()
    told = one.apply_update(
        parse_update(
            {
                "revision": 6,
                "complete": False,
                "members": [
                    {"phase": "active"},
                    7,
                    build_member("s 3"),
                    build_member("s-2", "leaving", locality=None, size="x", up_since_ms=-1),
                    build_member("s-1", "strange"),
                    build_member("s-4", cell=float(2)),
                    build_member("s-5", locality=9),
                ],
            }
        )
    )
    assert told is not None
    assert [(m.replica, m.phase, m.zone) for m in told] == [
        ("s-2", Phase.DRAINING, "a"),
        ("s-1", Phase.DRAINING, "a"),
        ("s-4", Phase.READY, "a"),
    ]


def test_a_late_update_over_an_old_watch_undoes_nothing() -> None:
    one = held()
    assert one.apply_update(
        EndpointListUpdate(
            7, False, parse_update({"revision": 7, "members": [build_member("s-1", "leaving")]}).endpoints
        )
    )
    assert one.apply_update(parse_update({"revision": 6, "members": [build_member("s-1")]})) is None
    assert one.endpoints["s-1"].phase is Phase.DRAINING
    assert one.revision == 7
    told = one.apply_update(parse_update({"revision": 6, "members": [build_member("s-2", "left")]}))
    assert told
    assert told[0].phase is Phase.GONE
    assert "s-2" not in one.endpoints


@given(
    st.lists(st.tuples(st.integers(0, 2), st.booleans()), max_size=12),
    st.integers(0, 12),
    st.integers(0, 12),
    st.lists(st.booleans(), max_size=30),
)
def test_no_order_of_updates_from_two_watches_undoes_a_drain_or_loses_an_endpoint(
    history: list[tuple[int, bool]], first: int, second: int, turns: list[bool]
) -> None:
    """An old watch and a new one after SIGHUP, each behind as it likes: what one has told of a drain stands,
    until a later revision says otherwise, and in the end all is as the list is."""
    states = [{f"s-{n}": "active" for n in range(3)}]
    for n, up in history:
        states.append(states[-1] | {f"s-{n}": "active" if up else "leaving"})

    def whole(at: int) -> EndpointListUpdate:
        return parse_update(
            {
                "revision": at + 1,
                "complete": True,
                "members": [build_member(n, phase) for n, phase in states[at].items()],
            }
        )

    def later(at: int) -> EndpointListUpdate:
        n, up = history[at - 1]
        told = build_member(f"s-{n}", "active" if up else "leaving")
        return parse_update({"revision": at + 1, "complete": False, "members": [told]})

    starts = [min(first, len(history)), min(second, len(history))]
    queues = [[whole(s), *(later(at) for at in range(s + 1, len(states)))] for s in starts]
    one, known = EndpointList(), 0
    for turn in [*turns, *[False] * 13, *[True] * 13]:
        if queues[turn]:
            change = queues[turn].pop(0)
            one.apply_update(change, 1 + turn)
            known = max(known, change.revision)
            drained = {n for n, phase in states[known - 1].items() if phase == "leaving"}
            assert drained <= {n for n, m in one.endpoints.items() if m.phase is Phase.DRAINING}
    assert {n: m.phase for n, m in one.endpoints.items()} == phases(states[-1])
    assert one.revision == len(states)


def test_a_drain_counts_whatever_its_revision_on_the_watch_that_last_updated_the_replica() -> None:
    """Repeated, skipped and back."""
    one = EndpointList()
    members = [build_member(f"s-{n}") for n in (1, 2, 3)]
    one.apply_update(parse_update({"revision": 5, "complete": True, "members": members}), 1)
    for revision, name in ((5, "s-1"), (9, "s-2"), (2, "s-3")):
        assert one.apply_update(
            parse_update({"revision": revision, "members": [build_member(name, "leaving")]}), 1
        )
    assert {m.phase for m in one.endpoints.values()} == {Phase.DRAINING}
    assert one.revision == 9


def test_a_snapshot_removes_what_it_lacks_and_shows_a_restart() -> None:
    one = held()
    told = one.apply_update(
        parse_update({"revision": 1, "complete": True, "members": [build_member("s-2", up_since_ms=99)]})
    )
    assert told
    assert told[0].started_us == 99_000
    assert list(one.endpoints) == ["s-2"]
    assert one.revision == 1
