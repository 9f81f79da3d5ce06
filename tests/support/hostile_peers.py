"""Peers that use up a server's memory or time, in a process of their own.

`python -m tests.support.hostile_peers ATTACK PORT COUNT` opens COUNT connections, prints a line once all of
them have sent what the attack sends first, and goes on until it is killed.
"""

from __future__ import annotations

import itertools
import selectors
import socket
import subprocess
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

LOOPBACK = "127.0.0.1"
ROOT = Path(__file__).parent.parent.parent
PIECE_BYTES = 65_536
MANY_FIELDS = b"outcomes " + b" ".join(b"%x=1" % n for n in range(120_000)) + b"\r\n"
MANY_FIGURES = (
    b"outcomes site=a target=s-0 count=1 fail=0 mean=1 over=1000 util="
    + b",".join(b"%x:1" % n for n in range(120_000))
    + b"\r\n"
)
Attack = Callable[[], Iterator[bytes]]


def half_of_a_line() -> Iterator[bytes]:
    """A collector that sends 900 kB of one line and stops."""
    yield b"agent site=a\r\n"
    yield b"outcomes site=a target=s-0 util=" + b"x" * 900_000


def half_of_a_line_by_a_proxy(number: int = 7) -> Iterator[bytes]:
    """A proxy that sends 900 kB of one line and stops."""
    yield b"hello id=%d site=a rps=1 new=1\r\n" % number
    yield b"demand id=0 lane=" + b"x" * 900_000


def large_lines_of_many_fields() -> Iterator[bytes]:
    """A collector that sends lines of almost 1 MiB with very many short fields."""
    yield b"agent site=a\r\n"
    while True:
        yield MANY_FIELDS


def large_lines_of_many_figures() -> Iterator[bytes]:
    """A collector that sends lines of almost 1 MiB with very many figures of load."""
    yield b"agent site=a\r\n"
    while True:
        yield MANY_FIGURES


def half_of_a_body() -> Iterator[bytes]:
    """A client that sends half of a body of 4 MB and stops."""
    yield b"POST /v1/sums HTTP/1.1\r\nhost: a\r\ncontent-length: 4000000\r\n\r\n" + b"x" * 2_000_000


def half_of_a_chunked_body() -> Iterator[bytes]:
    """A client that sends 2 MB in chunks of one byte and stops."""
    yield b"POST /v1/sums HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 400_000


def most_of_a_head_of_short_fields() -> Iterator[bytes]:
    """A client that sends most of a head of very many short fields and stops."""
    yield b"GET /v1/status HTTP/1.1\r\nhost: a\r\n" + b"a:\r\n" * 4_000


def held_polls_with_requests_behind() -> Iterator[bytes]:
    """A client whose first request is held, and that sends many small ones behind it."""
    yield (
        b"GET /v1/feed?relay=p&zone=x HTTP/1.1\r\nhost: a\r\n\r\n"
        + b"GET /v1/feed?relay=p HTTP/1.1\r\nhost: a\r\na:\r\nb:\r\n\r\n" * 20_000
    )


def health_checks_that_are_not_read() -> Iterator[bytes]:
    """A joined peer that sends health checks without a pause and reads no response."""
    yield b"agent site=a\r\n"
    while True:
        yield b"probe\r\n" * 10_000


def status_requests_that_are_not_read() -> Iterator[bytes]:
    """A client that sends requests without a pause and reads no response."""
    while True:
        yield b"GET /v1/status HTTP/1.1\r\nhost: a\r\n\r\n" * 1_000


def outcomes_of_new_names() -> Iterator[bytes]:
    """A collector that reports on ever new replicas, zones and classes."""
    yield b"agent site=a\r\n"
    for n in itertools.count(0, 500):
        yield b"".join(
            b"outcomes site=z%d target=s-%d count=1 fail=0 mean=1 over=1000 util=f%d:1\r\n"
            b"demand id=%d lane=c%d count=1 fail=0 over=1\r\n" % (i, i, i, i % 60_000, i)
            for i in range(n, n + 500)
        )


