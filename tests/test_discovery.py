"""The discovery watch and the endpoint list: no chunking and no malformed line may lose a drain."""

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


def encode_chunked_response(*pieces: bytes) -> bytes:
    return CHUNKED_RESPONSE_HEAD + b"".join(encode_chunk(piece) for piece in pieces if piece)


BODY = (
    update_line(2, build_member("s-1"), complete=True)
    + b"\n"
    + update_line(3, build_member("s-1", "leaving"))
    + b"\r\n"
)


@given(st.lists(st.integers(0, len(BODY)), max_size=8), st.lists(st.integers(0, 2_000), max_size=8))
def test_any_chunking_and_any_split_of_reads_give_the_same_updates(
    chunks: list[int], cuts: list[int]
) -> None:
    bounds = [0, *sorted(chunks), len(BODY)]
    data = encode_chunked_response(*(BODY[a:b] for a, b in zip(bounds, bounds[1:], strict=False)))
    read_bounds = [0, *sorted(min(c, len(data)) for c in cuts), len(data)]
    watch = DiscoveryWatch()
    updates = [
        c for a, b in zip(read_bounds, read_bounds[1:], strict=False) for c in watch.receive(data[a:b])
    ]
    assert [(c.revision, c.is_snapshot, [m.phase for m in c.endpoints]) for c in updates] == [
        (2, True, [Phase.READY]),
        (3, False, [Phase.DRAINING]),
    ]


@pytest.mark.parametrize("data", [
    b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}", b"junk\r\n\r\n",
    encode_chunked_response(b"{]\n"),
    encode_chunked_response(b'{"revision":1.5,"members":[]}\n'), encode_chunked_response(b"[]\n"),
    encode_chunked_response(update_line(1)) + b"0\r\n\r\n",
])  # fmt: skip
def test_a_response_that_is_not_a_watch_is_an_error(data: bytes) -> None:
    with pytest.raises(WatchLostError):
        DiscoveryWatch().receive(data)


def to_phases(listed: dict[str, str]) -> dict[str, Phase]:
    return {replica: PHASES[phase] for replica, phase in listed.items()}


def list_with_two_endpoints() -> EndpointList:
    endpoint_list = EndpointList()
    endpoint_list.apply_update(
        parse_update({"revision": 5, "complete": True, "members": [build_member("s-1"), build_member("s-2")]})
    )
    return endpoint_list


def test_a_malformed_endpoint_is_dropped_alone_and_hides_no_drain() -> None:
    endpoint_list = list_with_two_endpoints()
    changed = endpoint_list.apply_update(
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
    assert changed is not None
    assert [(m.replica, m.phase, m.zone) for m in changed] == [
        ("s-2", Phase.DRAINING, "a"),
        ("s-1", Phase.DRAINING, "a"),
        ("s-4", Phase.READY, "a"),
    ]


def test_a_late_update_from_an_old_watch_undoes_no_drain() -> None:
    endpoint_list = list_with_two_endpoints()
    assert endpoint_list.apply_update(
        EndpointListUpdate(
            7, False, parse_update({"revision": 7, "members": [build_member("s-1", "leaving")]}).endpoints
        )
    )
    assert endpoint_list.apply_update(parse_update({"revision": 6, "members": [build_member("s-1")]})) is None
    assert endpoint_list.endpoints["s-1"].phase is Phase.DRAINING
    assert endpoint_list.revision == 7
    changed = endpoint_list.apply_update(
        parse_update({"revision": 6, "members": [build_member("s-2", "left")]})
    )
    assert changed
    assert changed[0].phase is Phase.GONE
    assert "s-2" not in endpoint_list.endpoints


@given(
    st.lists(st.tuples(st.integers(0, 2), st.booleans()), max_size=12),
    st.integers(0, 12),
    st.integers(0, 12),
    st.lists(st.booleans(), max_size=30),
)
def test_no_order_of_updates_from_two_watches_undoes_a_drain_or_loses_an_endpoint(
    history: list[tuple[int, bool]], first: int, second: int, watches: list[bool]
) -> None:
    """After SIGHUP an old and a new watch each may lag by any time. A drain reported by either of them holds
    until a later revision ends it, and in the end the endpoint list equals that of discovery."""
    states = [{f"s-{n}": "active" for n in range(3)}]
    for n, up in history:
        states.append(states[-1] | {f"s-{n}": "active" if up else "leaving"})

    def snapshot(at: int) -> EndpointListUpdate:
        return parse_update(
            {
                "revision": at + 1,
                "complete": True,
                "members": [build_member(n, phase) for n, phase in states[at].items()],
            }
        )

    def delta(at: int) -> EndpointListUpdate:
        n, up = history[at - 1]
        changed = build_member(f"s-{n}", "active" if up else "leaving")
        return parse_update({"revision": at + 1, "complete": False, "members": [changed]})

    starts = [min(first, len(history)), min(second, len(history))]
    queues = [[snapshot(s), *(delta(at) for at in range(s + 1, len(states)))] for s in starts]
    endpoint_list, newest_revision = EndpointList(), 0
    for watch_index in [*watches, *[False] * 13, *[True] * 13]:
        if queues[watch_index]:
            update = queues[watch_index].pop(0)
            endpoint_list.apply_update(update, 1 + watch_index)
            newest_revision = max(newest_revision, update.revision)
            drained = {n for n, phase in states[newest_revision - 1].items() if phase == "leaving"}
            assert drained <= {n for n, m in endpoint_list.endpoints.items() if m.phase is Phase.DRAINING}
    assert {n: m.phase for n, m in endpoint_list.endpoints.items()} == to_phases(states[-1])
    assert endpoint_list.revision == len(states)


def test_a_drain_counts_whatever_its_revision_on_the_watch_that_last_updated_the_replica() -> None:
    """The drains have a repeated, a skipped and an earlier revision."""
    endpoint_list = EndpointList()
    members = [build_member(f"s-{n}") for n in (1, 2, 3)]
    endpoint_list.apply_update(parse_update({"revision": 5, "complete": True, "members": members}), 1)
    for revision, name in ((5, "s-1"), (9, "s-2"), (2, "s-3")):
        assert endpoint_list.apply_update(
            parse_update({"revision": revision, "members": [build_member(name, "leaving")]}), 1
        )
    assert {m.phase for m in endpoint_list.endpoints.values()} == {Phase.DRAINING}
    assert endpoint_list.revision == 9


def test_a_snapshot_removes_missing_endpoints_and_reports_a_restart() -> None:
    endpoint_list = list_with_two_endpoints()
    changed = endpoint_list.apply_update(
        parse_update({"revision": 1, "complete": True, "members": [build_member("s-2", up_since_ms=99)]})
    )
    assert changed
    assert changed[0].started_us == 99_000
    assert list(endpoint_list.endpoints) == ["s-2"]
    assert endpoint_list.revision == 1
