"""Calls and watch streams of etcd's v3 API over HTTP.

An error tells whether the call was carried out only as far as etcd or the network reveals it: a write that
was sent and got no response may have been carried out.
"""

from __future__ import annotations

import asyncio
from typing import Any, TypeVar

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import HTTPStreamClosedError, HTTPTimeoutError, SimpleAsyncHTTPClient

from gradehoist.coordination.store import CoordinationError, OutcomeUnknownError, StoreUnavailableError
from gradehoist.net.etcd_messages import (
    NOT_FOUND,
    OUT_OF_RANGE,
    RESOURCE_EXHAUSTED,
    EtcdError,
    WatchRequest,
    parse_error,
)

Response = TypeVar("Response")

CONNECT_TIMEOUT_S = 1.0  # connecting within the network of one site takes milliseconds
RESPONSE_TIMEOUT_S = 2.0  # shorter than the time after which etcd itself abandons a write
MAX_CONNECTIONS = 20
_NO_TIMEOUT = 0
HTTP_OK = 200
_FIRST_SERVER_ERROR = 500
_TORNADO_FAILURE = 599  # the status that Tornado reports if there was no response
_JSON_HEADERS = {"content-type": "application/json"}
_DEFINITE_CODES = frozenset((NOT_FOUND, RESOURCE_EXHAUSTED, OUT_OF_RANGE))


class EtcdClient:
    """A client for the etcd server at `base_url`."""

    def __init__(self, base_url: str) -> None:
        """Creates a client; connections are opened on demand."""
        self.base_url = base_url
        self._http: AsyncHTTPClient = SimpleAsyncHTTPClient(force_instance=True, max_clients=MAX_CONNECTIONS)

    async def call(
        self, path: str, request: msgspec.Struct, response_type: type[Response], is_write: bool = False
    ) -> Response:
        """Sends a request and returns the decoded response.

        Raises:
            EtcdError: etcd responded with an error; nothing was written.
            StoreUnavailableError: There was no valid response; nothing was written.
            OutcomeUnknownError: There was no valid response to a write that may have been carried out.
        """
        outcome_error: type[CoordinationError] = OutcomeUnknownError if is_write else StoreUnavailableError
        response = await self._fetch(path, msgspec.json.encode(request), outcome_error)
        try:
            document: dict[str, Any] = msgspec.json.decode(response.body, type=dict[str, msgspec.Raw])
            if response.code != HTTP_OK or "error" in document:
                raise classify_error(msgspec.json.decode(response.body), response.code, outcome_error)
            return msgspec.json.decode(response.body, type=response_type, strict=False)
        except msgspec.MsgspecError:
            raise outcome_error(
                f"{self.base_url}: invalid etcd response with status {response.code}"
            ) from None

    def open_watch(self, request: WatchRequest) -> WatchStream:
        """Opens a watch stream; the caller has to close it."""
        http_request = HTTPRequest(
            self.base_url + "/v3/watch",
            "POST",
            _JSON_HEADERS,
            msgspec.json.encode(request),
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=_NO_TIMEOUT,
        )
        return WatchStream(self._http, http_request, self.base_url)

    def close(self) -> None:
        """Closes all connections."""
        self._http.close()

    async def _fetch(self, path: str, body: bytes, outcome_error: type[CoordinationError]) -> HTTPResponse:
        request = HTTPRequest(
            self.base_url + path,
            "POST",
            _JSON_HEADERS,
            body,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=RESPONSE_TIMEOUT_S,
        )
        try:
            response = await self._http.fetch(request, raise_error=False)
        except HTTPTimeoutError as error:
            raise self._no_response(str(error), outcome_error) from None
        except HTTPStreamClosedError as error:
            raise outcome_error(f"{self.base_url}: {error}") from None
        except ConnectionRefusedError as error:
            raise StoreUnavailableError(f"{self.base_url}: {error.strerror}") from None
        except OSError as error:
            raise outcome_error(f"{self.base_url}: {error}") from None
        if response.code == _TORNADO_FAILURE:
            raise self._no_response(str(response.error), outcome_error)
        return response

    def _no_response(self, reason: str, outcome_error: type[CoordinationError]) -> CoordinationError:
        """Returns the error for a call without a response.

        `reason` is Tornado's message, which tells whether the call was still connecting. If so, nothing was
        sent.
        """
        error_type = StoreUnavailableError if "connecting" in reason else outcome_error
        return error_type(f"{self.base_url}: {reason}")


def classify_error(
    document: dict[str, Any], status: int, outcome_error: type[CoordinationError]
) -> EtcdError | CoordinationError:
    """Returns the error of an error response, or `outcome_error` if etcd itself does not know the outcome.

    That is the case after a timeout within etcd or a leader change.
    """
    error = parse_error(document)
    if status >= _FIRST_SERVER_ERROR and error.code not in _DEFINITE_CODES:
        return outcome_error(error.message)
    return error


class WatchStream:
    """The streamed response of a watch call, read line by line."""

    def __init__(self, http: AsyncHTTPClient, request: HTTPRequest, base_url: str) -> None:
        """Sends the request."""
        self._base_url = base_url
        self._lines: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._incomplete_line = b""
        request.streaming_callback = self._on_data
        self._response = asyncio.ensure_future(http.fetch(request, raise_error=False))
        self._response.add_done_callback(self._on_end)

    async def read_line(self, timeout_s: float) -> bytes:
        """Returns the next line.

        Raises:
            TimeoutError: No line arrived within `timeout_s`.
            StoreUnavailableError: The stream has ended.
        """
        async with asyncio.timeout(timeout_s):
            line = await self._lines.get()
        if line is None:
            raise StoreUnavailableError(f"{self._base_url}: {self._end_reason()}")
        return line

    def close(self) -> None:
        """Cancels the call."""
        self._response.cancel()

    def _on_data(self, data: bytes) -> None:
        *lines, self._incomplete_line = (self._incomplete_line + data).split(b"\n")
        for line in lines:
            if line.strip():
                self._lines.put_nowait(line)

    def _on_end(self, _: asyncio.Future[HTTPResponse]) -> None:
        if self._incomplete_line.strip():
            self._lines.put_nowait(self._incomplete_line)
        self._lines.put_nowait(None)

    def _end_reason(self) -> str:
        if not self._response.done() or self._response.cancelled():
            return "the watch ended"
        error = self._response.exception()
        if error is not None:
            return str(error) or type(error).__name__
        status = self._response.result().code
        return "the watch ended" if status == HTTP_OK else f"status {status}"
