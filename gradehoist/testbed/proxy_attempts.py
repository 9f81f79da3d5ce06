"""Sends the requests of a proxy to replicas, with retries.

Replicas are picked by weight. Those that fail repeatedly are avoided for a time. The retry policy that the
governor sets decides whether and when a failed attempt is retried.
"""

from __future__ import annotations

import contextlib
from collections import defaultdict
from dataclasses import dataclass

from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.protocol import http, orca
from gradehoist.testbed.process import LOOPBACK, read_monotonic_us
from gradehoist.testbed.proxy_context import ProxyContext
from gradehoist.testbed.scenario_plan import RequestClassPlan

# With less time left until the deadline, no retry is made.
MIN_REMAINING_US = 30_000
MIN_TIMEOUT_S = 0.001
MAX_RETRIES_BY_POLICY = (0, 1, 1, 2)
# This policy retries only attempts that provably had no effect.
POLICY_RETRY_ON_PROOF = 1
# From this policy on, every attempt before the last has its own timeout.
POLICY_ATTEMPT_TIMEOUT = 2
# Range of the random factor on the time for which a failing replica is avoided.
AVOID_JITTER = (0.8, 1.2)


@dataclass(frozen=True)
class RoutedRequest:
    """A request and its route.

    Attributes:
        request_id: The id of the client's attempt.
        request_class: The class of the request.
        label: The name of the class in the tables of the cell.
        tenant: The tenant that sent the request.
        work: The work of the request in milliseconds, as the client's header states it.
        cell: The cell that serves the tenant; empty if requests are not routed by cell.
        generation: The generation of the tenant's assignment; 0 if requests are not routed by cell.
    """

    request_id: str
    request_class: RequestClassPlan
    label: str
    tenant: str
    work: str
    cell: str
    generation: int

    def build_headers(self, proxy: str) -> tuple[tuple[str, str], ...]:
        """Builds the headers of an attempt by the named proxy."""
        return (
            ("x-transaction", self.request_id),
            ("x-relay", proxy),
            ("x-class", self.request_class.name),
            ("x-work", self.work),
            ("x-tenant", self.tenant),
            ("x-cell", self.cell),
            ("x-generation", f"{self.generation}"),
        )


@dataclass(frozen=True)
class Attempt:
    """One attempt at a request.

    Attributes:
        request: The request.
        number: The number of the attempt, from 0.
        replica: The replica that it is sent to.
        retry_policy: The retry policy of the request.
        may_have_run: Whether an earlier attempt may have had an effect.
    """

    request: RoutedRequest
    number: int
    replica: str
    retry_policy: int
    may_have_run: bool


@dataclass(frozen=True)
class AttemptResult:
    """The status of an attempt, and whether it provably had no effect."""

    status: int
    proves_no_effect: bool


