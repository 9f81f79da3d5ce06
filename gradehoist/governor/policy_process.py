"""The policies in a process of their own, so that polls and withdrawals never wait for a decision.

This is the governor's end; `policy_host` is the child's.
"""

from __future__ import annotations

import asyncio
import pickle
import socket
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from tornado.iostream import IOStream, StreamClosedError

from gradehoist.governor.errors import GovernorError
from gradehoist.governor.policy_frames import (
    FRAME_LENGTH,
    BatchesHandled,
    HandleBatches,
    StartPolicies,
    encode_frame,
)
from gradehoist.governor.policy_instances import PolicyBatch, PolicyReply
from gradehoist.interface import PolicyConfig

FIRST_REPLY_TIMEOUT_S = 20.0  # Python's start on a loaded machine
REPLY_TIMEOUT_S = 10.0  # ten times the work that a hundred cells have needed for one answer
MAX_IDLE_CHECKS = 2  # looks at a child without progress after which it counts as stuck
MIN_CHECK_INTERVAL_S = 0.05
CHECKS_PER_GRACE_PERIOD = 4  # a stuck child is given up within three quarters of the grace period
MAX_FRAME_BYTES = 1 << 30
EXIT_POLLS = 100  # looks at a child that should end by itself,
EXIT_POLL_INTERVAL_S = 0.01  # and the time between them


class PolicyProcessError(GovernorError):
    """A policy raised, or the process ended or is stuck; nothing of its last answer may be used."""


@dataclass(frozen=True, slots=True)
class _ChildProgress:
    """What a look at the child has seen: the request that it works on, and its state."""

    request: int
    state: str


class PolicyProcess:
    """Owns the child process. Requests are made one at a time.

    Attributes:
        cpu_s: seconds of CPU that the policies have taken.
    """

    def __init__(
        self, configs: list[PolicyConfig], now_us: int, runs_timers: bool, drain_grace_us: int
    ) -> None:
        """Starts the child; one that is stuck is given up within three quarters of the grace period.

        A withdrawal may wait behind it.
        """
        ours, theirs = socket.socketpair()
        self._child = subprocess.Popen(
            [sys.executable, "-m", "gradehoist.governor.policy_host", str(theirs.fileno())],
            pass_fds=[theirs.fileno()],
            stdin=subprocess.DEVNULL,
        )
        theirs.close()
        self.cpu_s = 0.0
        self._stream = IOStream(ours, max_buffer_size=MAX_FRAME_BYTES)
        self._start_message: StartPolicies | None = StartPolicies(configs, now_us, runs_timers)
        self._check_interval_s = max(MIN_CHECK_INTERVAL_S, drain_grace_us / (CHECKS_PER_GRACE_PERIOD * 1e6))
        self._request_count = 0
        self._requested_at_s: float | None = None  # when the answer that is due was requested
        self._failure = ""
        self._watchdog: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int:
        """The child's process id."""
        return self._child.pid

    async def handle(
        self, now_us: int, batches: list[PolicyBatch], fires_timers: bool = True
    ) -> list[PolicyReply]:
        """Gives the policies their events and returns their orders; without `fires_timers` timers wait.

        Raises:
            PolicyProcessError: there is no answer that may be used.
        """
        self._watchdog = self._watchdog or asyncio.ensure_future(self._run_watchdog())
        self._request_count += 1
        self._requested_at_s = time.monotonic()
        try:
            answer = await self._request(HandleBatches(now_us, batches, fires_timers))
        except StreamClosedError:
            raise PolicyProcessError(self._failure or "the policy process ended") from None
        finally:
            self._requested_at_s = None
        if answer.failure:
            raise PolicyProcessError(answer.failure)
        self.cpu_s += answer.cpu_s
        return [reply.unpack() for reply in answer.replies]

    async def close(self) -> None:
        """Ends the child; it is killed if it does not end by itself."""
        if self._watchdog:
            self._watchdog.cancel()
        self._stream.close()
        for _ in range(EXIT_POLLS):
            if self._child.poll() is not None:
                return
            await asyncio.sleep(EXIT_POLL_INTERVAL_S)
        self._child.kill()
        self._child.wait()

    async def _request(self, message: HandleBatches) -> BatchesHandled:
        if self._start_message is not None:
            self._stream.write(encode_frame(self._start_message))
        self._stream.write(encode_frame(message))
        self._start_message = None
        (size,) = FRAME_LENGTH.unpack(await self._stream.read_bytes(FRAME_LENGTH.size))
        answer: BatchesHandled = pickle.loads(await self._stream.read_bytes(size))
        return answer

    async def _run_watchdog(self) -> None:
        """Closes the socket of a child that owes an answer and is stuck, or takes too long.

        Withdrawals waited for a stopped child for ever, and nothing reported it.
        """
        idle_checks = 0
        before: _ChildProgress | None = None
        while True:
            await asyncio.sleep(self._check_interval_s)
            if self._requested_at_s is None:
                continue
            progress = _ChildProgress(self._request_count, self._child_state())
            idle_checks = idle_checks + 1 if progress == before else 0
            before = progress
            waited_s = time.monotonic() - self._requested_at_s
            # Not before the first answer: a start may wait for the disk, and it delays no withdrawal.
            is_first = self._request_count == 1
            is_stuck = idle_checks >= MAX_IDLE_CHECKS and not is_first
            if is_stuck or waited_s > (FIRST_REPLY_TIMEOUT_S if is_first else REPLY_TIMEOUT_S):
                state = "makes no progress" if is_stuck else "is still at work"
                self._failure = f"the policy process owes an answer for {waited_s:.1f} s and {state}"
                self._stream.close()
                return

    def _child_state(self) -> str:
        """Something that changes while the child works or waits for a core.

        Where the system does not report it, it always changes, and the timeout alone counts.
        """
        always_different = f"{time.monotonic()}"
        try:
            stat = Path(f"/proc/{self.pid}/stat").read_text()
        except OSError:
            return always_different
        fields = stat.rpartition(")")[2].split()
        is_runnable = fields[0] == "R"
        return always_different if is_runnable else " ".join(fields[11:13])  # user and system CPU time
