"""Simulates participants and their coordination store with a virtual clock and seeded faults."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

from gradehoist.coordination.election import LeaderElection
from gradehoist.coordination.fencing import Fence, FencingToken
from gradehoist.coordination.notifications import CommitOutcome, CommitSettled, Notification
from gradehoist.coordination.participant import Participant
from gradehoist.coordination.records import ProcessIdentity
from gradehoist.coordination.requests import (
    Operation,
    Response,
    StoreRequest,
    WatchChanges,
    failure_without_response,
)
from gradehoist.coordination.store import CoordinationError, StoreUnavailableError, WatchBatch
from gradehoist.history.recorder import HistoryRecorder
from gradehoist.history.records import Effect, HistoryEntry
from gradehoist.testbed.etcd_keyspace import Keyspace
from tests.support.simulated_store import SECOND_US, STORE_ID, Faults, Guard, SimulatedStore

SESSION_TTL_US = 6 * SECOND_US
RESOURCE = "job"
COUNTER_KEY = "counter"
MIN_STEP_INTERVAL_US = 1_000
MAX_STEP_INTERVAL_US = SECOND_US // 4

NotificationType = TypeVar("NotificationType")


@dataclass
class SimulatedProcess:
    """A process that takes part in the fleet, is a candidate in an election, and may be paused at any time.

    Attributes:
        participant: The participant of the process.
        election: Its candidacy in the election.
        recorder: Records its calls in the history.
        notifications: All notifications that it has received.
        is_paused: Whether the process is paused.
        deferred: What reached the process while it was paused.
        increment_id: Id of the commit by which it increments the counter; empty if none is pending.
    """

    participant: Participant
    election: LeaderElection
    recorder: HistoryRecorder
    notifications: list[Notification] = field(default_factory=list)
    is_paused: bool = False
    deferred: list[Callable[[], None]] = field(default_factory=list)
    increment_id: str = ""

    @property
    def token(self) -> FencingToken | None:
        """The process' fencing token if it considers itself the leader, else None."""
        return self.election.fencing_token

    def notifications_of(self, kind: type[NotificationType]) -> list[NotificationType]:
        """Returns the notifications of one type."""
        return [notification for notification in self.notifications if isinstance(notification, kind)]

    def outcomes_of(self, commit_id: str) -> list[CommitOutcome]:
        """Returns the outcome of each notification about a commit."""
        return [
            settled.outcome
            for settled in self.notifications_of(CommitSettled)
            if settled.commit_id == commit_id
        ]


@dataclass
class _Exchange:
    """A request of a process to the store. Only the first result is delivered."""

    process: SimulatedProcess
    request: StoreRequest
    is_completed: bool = False


