"""The processes of a run: each is started with a log of its own, watched, and ended by its id."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys

from gradehoist.net.client import HttpClient, HttpClientError
from gradehoist.scenario.errors import ProcessExitError, ProcessStartError
from gradehoist.scenario.run_folder import RunFolder

HOST = "127.0.0.1"
START_TIMEOUT_S = 20.0  # the start of Python on a loaded machine
STOP_TIMEOUT_S = 5.0  # then a process that does not heed SIGTERM is killed
PING_TIMEOUT_S = 1.0
PING_INTERVAL_S = 0.05
LOG_LINES_IN_ERROR = 3
# Clients and proxies end first, so that nothing is sent to processes that have ended.
STOP_ORDER = ("clients", "relays", "mover", "release", "governor", "replicas", "roster", "links")
# Commands that end by themselves, and the exit codes that are no failure: a rollout that halts exits with 1.
EXPECTED_EXIT_CODES = {"mover": (0,), "release": (0, 1)}


class ProcessGroup:
    """Owns the processes of one run, by name."""

    def __init__(self, folder: RunFolder) -> None:
        """Begins without a process."""
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Starts a Python module as the process `name`."""
        with self._folder.log(name).open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments], stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    async def wait_until_ready(self, name: str, port: int, method: str, target: str, body: bytes) -> None:
        """Waits until a process responds to a request.

        Raises:
            ProcessStartError: it ended, or it did not respond for `START_TIMEOUT_S`.
        """
        client = HttpClient(HOST, port)
        deadline_s = asyncio.get_running_loop().time() + START_TIMEOUT_S
        try:
            while True:
                has_ended = self._processes[name].poll() is not None
                if has_ended or asyncio.get_running_loop().time() > deadline_s:
                    raise ProcessStartError(name, self._read_log_tail(name))
                if await _is_responding(client, method, target, body):
                    return
                await asyncio.sleep(PING_INTERVAL_S)
        finally:
            client.close()

    def check_running(self) -> None:
        """Checks that no process has ended which should not.

        Raises:
            ProcessExitError: one has.
        """
        for name, process in self._processes.items():
            exit_code = process.poll()
            if exit_code is not None and exit_code not in EXPECTED_EXIT_CODES.get(name, ()):
                raise ProcessExitError(name, exit_code)

    def kill(self, name: str) -> None:
        """Kills a process without a chance to end in order."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def stop_all(self) -> None:
        """Ends every process in order, and kills those that take too long."""
        for name in sorted(self._processes, key=_stop_rank):
            process = self._processes[name]
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def _read_log_tail(self, name: str) -> str:
        lines = self._folder.log(name).read_text(errors="replace").strip().splitlines()
        return " | ".join(lines[-LOG_LINES_IN_ERROR:]) or "it said nothing"


async def _is_responding(client: HttpClient, method: str, target: str, body: bytes) -> bool:
    try:
        response = await client.request(method, target, body, timeout_s=PING_TIMEOUT_S)
    except HttpClientError:
        return False
    return response.status < 300


def _stop_rank(name: str) -> int:
    for rank, prefix in enumerate(STOP_ORDER):
        if name.startswith(prefix):
            return rank
    return len(STOP_ORDER)