def unsound_lines() -> Iterator[bytes]:
    """A collector that sends ever new lines which can't be understood."""
    yield b"agent site=a\r\n"
    for n in itertools.count(0, 500):
        yield b"".join(b"outcomes site=%d x=%d\r\n" % (i, i) for i in range(n, n + 500))


def joins_under_new_names() -> Iterator[bytes]:
    """A client that polls under ever new names, so that each poll joins a proxy."""
    for n in itertools.count(0, 200):
        yield b"".join(
            b"GET /v1/feed?relay=proxy-%d-%s&zone=x HTTP/1.1\r\nhost: a\r\n\r\n" % (i, b"y" * 60)
            for i in range(n, n + 200)
        )


def unsound_requests() -> Iterator[bytes]:
    """A client that sends ever new requests which can't be understood."""
    for n in itertools.count(0, 200):
        yield b"".join(
            b'POST /v1/sums HTTP/1.1\r\nhost: a\r\ncontent-length: 30\r\n\r\n{"relay":"%019d"}\n' % i
            for i in range(n, n + 200)
        )


ATTACKS: dict[str, Attack] = {
    attack.__name__: attack
    for attack in (
        half_of_a_line,
        half_of_a_line_by_a_proxy,
        large_lines_of_many_fields,
        large_lines_of_many_figures,
        half_of_a_body,
        half_of_a_chunked_body,
        most_of_a_head_of_short_fields,
        held_polls_with_requests_behind,
        health_checks_that_are_not_read,
        status_requests_that_are_not_read,
        outcomes_of_new_names,
        unsound_lines,
        joins_under_new_names,
        unsound_requests,
    )
}
READS_RESPONSES = {"joins_under_new_names", "unsound_requests", "outcomes_of_new_names", "unsound_lines"}


class HostilePeer:
    """One connection that sends what an attack yields, as fast as the server takes it."""

    def __init__(self, attack: str, port: int) -> None:
        self.pieces = ATTACKS[attack]()
        self.data = memoryview(b"")
        self.reads = attack in READS_RESPONSES
        self.sock = socket.create_connection((LOOPBACK, port))
        self.sock.setblocking(False)

    def send(self) -> bool:
        """Sends what the socket takes; returns whether the peer still has something to send."""
        try:
            if self.reads:
                self._read()
            if not self.data:
                self.data = memoryview(next(self.pieces))
            self.data = self.data[self.sock.send(self.data[:PIECE_BYTES]) :]
        except StopIteration:
            return False
        except BlockingIOError:
            return True
        except OSError:
            return False
        return True

    def _read(self) -> None:
        try:
            while self.sock.recv(PIECE_BYTES):
                pass
        except BlockingIOError:
            pass


def main(attack: str, port: int, count: int) -> None:
    selector = selectors.DefaultSelector()
    peers = []
    for _ in range(count):
        peer = HostilePeer(attack, port)
        peers.append(peer)
        selector.register(peer.sock, selectors.EVENT_WRITE, peer)
    print("connected", flush=True)
    while selector.get_map():
        for key, _ in selector.select(0.1):
            if not key.data.send():
                selector.unregister(key.fileobj)
    print("sent", flush=True)
    sys.stdin.read()  # holds the connections until the process is killed


class HostileProcess:
    """A process with hostile peers; a context manager that kills it at the end."""

    def __init__(self, attack: str, port: int, count: int) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "tests.support.hostile_peers", attack, str(port), str(count)],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def __enter__(self) -> HostileProcess:
        assert self.process.stdout is not None
        assert self.process.stdout.readline() == "connected\n"
        return self

    def __exit__(self, *_: object) -> None:
        self.process.kill()
        self.process.wait()
        for pipe in (self.process.stdin, self.process.stdout):
            if pipe is not None:
                pipe.close()


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]))