class StoreSimulation:
    """Simulates processes and their store.

    A test disables a guard to make sure that a checker detects what the guard prevents.

    Attributes:
        now_us: The virtual time.
        random: The generator of all random choices.
        store: The simulated store.
        entries: The history of all processes and of the receiver of effects.
        fence: The fence of the receiver of effects.
        request_counts: Number of requests that were sent, by type of operation.
        processes: The processes that exist from the start.
    """

    def __init__(self, seed: int, process_count: int = 3, disabled_guard: Guard | None = None) -> None:
        self.now_us = 0
        self.random = random.Random(seed)
        self.store = SimulatedStore(self.random, lambda retry: self.schedule(1, retry), disabled_guard)
        self.entries: list[HistoryEntry] = []
        self.fence = Fence()
        self.request_counts: Counter[type[Operation]] = Counter()
        self._disabled_guard = disabled_guard
        self._actions: list[tuple[int, int, Callable[[], None]]] = []
        self._scheduled_count = 0
        self._item_count = 0
        self.processes = [
            self.start_process(f"p{number}", seed * 100 + number) for number in range(process_count)
        ]

    @property
    def faults(self) -> Faults:
        return self.store.faults

    @faults.setter
    def faults(self, faults: Faults) -> None:
        self.store.faults = faults

    @property
    def keyspace(self) -> Keyspace:
        return self.store.keyspace

    @property
    def leaders(self) -> list[SimulatedProcess]:
        """The processes that consider themselves the leader and have joined."""
        return [
            process
            for process in self.processes
            if process.token is not None and process.participant.is_joined
        ]

    # Virtual time

    def schedule(self, delay_us: int, action: Callable[[], None]) -> None:
        self._scheduled_count += 1
        heapq.heappush(self._actions, (self.now_us + delay_us, self._scheduled_count, action))

    def run_for(self, seconds: float) -> None:
        end_us = self.now_us + int(seconds * SECOND_US)
        while self._actions and self._actions[0][0] <= end_us:
            self.now_us, _, action = heapq.heappop(self._actions)
            self.store.expire_sessions(self.now_us)
            action()
        self.now_us = end_us
        self.store.expire_sessions(self.now_us)

    # Processes

    def start_process(self, name: str, seed: int, incarnation: str = "") -> SimulatedProcess:
        identity = ProcessIdentity(
            role="actor",
            name=name,
            zone="x",
            incarnation=incarnation or f"{name}-run",
            address=f"127.0.0.1:{7000 + seed % 1000}",
        )
        process = SimulatedProcess(
            participant=Participant(identity, SESSION_TTL_US, seed),
            election=LeaderElection(RESOURCE, takeover_delay_us=SECOND_US, rank=self.random.random()),
            recorder=HistoryRecorder(self.entries.append, identity.incarnation, lambda: self.now_us),
        )
        self.schedule(self.random.randrange(SECOND_US // 10), lambda: self.step(process))
        return process

    def step(self, process: SimulatedProcess) -> None:
        """Runs one step of a process, and schedules the next one for when a request is due."""
        if process.is_paused:
            process.deferred.append(lambda: self.step(process))
            return
        participant = process.participant
        for request in participant.take_due_requests(self.now_us):
            self.send(process, request)
        for notification in participant.take_notifications():
            self._notify(process, notification)
        process.election.advance(self.now_us, participant)
        wait_us = participant.next_request_at_us(self.now_us) - self.now_us
        self.schedule(
            max(MIN_STEP_INTERVAL_US, min(MAX_STEP_INTERVAL_US, wait_us)), lambda: self.step(process)
        )

    def pause(self, process: SimulatedProcess) -> None:
        """Suspends a process as SIGSTOP does."""
        process.is_paused = True

    def resume(self, process: SimulatedProcess) -> None:
        """Resumes a paused process, which then handles everything that reached it while it was paused."""
        process.is_paused = False
        deferred = process.deferred
        process.deferred = []
        for action in deferred:
            self.schedule(0, action)

    def act_as_leader(self, process: SimulatedProcess, duration_us: int = 0) -> None:
        """Starts a step of a leader: it reads its token now, and its effect arrives `duration_us` later."""
        token = process.token
        if process.is_paused or token is None or not process.participant.is_joined:
            return
        self._item_count += 1
        item = f"{process.participant.identity.incarnation}:{self._item_count}"
        delay_us = duration_us + self.random.randrange(1, self.faults.max_delay_us + 1)
        self.schedule(delay_us, lambda: self._receive_effect(process, token, item))

    def increment_counter(self, process: SimulatedProcess) -> None:
        """Proposes to increment a counter that all processes write."""
        participant = process.participant
        if not participant.cache.is_loaded or process.increment_id or process.is_paused:
            return
        count = participant.decode_record(COUNTER_KEY, int) or 0
        process.increment_id = participant.propose(participant.build_put(COUNTER_KEY, count + 1))

    def restore_snapshot(self, snapshot: Keyspace) -> None:
        """Rolls the store back to an older snapshot."""
        self.store.restore(self.now_us, snapshot)

    def _notify(self, process: SimulatedProcess, notification: Notification) -> None:
        process.notifications.append(notification)
        if isinstance(notification, CommitSettled):
            process.election.on_commit_settled(notification.commit_id, notification.outcome)
            if notification.commit_id == process.increment_id:
                process.increment_id = ""

    def _receive_effect(self, process: SimulatedProcess, token: FencingToken, item: str) -> None:
        if process.is_paused:
            process.deferred.append(lambda: self._receive_effect(process, token, item))
            return
        decision = self.fence.present(RESOURCE, token)
        if decision.rejected_by is not None and not self._accepts_rejected_effect(process):
            process.election.on_token_rejected(process.participant, decision.rejected_by)
            return
        self.fence = decision.fence
        self.entries.append(
            Effect(
                time_us=self.now_us,
                process="ledger",
                resource=RESOURCE,
                generation=token.generation,
                holder=token.holder,
                item=item,
            )
        )

    def _accepts_rejected_effect(self, process: SimulatedProcess) -> bool:
        if self._disabled_guard is Guard.TOKEN_AT_EFFECT:
            return True
        # Without this guard, a receiver that relies on sessions accepts every process that has one.
        return self._disabled_guard is Guard.SESSIONS_STAY_ENDED and process.participant.session_id != ""

    # Requests and responses

    def send(self, process: SimulatedProcess, request: StoreRequest) -> None:
        """Sends a request to the store. Either its result is delivered once, or the request times out."""
        self.request_counts[type(request.operation)] += 1
        process.recorder.record_invocation(request)
        request_delay_us = self._delay_us()
        response_delay_us = self._delay_us()
        is_request_lost = self.random.random() < self.faults.lost_requests
        is_response_lost = self.random.random() < self.faults.lost_responses
        epoch = self.store.connection_epoch
        exchange = _Exchange(process, request)

        def is_disconnected() -> bool:
            return self.faults.is_unreachable or epoch != self.store.connection_epoch

        def time_out() -> None:
            self._deliver(exchange, failure_without_response(request.operation, "request timed out"))

        def arrive() -> None:
            if is_disconnected():
                error = StoreUnavailableError("store is unreachable")
                self.schedule(response_delay_us, lambda: self._deliver(exchange, error))
                return
            result = self.store.perform(self.now_us, request.operation, arrive)
            if result is not None and not is_response_lost:
                self.schedule(response_delay_us, lambda: self._deliver(exchange, result))

        self.schedule(request.timeout_us, time_out)
        if is_request_lost:
            return
        self.schedule(request_delay_us, arrive)
        if isinstance(request.operation, WatchChanges):
            watch = request.operation

            def end_wait() -> None:
                if not is_disconnected() and not is_response_lost:
                    self._deliver(exchange, no_changes(watch))

            self.schedule(watch.wait_us, end_wait)

    def _delay_us(self) -> int:
        return self.random.randrange(1, self.faults.max_delay_us + 1)

    def _deliver(self, exchange: _Exchange, result: Response | CoordinationError) -> None:
        process = exchange.process
        if process.is_paused:
            process.deferred.append(lambda: self._deliver(exchange, result))
            return
        if exchange.is_completed:
            return
        exchange.is_completed = True
        process.recorder.record_completion(exchange.request, result)
        request_id = exchange.request.request_id
        if isinstance(result, CoordinationError):
            process.participant.handle_failure(self.now_us, request_id, result)
        else:
            process.participant.handle_response(self.now_us, request_id, result)


def no_changes(watch: WatchChanges) -> WatchBatch:
    """Returns the response to a watch that timed out without changes."""
    after_revision = watch.after_revision
    return WatchBatch(store_id=STORE_ID, after_revision=after_revision, revision=after_revision, events=())
