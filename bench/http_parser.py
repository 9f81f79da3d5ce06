"""Compares the project's HTTP parser with h11, on the same bytes in turns."""

from __future__ import annotations

import statistics
import time

import h11

from bench.output import print_row
from gradehoist.protocol import http
from gradehoist.protocol.http_parser import Parser

REQUEST = (
    b"POST /v1/sums HTTP/1.1\r\nhost: 127.0.0.1:7101\r\nuser-agent: relay\r\naccept: */*\r\n"
    b"content-type: application/json\r\nx-relay: r12\r\ncontent-length: 300\r\n\r\n" + b"x" * 300
)
DATA = REQUEST * 50
REPEATS = 20
# The number of requests in one round: 50 in DATA, 20 times.
REQUEST_COUNT = 1000
ROUNDS = 7


def read_only() -> int:
    """Parses all requests with the project's parser."""
    parser = Parser(http.Role.SERVER)
    return sum(len(parser.receive(DATA)) for _ in range(REPEATS))


def read_and_respond() -> int:
    """Parses all requests with the project's parser and formats a response to each."""
    parser = Parser(http.Role.SERVER)
    count = 0
    for _ in range(REPEATS):
        for _event in parser.receive(DATA):
            http.format_response(204)
            count += 1
    return count


def read_and_respond_with_h11() -> int:
    """Parses and answers all requests with h11, which requires a response before the next request."""
    connection = h11.Connection(h11.SERVER)
    count = 0
    for _ in range(REPEATS):
        connection.receive_data(DATA)
        count += _respond_to_all(connection)
    return count


def _respond_to_all(connection: h11.Connection) -> int:
    count = 0
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            return count
        if isinstance(event, h11.EndOfMessage):
            count += 1
            connection.send(h11.Response(status_code=204, headers=[]))
            connection.send(h11.EndOfMessage())
            connection.start_next_cycle()


def measure_parsers() -> None:
    """Prints the requests per second of each parser, from the median duration of the rounds."""
    functions = (read_and_respond, read_and_respond_with_h11, read_only)
    durations: dict[str, list[float]] = {function.__name__: [] for function in functions}
    for _ in range(ROUNDS):
        for function in functions:
            started = time.perf_counter()
            assert function() == REQUEST_COUNT
            durations[function.__name__].append(time.perf_counter() - started)
    ours, theirs, reading = (
        REQUEST_COUNT / statistics.median(durations[function.__name__]) for function in functions
    )
    print_row("parser", "requests a second")
    print_row("ours, read and answered", round(ours))
    print_row("h11, read and answered", round(theirs))
    print_row("ratio", f"{ours / theirs:.1f}")
    print_row("ours, read only", round(reading))
