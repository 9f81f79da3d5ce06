"""Starts, monitors and stops the processes of a run, each of which has its own log."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys

from gradehoist.net.client import HttpClient, HttpClientError
from gradehoist.scenario.errors import ProcessExitError, ProcessStartError
from gradehoist.scenario.run_folder import RunFolder

HOST = "127.0.0.1"
START_TIMEOUT_S = 20.0  # Python starts slowly on a loaded machine.
STOP_TIMEOUT_S = 5.0  # A process that still runs so long after SIGTERM is killed.
PING_TIMEOUT_S = 1.0
PING_INTERVAL_S = 0.05
LOG_LINES_IN_ERROR = 3
# Prefixes of names. Clients and proxies stop first, so that nothing is sent to processes that have stopped.
STOP_ORDER = ("clients", "relays", "mover", "release", "governor", "replicas", "roster", "links")
# The commands that exit before the end of the run, and their exit codes that are not failures. A rollout that
# was halted exits with 1.
EXPECTED_EXIT_CODES = {"mover": (0,), "release": (0, 1)}


class ProcessGroup:
    """The processes of one run, by name."""

    def __init__(self, folder: RunFolder) -> None:
        """Creates a group without processes; their logs are written to `folder`."""
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
            ProcessStartError: the process exited, or it did not respond within `START_TIMEOUT_S`.
        """
        client = HttpClient(HOST, port)
        deadline_s = asyncio.get_running_loop().time() + START_TIMEOUT_S
        try:
            while True:
                has_exited = self._processes[name].poll() is not None
                if has_exited or asyncio.get_running_loop().time() > deadline_s:
                    raise ProcessStartError(name, self._read_log_tail(name))
                if await _is_responding(client, method, target, body):
                    return
                await asyncio.sleep(PING_INTERVAL_S)
        finally:
            client.close()

    def check_running(self) -> None:
        """Checks that every process runs, except for commands that have exited normally.

        Raises:
            ProcessExitError: a process has exited.
        """
        for name, process in self._processes.items():
            exit_code = process.poll()
            if exit_code is not None and exit_code not in EXPECTED_EXIT_CODES.get(name, ()):
                raise ProcessExitError(name, exit_code)

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL, so that it can't shut down normally, and forgets it."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def stop_all(self) -> None:
        """Stops all processes in the order of `STOP_ORDER`, and kills those that take too long."""
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
        return " | ".join(lines[-LOG_LINES_IN_ERROR:]) or "its log is empty"


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
