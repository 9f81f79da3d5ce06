"""Tests of single calls of a participant, of the watch cache and of fences."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import pytest

from gradehoist.coordination.fencing import Fence, FencingToken
from gradehoist.coordination.notifications import (
    CommitOutcome,
    CommitSettled,
    ProcessFenced,
    RecordsChanged,
)
from gradehoist.coordination.participant import Participant
from gradehoist.coordination.records import MemberRecord, OwnershipRecord, ProcessIdentity
from gradehoist.coordination.requests import (
    CommitChanges,
    OpenSession,
    Operation,
    ReadRecords,
    StoreRequest,
    WatchChanges,
)
from gradehoist.coordination.store import (
    CommitRejected,
    Committed,
    HistoryCompactedError,
    OutcomeUnknownError,
    Put,
    Record,
    RecordTooLargeError,
    StoreSnapshot,
    WatchBatch,
    WatchEvent,
)
from gradehoist.coordination.watch_cache import (
    RevisionGapError,
    StaleReadError,
    StoreRolledBackError,
    WatchCache,
    WatchCacheError,
)
from tests.support.simulated_store import SECOND_US
from tests.support.store_simulation import SESSION_TTL_US


def new_participant() -> Participant:
    identity = ProcessIdentity(role="a", name="b", zone="x", incarnation="run")
    return Participant(identity, SESSION_TTL_US, seed=1)


def request_for(requests: Iterable[StoreRequest], kind: type[Operation]) -> StoreRequest:
    (request,) = [request for request in requests if isinstance(request.operation, kind)]
    return request


def joined_participant() -> tuple[Participant, StoreRequest]:
    """Returns a participant that has joined at revision 5, and its watch in flight."""
    participant = new_participant()
    read = request_for(participant.take_due_requests(0), ReadRecords)
    participant.handle_response(1, read.request_id, snapshot(4))
    requests = participant.take_due_requests(SECOND_US)
    watch = request_for(requests, WatchChanges)
    open_session = request_for(requests, OpenSession)
    participant.handle_response(SECOND_US, open_session.request_id, "s")
    join = request_for(participant.take_due_requests(SECOND_US), CommitChanges)
    participant.handle_response(SECOND_US, join.request_id, Committed(5))
    return participant, watch


def record(key: str, version: int, value: bytes = b"1") -> Record:
    return Record(key=key, value=value, version=version, commit_id=f"t{version}")


def written(record: Record) -> WatchEvent:
    return WatchEvent(key=record.key, revision=record.version, record=record)


def deleted(key: str, revision: int) -> WatchEvent:
    return WatchEvent(key=key, revision=revision, record=None)


def snapshot(revision: int, *records: Record) -> StoreSnapshot:
    return StoreSnapshot(store_id="one", revision=revision, records=records)


def batch(after_revision: int, revision: int, *events: WatchEvent, store_id: str = "one") -> WatchBatch:
    return WatchBatch(store_id=store_id, after_revision=after_revision, revision=revision, events=events)


@pytest.mark.parametrize("outcome", [CommitOutcome.COMMITTED, CommitOutcome.REJECTED, CommitOutcome.UNKNOWN])
def test_outcome_of_an_overwritten_commit_is_taken_from_the_watch_or_unknown(
    outcome: CommitOutcome,
) -> None:
    participant, watch = joined_participant()
    commit_id = participant.propose(Put("k", b"mine", 0))
    other = Record(key="k", value=b"other", version=7, commit_id="other:1")
    first_attempt = request_for(participant.take_due_requests(100 * SECOND_US), CommitChanges)
    participant.handle_failure(
        100 * SECOND_US, first_attempt.request_id, OutcomeUnknownError("response lost")
    )
    now_us = 200 * SECOND_US
    second_attempt = request_for(participant.take_due_requests(now_us), CommitChanges)
    participant.handle_response(now_us, second_attempt.request_id, CommitRejected(7, (other,)))
    # Before the watch has delivered its changes, the outcome is open.
    notifications = participant.take_notifications()
    assert not [n for n in notifications if isinstance(n, CommitSettled)]

    if outcome is CommitOutcome.UNKNOWN:
        participant.handle_failure(now_us, watch.request_id, HistoryCompactedError("history is compacted"))
        read = request_for(participant.take_due_requests(300 * SECOND_US), ReadRecords)
        participant.handle_response(300 * SECOND_US, read.request_id, snapshot(7, other))
    else:
        own = Record(key="k", value=b"mine", version=6, commit_id=commit_id)
        own_events = (written(own),) if outcome is CommitOutcome.COMMITTED else ()
        events = (*own_events, written(other))
        participant.handle_response(now_us, watch.request_id, batch(4, 7, *events))
    participant.take_due_requests(400 * SECOND_US)

    notifications = participant.take_notifications()
    (settled,) = [n for n in notifications if isinstance(n, CommitSettled)]
    assert settled.commit_id == commit_id
    assert settled.outcome is outcome


def test_all_records_are_reported_as_changed_after_a_rollback() -> None:
    """The deletion of records that an older store lacks was not reported, so members were never removed."""
    participant, watch = joined_participant()
    member = written(Record(key="members/a/c", value=b"", version=6))
    participant.handle_response(SECOND_US, watch.request_id, batch(4, 6, member))
    participant.take_notifications()
    watch = request_for(participant.take_due_requests(2 * SECOND_US), WatchChanges)

    participant.handle_response(2 * SECOND_US, watch.request_id, batch(6, 7, store_id="two"))

    rolled_back, changed = participant.take_notifications()
    assert isinstance(rolled_back, ProcessFenced)
    assert changed == RecordsChanged(("members/a/c",))
    assert participant.decode_record("members/a/c", MemberRecord) is None


@pytest.mark.parametrize(
    ("change", "message"),
    [
        pytest.param(Put("k" * 257, b"", 0), "256 at most", id="key"),
        pytest.param(Put("k", b"x" * 262_145, 0), "262144 at most", id="value"),
    ],
)
def test_too_large_changes_are_rejected_before_they_are_sent(change: Put, message: str) -> None:
    with pytest.raises(RecordTooLargeError, match=message):
        new_participant().propose(change)


def test_records_keep_their_encoded_names() -> None:
    member = MemberRecord(role="g", name="m", zone="x", incarnation="run", generation=3, address="h:1")
    owner = OwnershipRecord(generation=3, holder="run", member_key="members/g/m")

    assert msgspec.json.encode(member) == (
        b'{"role":"g","name":"m","zone":"x","run":"run","gen":3,"address":"h:1"}'
    )
    assert msgspec.json.encode(owner) == b'{"gen":3,"holder":"run","by":"members/g/m"}'


class TestWatchCache:
    @pytest.fixture
    def cache(self) -> WatchCache:
        """Returns a cache of two records, of which a watch then changed one and deleted the other."""
        cache = WatchCache("")
        cache.load_snapshot(snapshot(5, record("a", 3), record("b", 5)))
        cache.apply_batch(self.changes)
        return cache

    changes = batch(5, 7, written(record("a", 6)), deleted("b", 7))

    def test_applies_each_change_once(self) -> None:
        cache = WatchCache("")
        cache.load_snapshot(snapshot(5, record("a", 3), record("b", 5)))

        assert cache.apply_batch(self.changes) == list(self.changes.events)
        assert cache.apply_batch(self.changes) == []
        assert cache.records == {"a": record("a", 6)}
        assert cache.verification_revision == 6

    def test_rejects_a_batch_after_missing_changes(self, cache: WatchCache) -> None:
        with pytest.raises(RevisionGapError):
            cache.apply_batch(batch(9, 10))

    def test_rejects_stale_responses(self, cache: WatchCache) -> None:
        with pytest.raises(StaleReadError):
            cache.apply_batch(batch(7, 3))
        with pytest.raises(StaleReadError):
            cache.load_snapshot(snapshot(6, record("a", 6)))

    def test_rejects_another_store(self, cache: WatchCache) -> None:
        with pytest.raises(StoreRolledBackError, match="store id is two, and was one"):
            cache.apply_batch(batch(7, 8, store_id="two"))

    def test_rejects_a_contradicting_history(self, cache: WatchCache) -> None:
        other_history = batch(6, 9, written(record("c", 7)))
        with pytest.raises(StoreRolledBackError, match="revision 7 now changes c, and changed b before"):
            cache.apply_batch(other_history)
        with pytest.raises(StoreRolledBackError, match="a at version 6 does not match the known record at 6"):
            cache.load_snapshot(snapshot(9, record("a", 6, b"other")))

    def test_applies_valid_batches_after_errors(self, cache: WatchCache) -> None:
        for invalid_batch in (
            batch(9, 10),
            batch(7, 3),
            batch(7, 8, store_id="two"),
            batch(6, 9, written(record("c", 7))),
        ):
            with pytest.raises(WatchCacheError):
                cache.apply_batch(invalid_batch)
        for invalid_snapshot in (
            snapshot(6, record("a", 6)),
            snapshot(9, record("a", 6, b"other")),
        ):
            with pytest.raises(WatchCacheError):
                cache.load_snapshot(invalid_snapshot)

        repeated_and_new = (deleted("b", 7), written(record("d", 9)))
        assert cache.apply_batch(batch(6, 9, *repeated_and_new)) == [written(record("d", 9))]


class TestFence:
    known = FencingToken(3, "a")

    def test_admits_the_first_of_two_holders_of_the_same_generation(self) -> None:
        decision = Fence().present("x", self.known)
        assert decision.is_admitted
        fence = decision.fence

        assert fence.present("x", self.known).rejected_by is None
        assert fence.present("x", FencingToken(3, "b")).rejected_by == self.known
        assert fence.present("x", FencingToken(2, "a")).rejected_by == self.known

    def test_admits_higher_generations_and_rejects_lower_ones(self) -> None:
        fence = Fence().present("x", self.known).fence
        decision = fence.present("x", FencingToken(4, "b"))
        assert decision.is_admitted
        assert decision.fence.present("x", FencingToken(3, "a")).rejected_by == FencingToken(4, "b")

    def test_keeps_a_token_for_each_resource(self) -> None:
        fence = Fence().present("x", self.known).fence
        assert fence.present("y", FencingToken(1, "a")).is_admitted
