"""The HTTP parser: framing, limits, arbitrary splits of the input, and comparison with h11."""

from __future__ import annotations

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gradehoist.protocol import http
from gradehoist.protocol.http import Limits, ProtocolError, Request, Role
from gradehoist.protocol.http_parser import Parser

SMALL = Limits(max_line_bytes=200, max_head_bytes=600, max_fields=8, max_body_bytes=100)


def parse(data: bytes, cuts: list[int] | None = None, limits: Limits = SMALL) -> list[http.Event]:
    parser, events = Parser(Role.SERVER, limits), list[http.Event]()
    places = [0, *sorted(cuts or []), len(data)]
    for a, b in zip(places, places[1:], strict=False):
        events += parser.receive(data[a:b])
    return events


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", 400),
        (b"GET / HTTP/2.0\r\nhost: a\r\n\r\n", 505),
        (b"GET /\r\n\r\n", 400),
        (b"GET / HTTP/1.1\nhost: a\n\n", 400),
        (b"GET / HTTP/1.1\r\nhost: a\r\nx : 1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nhost: a\r\n folded\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nhost: a\r\nx: \x00\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nhost: a\r\nx: a\nb: c\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: 3\r\n\r\nabc", 400),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3, 3\r\n\r\nabc", 400),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: +3\r\n\r\nabc", 400),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip, chunked\r\n\r\n", 501),
        (b"POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\nabc\r\n", 400),
        (b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n65\r\n", 413),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 101\r\n\r\n", 413),
        (b"POST / HTTP/1.1\r\nhost: a\r\nexpect: magic\r\ncontent-length: 1\r\n\r\n", 417),
        (b"GET /" + b"a" * 200 + b" HTTP/1.1\r\nhost: a\r\n\r\n", 414),
        (b"GET /" + b"a" * 300, 414),
        (b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"a" * 700, 431),
        (b"GET / HTTP/1.1\r\nhost: a\r\n" + b"x: 1\r\n" * 8 + b"\r\n", 431),
        (b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400),
    ],
)
def test_an_invalid_request_is_rejected_with_its_status_at_every_split(data: bytes, status: int) -> None:
    for cuts in ([], list(range(len(data)))):
        with pytest.raises(ProtocolError) as caught:
            parse(data, cuts)
            parse(data + b"", cuts)
        assert caught.value.status == status


def test_a_failed_parser_returns_earlier_messages_and_parses_nothing_more() -> None:
    parser = Parser(Role.SERVER, SMALL)
    good = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n"
    assert [e.target for e in parser.receive(good + b"nonsense\r\n\r\n") if isinstance(e, Request)] == ["/a"]
    with pytest.raises(ProtocolError):
        parser.receive(good)


def test_an_expectation_is_an_event_only_before_the_body_arrives() -> None:
    head = b"POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n"
    parser = Parser(Role.SERVER, SMALL)
    assert parser.receive(head) == [http.ContinueExpected()]
    assert [type(e) for e in parser.receive(b"hi")] == [Request]
    assert [type(e) for e in Parser(Role.SERVER, SMALL).receive(head + b"hi")] == [Request]


def test_responses_need_a_request_and_end_according_to_their_framing() -> None:
    def client(*methods: str) -> Parser:
        parser = Parser(Role.CLIENT, SMALL)
        for method in methods:
            parser.expect_response(method)
        return parser

    with pytest.raises(ProtocolError):
        client().receive(http.format_response(200))
    responses = http.format_response(100) + http.format_response(200, b"x") + http.format_response(204)
    statuses = [e.status for e in client("GET", "GET").receive(responses) if isinstance(e, http.Response)]
    assert statuses == [100, 200, 204]
    head = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n"
    assert len(client("HEAD").receive(head)) == 1
    to_close = client("GET")
    assert to_close.receive(b"HTTP/1.1 200 OK\r\n\r\nabc") == []
    (response,) = to_close.receive_eof()
    assert isinstance(response, http.Response) and response.body == b"abc" and not response.keep_alive
    truncated = client("GET")
    truncated.receive(head + b"half")
    # A truncated response, for example of a killed governor, must not be taken for a complete one.
    with pytest.raises(ProtocolError):
        truncated.receive_eof()


def test_a_header_value_with_control_characters_is_rejected() -> None:
    for value in ("a\r\nx: 1", "a\nb", "\0"):
        with pytest.raises(ValueError):
            http.format_response(200, b"", (("x", value),))


TOKEN = st.text("abcXYZ-09", min_size=1, max_size=8)
VALUE = st.text("ab cd,;=/\t", max_size=12)
CHUNKED = st.lists(st.binary(min_size=1, max_size=9), max_size=3)


@st.composite
def requests(draw: st.DrawFn) -> bytes:
    method, target = draw(st.sampled_from(["GET", "POST", "PUT"])), "/" + draw(st.text("ab/?=&%", max_size=9))
    rows = [(f"x-{n}", draw(VALUE)) for n in draw(st.lists(TOKEN, max_size=3))]
    lines = "".join(f"{k}:{draw(st.sampled_from(['', ' ', '  ']))}{v}\r\n" for k, v in rows)
    head = f"{method} {target} HTTP/1.1\r\nHost: h\r\n{lines}"
    if draw(st.booleans()):
        pieces = draw(CHUNKED)
        body = b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in pieces) + b"0\r\n\r\n"
        return head.encode() + b"Transfer-Encoding: chunked\r\n\r\n" + body
    body = draw(st.binary(max_size=20))
    return head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body


def parse_with_h11(data: bytes) -> list[tuple[str, str, list[tuple[str, str]], bytes]]:
    connection, parsed = h11.Connection(h11.SERVER), []
    connection.receive_data(data)
    while True:
        event = connection.next_event()
        if isinstance(event, h11.Request):
            rows = [(k.decode(), v.decode()) for k, v in event.headers]
            parsed.append((event.method.decode(), event.target.decode(), rows, b""))
        elif isinstance(event, h11.Data):
            parsed[-1] = (*parsed[-1][:3], parsed[-1][3] + bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            connection.send(h11.Response(status_code=200, headers=[("content-length", "0")]))
            connection.send(h11.EndOfMessage())
            connection.start_next_cycle()
        else:
            return parsed


@given(st.lists(requests(), min_size=1, max_size=3), st.data())
def test_requests_are_parsed_as_by_h11_at_every_split(messages: list[bytes], data: st.DataObject) -> None:
    input_bytes = b"".join(messages)
    cuts = data.draw(st.lists(st.integers(0, len(input_bytes)), max_size=6))
    expected = parse_with_h11(input_bytes)
    for places in (cuts, list(range(len(input_bytes)))):
        got = [e for e in parse(input_bytes, places, Limits()) if isinstance(e, Request)]
        assert [(e.method, e.target, list(e.headers), e.body) for e in got] == expected


@given(st.binary(max_size=200), st.integers(0, 200))
def test_any_bytes_end_in_messages_or_a_protocol_error(data: bytes, cut: int) -> None:
    outcomes = []
    for cuts in ([], [min(cut, len(data))]):
        parser, events, status = Parser(Role.SERVER, SMALL), list[http.Event](), 0
        places = [0, *cuts, len(data)]
        try:
            for a, b in zip(places, places[1:], strict=False):
                events += parser.receive(data[a:b])
            events += parser.receive(b"")
        except ProtocolError as fault:
            status = fault.status
        assert status in (0, 400, 413, 414, 417, 431, 501, 505)
        outcomes.append(events)
    assert outcomes[0] == outcomes[1]
