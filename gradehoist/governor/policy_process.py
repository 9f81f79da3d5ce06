"""Runs the policies in a child process, so that polls and withdrawals never wait for a decision.

This module is the governor's end of the connection; `policy_host` is the child's.
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

FIRST_REPLY_TIMEOUT_S = 20.0  # includes the start of Python on a loaded machine
REPLY_TIMEOUT_S = 10.0  # ten times the work that a hundred cells together have needed for one answer
MAX_IDLE_CHECKS = 2  # number of checks without progress after which the child counts as stuck
MIN_CHECK_INTERVAL_S = 0.05
CHECKS_PER_GRACE_PERIOD = 4  # so a stuck child is detected within three quarters of the grace period
MAX_FRAME_BYTES = 1 << 30
EXIT_POLLS = 100  # number of checks whether the child has exited before it is killed
EXIT_POLL_INTERVAL_S = 0.01


class PolicyProcessError(GovernorError):
    """A policy raised an exception, or the process exited or is stuck; its last answer is unusable."""


@dataclass(frozen=True, slots=True)
class _ChildProgress:
    """The request that the child is working on, and the state of its process, at one check."""

    request: int
    state: str


class PolicyProcess:
    """Owns the child process. The caller makes one request at a time.

    Attributes:
        cpu_s: CPU time of the policies so far, in seconds.
    """

    def __init__(
        self, configs: list[PolicyConfig], now_us: int, runs_timers: bool, drain_grace_us: int
    ) -> None:
        """Starts the child.

        A stuck child is detected within three quarters of the grace period, because it may be delaying a
        withdrawal.
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
        self._requested_at_s: float | None = None  # start of the request in progress
        self._failure = ""
        self._watchdog: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int:
        """The process id of the child."""
        return self._child.pid

    async def handle(
        self, now_us: int, batches: list[PolicyBatch], fires_timers: bool = True
    ) -> list[PolicyReply]:
        """Gives the policies their events and returns their replies; timers fire only with `fires_timers`.

        Raises:
            PolicyProcessError: there is no usable answer.
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
        """Closes the connection and waits for the child to exit; kills it if it does not."""
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
        """Closes the socket if a request is in progress and the child is stuck or exceeds the timeout.

        Without this, withdrawals waited forever for a stopped child, and nothing reported it.
        """
        idle_checks = 0
        before: _ChildProgress | None = None
        while True:
            await asyncio.sleep(self._check_interval_s)
            if self._requested_at_s is None:
                continue
            progress = _ChildProgress(self._request_count, self._process_state())
            idle_checks = idle_checks + 1 if progress == before else 0
            before = progress
            waited_s = time.monotonic() - self._requested_at_s
            # Before the first answer an idle child is not stuck: it may be waiting for the disk, and it
            # delays no withdrawal yet.
            is_first = self._request_count == 1
            is_stuck = idle_checks >= MAX_IDLE_CHECKS and not is_first
            if is_stuck or waited_s > (FIRST_REPLY_TIMEOUT_S if is_first else REPLY_TIMEOUT_S):
                state = "makes no progress" if is_stuck else "is still working"
                self._failure = f"the policy process has not answered for {waited_s:.1f} s and {state}"
                self._stream.close()
                return

    def _process_state(self) -> str:
        """Returns a value that changes while the child is working or waiting for a CPU.

        If the system does not report the process state, the value always changes, so that only the timeout
        applies.
        """
        always_different = f"{time.monotonic()}"
        try:
            stat = Path(f"/proc/{self.pid}/stat").read_text()
        except OSError:
            return always_different
        fields = stat.rpartition(")")[2].split()
        is_runnable = fields[0] == "R"
        return always_different if is_runnable else " ".join(fields[11:13])  # user and system CPU time
