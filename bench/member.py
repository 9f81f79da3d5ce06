"""One member of a measured fleet: `python -m bench.member WHERE PORT NAME`.

WHERE is the folder of an embedded store, or the port of a store's server. `POST /probe` makes the member
write a record with the current time; the status lists the delays with which it observed such writes.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path
from typing import Any

from gradehoist.coordination.records import ProcessIdentity
from gradehoist.membership.service import Membership, new_incarnation
from gradehoist.net.server import Connection, HttpServer, ServerResponse, error_response, json_response
from gradehoist.protocol import http
from gradehoist.settings.fleet import CoordinationSettings

KEY = "probe"


async def main() -> None:
    """Runs the member until SIGTERM."""
    where, port, name = sys.argv[1:]
    settings = CoordinationSettings(
        folder=None if where.isdigit() else Path(where),
        etcd_address=("127.0.0.1", int(where)) if where.isdigit() else None,
        key_prefix="bench/",
        session_ttl_us=10_000_000,
        lost_after_us=5_000_000,
        contact_interval_us=1_000_000,
        fallback_hold_us=60_000_000,
        fallback_ramp_us=30_000_000,
    )
    identity = ProcessIdentity(
        role="member",
        name=name,
        zone="x",
        incarnation=new_incarnation(name),
        address=f"127.0.0.1:{port}",
    )
    member = Membership(settings, identity, seed=1, log=lambda *a, **k: None)
    delays_ms = list[float]()

    def record_delay(key: str) -> None:
        if key == KEY and (sent := member.participant.decode_record(KEY, int)):
            delays_ms.append((time.monotonic_ns() - sent) / 1e6)

    async def handle(request: http.Request, connection: Connection) -> ServerResponse:
        path, _, query = request.target.partition("?")
        if path == "/healthz":
            return member.answer_health_check(query)
        if path == "/probe":
            member.propose(member.participant.build_put(KEY, time.monotonic_ns()))
            return ServerResponse(204)
        if path == "/status":
            status: dict[str, Any] = member.status() | {"late": delays_ms, "cpu": time.process_time()}
            return json_response(status)
        return error_response(404, "not found")

    member.key_listeners.append(record_delay)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    server = HttpServer(handle)
    server.listen(int(port), "127.0.0.1")
    running = asyncio.ensure_future(member.run())
    await stop.wait()
    await member.leave()
    await running


if __name__ == "__main__":
    asyncio.run(main())
