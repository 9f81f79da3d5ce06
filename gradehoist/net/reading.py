"""Reading from a stream so that others run."""

from __future__ import annotations

import asyncio

from tornado.iostream import IOStream


async def part(stream: IOStream, most: int) -> bytes:
    """What has come, `most` bytes of it. Raises StreamClosedError.

    Awaiting what is there already lets nobody else run: one peer that always had more to say held up the
    drains and requests of all others, and SIGTERM."""
    reading = asyncio.ensure_future(stream.read_bytes(most, partial=True))
    if reading.done():
        await asyncio.sleep(0)
    return await reading
