"""Participants over a simulated store under a virtual clock, with faults that follow from a seed."""

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
SHORTEST_STEP_US = 1_000
LONGEST_STEP_US = SECOND_US // 4

NotificationType = TypeVar("NotificationType")


@dataclass
class SimulatedProcess:
    """A process that takes part, stands for election, and may be paused at any moment."""

    participant: Participant
    election: LeaderElection
    recorder: HistoryRecorder
    notifications: list[Notification] = field(default_factory=list)
    is_paused: bool = False
    delayed: list[Callable[[], None]] = field(default_factory=list)
    increment_id: str = ""  # id of its increment in flight

    @property
    def token(self) -> FencingToken | None:
        """What it leads under, if it believes that it leads."""
        return self.election.fencing_token

    def notified(self, kind: type[NotificationType]) -> list[NotificationType]:
        """Its notifications of one type."""
        return [one for one in self.notifications if isinstance(one, kind)]

    def outcomes_of(self, commit_id: str) -> list[CommitOutcome]:
        """How a commit was reported to end, once for each report."""
        return [one.outcome for one in self.notified(CommitSettled) if one.commit_id == commit_id]


@dataclass
class _Exchange:
    """A request on its way; the first result counts."""

    process: SimulatedProcess
    request: StoreRequest
    is_over: bool = False


class StoreSimulation:
    """Plays processes and their store; `disabled_guard` is left out, to see that a checker catches it."""

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
        """Processes that believe they lead and may act."""
        return [
            process
            for process in self.processes
            if process.token is not None and process.participant.is_joined
        ]

    # Time

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
        """One turn of a process; the next comes when something is due."""
        if process.is_paused:
            process.delayed.append(lambda: self.step(process))
            return
        participant = process.participant
        for request in participant.take_due_requests(self.now_us):
            self.send(process, request)
        for notification in participant.take_notifications():
            self._notify(process, notification)
        process.election.advance(self.now_us, participant)
        wait_us = participant.next_request_at_us(self.now_us) - self.now_us
        self.schedule(max(SHORTEST_STEP_US, min(LONGEST_STEP_US, wait_us)), lambda: self.step(process))

    def pause(self, process: SimulatedProcess) -> None:
        """Suspends a process as SIGSTOP does."""
        process.is_paused = True

    def resume(self, process: SimulatedProcess) -> None:
        """Lets a process go on, with all that reached it meanwhile."""
        process.is_paused = False
        delayed = process.delayed
        process.delayed = []
        for action in delayed:
            self.schedule(0, action)

    def act_as_leader(self, process: SimulatedProcess, duration_us: int = 0) -> None:
        """Starts a leader's step: it looks at its token now, the effect is taken `duration_us` later."""
        token = process.token
        if process.is_paused or token is None or not process.participant.is_joined:
            return
        self._item_count += 1
        item = f"{process.participant.identity.incarnation}:{self._item_count}"
        delay_us = duration_us + self.random.randrange(1, self.faults.max_delay_us + 1)
        self.schedule(delay_us, lambda: self._take_effect(process, token, item))

    def increment_counter(self, process: SimulatedProcess) -> None:
        """Adds one to a record that all processes write."""
        participant = process.participant
        if not participant.cache.is_loaded or process.increment_id or process.is_paused:
            return
        count = participant.decode_record(COUNTER_KEY, int) or 0
        process.increment_id = participant.propose(participant.build_put(COUNTER_KEY, count + 1))

    def restore_snapshot(self, snapshot: Keyspace) -> None:
        """Puts an older snapshot of the store back."""
        self.store.restore(self.now_us, snapshot)

    def _notify(self, process: SimulatedProcess, notification: Notification) -> None:
        process.notifications.append(notification)
        if isinstance(notification, CommitSettled):
            process.election.on_commit_settled(notification.commit_id, notification.outcome)
            if notification.commit_id == process.increment_id:
                process.increment_id = ""

    def _take_effect(self, process: SimulatedProcess, token: FencingToken, item: str) -> None:
        if process.is_paused:
            process.delayed.append(lambda: self._take_effect(process, token, item))
            return
        decision = self.fence.present(RESOURCE, token)
        if decision.rejected_by is not None and not self._admits_unfenced(process):
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

    def _admits_unfenced(self, process: SimulatedProcess) -> bool:
        if self._disabled_guard is Guard.TOKEN_AT_EFFECT:
            return True
        # Whoever trusts a session asks whether it lives, and believes its holder.
        return self._disabled_guard is Guard.SESSIONS_STAY_ENDED and process.participant.session_id != ""

    # Requests and responses

    def send(self, process: SimulatedProcess, request: StoreRequest) -> None:
        """Sends a request to the store; its result is delivered once, or it times out."""
        self.request_counts[type(request.operation)] += 1
        process.recorder.record_invocation(request)
        request_delay_us = self._delay_us()
        response_delay_us = self._delay_us()
        is_request_lost = self.random.random() < self.faults.lost_requests
        is_response_lost = self.random.random() < self.faults.lost_responses
        epoch = self.store.connection_epoch
        exchange = _Exchange(process, request)

        def is_disconnected() -> bool:
            return self.faults.is_away or epoch != self.store.connection_epoch

        def time_out() -> None:
            self._deliver(exchange, failure_without_response(request.operation, "no answer"))

        def arrive() -> None:
            if is_disconnected():
                error = StoreUnavailableError("away")
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
            process.delayed.append(lambda: self._deliver(exchange, result))
            return
        if exchange.is_over:
            return
        exchange.is_over = True
        process.recorder.record_completion(exchange.request, result)
        request_id = exchange.request.request_id
        if isinstance(result, CoordinationError):
            process.participant.handle_failure(self.now_us, request_id, result)
        else:
            process.participant.handle_response(self.now_us, request_id, result)


def no_changes(watch: WatchChanges) -> WatchBatch:
    """The response to a watch whose wait ran out."""
    after_revision = watch.after_revision
    return WatchBatch(store_id=STORE_ID, after_revision=after_revision, revision=after_revision, events=())
