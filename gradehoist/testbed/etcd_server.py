"""A test double of etcd that serves etcd's published interface over HTTP and JSON and can inject faults.

`POST /fault` without the field `do` replaces the injected faults; `ServerFaults` has their names. With `do`
it executes another command: `snapshot` saves the keyspace, `restore` replaces the keyspace with the saved
one, `compact` drops old history, and `extend` renews all leases for their full time to live. `GET /fault`
returns the counts of calls. The process runs until SIGTERM or SIGINT.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
from base64 import b64decode
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from gradehoist.testbed.etcd_calls import EtcdServer, build_event
from gradehoist.testbed.etcd_keyspace import Change, RevisionCompactedError
from gradehoist.testbed.process import LOOPBACK, read_monotonic_us

LEASE_CHECK_PERIOD_S = 0.02
# How often a watch without changes checks whether the server has become unavailable.
WATCH_CHECK_PERIOD_S = 1.0


class EtcdHandler(RequestHandler):
    """The base of the request handlers."""

    server: EtcdServer

    def initialize(self, server: EtcdServer) -> None:
        """Sets the server whose state the handler uses; Tornado calls it for each request."""
        self.server = server

    def close_connection(self) -> None:
        """Closes the connection without a response."""
        if self.request.connection is not None:
            self.request.connection.stream.close()  # type: ignore[attr-defined]

    def count_call(self, path: str) -> None:
        """Adds a call to the counts that `GET /fault` returns."""
        self.server.calls[path] = self.server.calls.get(path, 0) + 1


class CallHandler(EtcdHandler):
    """Handles unary calls."""

    async def post(self, path: str) -> None:
        """Executes the call, subject to the injected faults."""
        server = self.server
        faults = server.faults
        self.count_call(path)
        if faults.is_unavailable or server.random.random() < faults.dropped_call_share:
            self.close_connection()
            return
        if faults.response_delay_s:
            await asyncio.sleep(faults.response_delay_s)
        status, response = server.call(path, msgspec.json.decode(self.request.body))
        if server.random.random() < faults.lost_response_share:
            self.close_connection()
            return
        self.set_status(status)
        self.set_header("content-type", "application/json")
        self.finish(msgspec.json.encode(response))


class WatchHandler(EtcdHandler):
    """Handles a watch of a range of keys, as a stream of JSON lines."""

    async def post(self) -> None:
        """Sends changes until the client disconnects, its revision is compacted or a fault ends the watch."""
        server = self.server
        self.count_call("watch")
        if server.faults.is_unavailable:
            self.close_connection()
            return
        create = msgspec.json.decode(self.request.body)["create_request"]
        first = b64decode(create["key"])
        end = b64decode(create["range_end"])
        with contextlib.suppress(StreamClosedError):
            await self._send({"header": server.build_header(), "created": True})
            if await self._send_changes(first, end, int(create["start_revision"])):
                self.close_connection()

    async def _send_changes(self, first: bytes, end: bytes, next_revision: int) -> bool:
        """Sends changes as they occur.

        Returns:
            True if the watch ended because the server became unavailable; False if its revision is compacted
            or it has sent the number of messages that the faults allow.
        """
        server = self.server
        sent_messages = 0
        while not server.faults.is_unavailable:
            change_event = server.change_event
            try:
                changes = server.keyspace.find_changes(next_revision, first, end)
            except RevisionCompactedError as error:
                await self._send_cancellation(error.compacted_revision)
                return False
            if changes:
                await self._send_message(changes)
                next_revision = changes[-1].revision + 1
                sent_messages += 1
                if server.faults.messages_per_watch and sent_messages >= server.faults.messages_per_watch:
                    return False
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(WATCH_CHECK_PERIOD_S):
                    await change_event.wait()
        return True

    async def _send_message(self, changes: list[Change]) -> None:
        events = [build_event(change) for change in changes]
        message = {"header": self.server.build_header(), "events": events}
        await self._send(message)
        if self.server.faults.repeats_messages:
            await self._send(message)

    async def _send_cancellation(self, compacted_revision: int) -> None:
        header = self.server.build_header()
        await self._send({"header": header, "canceled": True, "compact_revision": str(compacted_revision)})

    async def _send(self, result: dict[str, Any]) -> None:
        self.write(msgspec.json.encode({"result": result}) + b"\n")
        await self.flush()


class CommandHandler(EtcdHandler):
    """Handles the commands by which tests inject faults and read the counts of calls."""

    def get(self) -> None:
        """Responds with the counts of calls and the current revision."""
        self.finish({"calls": self.server.calls, "revision": self.server.keyspace.revision})

    def post(self) -> None:
        """Executes a command; responds with status 400 if it is invalid."""
        try:
            self.server.apply_command(msgspec.json.decode(self.request.body))
        except (KeyError, ValueError) as error:
            self.set_status(400)
            self.finish({"error": str(error)})
            return
        self.set_status(204)


def serve(port: int, server: EtcdServer | None = None) -> tuple[EtcdServer, HTTPServer]:
    """Starts an HTTP server on loopback, for the given state or for a new one.

    Raises:
        OSError: the port is in use.
    """
    server = server or EtcdServer()
    arguments = {"server": server}
    application = Application(
        [
            ("/v3/watch", WatchHandler, arguments),
            ("/v3/(.+)", CallHandler, arguments),
            ("/fault", CommandHandler, arguments),
        ]
    )
    http_server = HTTPServer(application)
    http_server.listen(port, LOOPBACK)
    return server, http_server


async def run(port: int) -> None:
    """Serves requests and expires leases until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
    server, http_server = serve(port)
    while not stop.is_set():
        revision = server.keyspace.revision
        # An unavailable etcd does not expire leases.
        if not server.faults.is_unavailable:
            server.keyspace.expire_leases(read_monotonic_us())
        if server.keyspace.revision != revision:
            server.notify_watches()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEASE_CHECK_PERIOD_S):
                await stop.wait()
    http_server.stop()