class AttemptSender:
    """Sends requests to replicas with the retries that their policy allows."""

    def __init__(self, context: ProxyContext) -> None:
        """Creates a sender that reaches the replicas through the links of the proxy's zone."""
        self.context = context
        self.replica_ports = {
            link.target: link.port
            for link in context.run_plan.links
            if not link.proxy and link.zone == context.plan.zone
        }
        self.clients: dict[str, HttpClient] = {}
        self.reset()

    def reset(self) -> None:
        """Clears the counts of failures and the avoided replicas, as a restart would."""
        self.consecutive_failures: dict[str, int] = defaultdict(int)
        self.avoided_until_us: dict[str, int] = {}

    def close(self) -> None:
        """Closes all connections to replicas."""
        for client in self.clients.values():
            client.close()
        self.clients.clear()

    async def send(self, request: RoutedRequest, deadline_us: int, retry_policy: int) -> int:
        """Sends a request with its retries and returns the status for the client.

        The status is 503 only if no attempt can have had an effect, because after 503 clients retry even the
        requests that must not take effect twice.
        """
        tried: set[str] = set()
        max_retries = MAX_RETRIES_BY_POLICY[retry_policy]
        may_have_run = False
        for number in range(1 + max_retries):
            replica = self._pick_replica(request, tried)
            if replica is None:
                if number == 0:
                    self._record_unroutable(request)
                return 502 if may_have_run else 503
            tried.add(replica)
            is_last = number == max_retries
            timeout_us = deadline_us - read_monotonic_us()
            if retry_policy >= POLICY_ATTEMPT_TIMEOUT and not is_last:
                timeout_us = min(timeout_us, self._attempt_timeout_us(request.request_class))
            attempt = Attempt(
                request=request,
                number=number,
                replica=replica,
                retry_policy=retry_policy,
                may_have_run=may_have_run,
            )
            result = await self._send_attempt(attempt, timeout_us)
            if result.status == 200:
                return 200
            may_have_run |= not result.proves_no_effect
            is_out_of_time = deadline_us - read_monotonic_us() < MIN_REMAINING_US
            lacks_proof = retry_policy == POLICY_RETRY_ON_PROOF and not result.proves_no_effect
            if is_last or is_out_of_time or lacks_proof:
                return 504 if result.status == 504 else 502
        return 502

    def _attempt_timeout_us(self, request_class: RequestClassPlan) -> int:
        return int(self.context.run_plan.attempt_factor * request_class.latency_objective_us)

    def _record_unroutable(self, request: RoutedRequest) -> None:
        self.context.process.record(
            "refused",
            relay=self.context.plan.name,
            tx=request.request_id,
            cls=request.request_class.name,
            reason="no line",
        )

    def _pick_replica(self, request: RoutedRequest, tried: set[str]) -> str | None:
        """Picks a replica at random by weight, among those of the cell that have not been tried.

        Retries never leave the cell. Returns None if no replica is left.
        """
        state = self.context.state
        label = request.label
        if label not in state.table_by_class:
            # The table of the cell has not been received yet, so the default table applies.
            label = request.request_class.name
        time_us = read_monotonic_us()
        weights = {
            replica: weight for replica, weight in state.weights_for(label).items() if replica not in tried
        }
        preferred = {
            replica: weight
            for replica, weight in weights.items()
            if self.avoided_until_us.get(replica, 0) <= time_us
        }
        # If all replicas are avoided, one of them is used nevertheless, as the request would fail otherwise.
        candidates = preferred or weights
        if not candidates:
            return None
        return self.context.random.choices(list(candidates), list(candidates.values()))[0]

    def _client_for(self, replica: str) -> HttpClient:
        client = self.clients.get(replica)
        if client is None:
            client = HttpClient(LOOPBACK, self.replica_ports[replica])
            self.clients[replica] = client
        return client

    async def _send_attempt(self, attempt: Attempt, timeout_us: int) -> AttemptResult:
        """Sends one attempt and records its result; a cancelled attempt counts as a failure with status 0."""
        replica = attempt.replica
        client = self._client_for(replica)
        load = self.context.replica_loads[replica]
        began_us = read_monotonic_us()
        self._record_sent(attempt)
        headers = attempt.request.build_headers(self.context.plan.name)
        timeout_s = max(MIN_TIMEOUT_S, timeout_us / 1e6)
        result = AttemptResult(status=0, proves_no_effect=False)
        try:
            response = await client.request("POST", "/work", b"", headers, timeout_s=timeout_s)
            result = _read_result(response)
            if text := http.get_header(response.headers, orca.HEADER_NAME):
                # A malformed load report must not fail the attempt.
                with contextlib.suppress(ValueError):
                    load.report = orca.parse_report(text)
        except ConnectError:
            result = AttemptResult(status=502, proves_no_effect=True)
        except ResponseTimeoutError:
            result = AttemptResult(status=504, proves_no_effect=False)
        except ConnectionLostError:
            result = AttemptResult(status=502, proves_no_effect=False)
        finally:
            is_success = result.status == 200
            load.attempts += 1
            if is_success:
                load.elapsed_us += read_monotonic_us() - began_us
            else:
                load.failures += 1
            self._count_outcome(replica, is_success)
            self._record_ended(attempt, result.status)
        return result

    def _count_outcome(self, replica: str, is_success: bool) -> None:
        """Counts the result; the planned number of consecutive failures makes the proxy avoid the replica."""
        if is_success:
            self.consecutive_failures[replica] = 0
        else:
            self.consecutive_failures[replica] += 1
        run_plan = self.context.run_plan
        threshold = run_plan.failures_to_avoid
        if threshold and self.consecutive_failures[replica] >= threshold:
            self.consecutive_failures[replica] = 0
            avoid_us = int(run_plan.avoid_us * self.context.random.uniform(*AVOID_JITTER))
            self.avoided_until_us[replica] = read_monotonic_us() + avoid_us

    def _record_sent(self, attempt: Attempt) -> None:
        self.context.process.record(
            "try",
            relay=self.context.plan.name,
            tx=attempt.request.request_id,
            n=attempt.number,
            cls=attempt.request.request_class.name,
            replica=attempt.replica,
            way=attempt.retry_policy,
            after_unproven=attempt.may_have_run,
            cell=attempt.request.cell,
        )

    def _record_ended(self, attempt: Attempt, status: int) -> None:
        self.context.process.record(
            "tried",
            relay=self.context.plan.name,
            tx=attempt.request.request_id,
            n=attempt.number,
            replica=attempt.replica,
            status=status,
        )


def _read_result(response: http.Response) -> AttemptResult:
    has_proof = http.get_header(response.headers, "x-never-ran") == "1"
    return AttemptResult(status=response.status, proves_no_effect=response.status == 503 and has_proof)
