"""The governor's HTTP API: parses requests and passes them to the handlers."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Any
from urllib.parse import SplitResult, parse_qsl, urlsplit

import msgspec

from gradehoist.cells.assignment import TenantAssignment
from gradehoist.governor.errors import RequestRejectedError
from gradehoist.governor.feed_polls import FeedPolls
from gradehoist.governor.proxy_sessions import FeedPoll
from gradehoist.governor.tenant_assignments import TenantAssignments
from gradehoist.membership.service import Membership
from gradehoist.net.server import Connection, ServerResponse, error_response, json_response
from gradehoist.protocol import http
from gradehoist.protocol.feed import Count, Name, ProxyLoadReport, Weight

_LOAD_REPORT: msgspec.json.Decoder[ProxyLoadReport] = msgspec.json.Decoder(ProxyLoadReport)
_ASSIGNMENT: msgspec.json.Decoder[TenantAssignment] = msgspec.json.Decoder(TenantAssignment)


class ApiPath(StrEnum):
    """The paths of the HTTP API."""

    FEED = "/v1/feed"
    LOAD_REPORT = "/v1/sums"
    STATUS = "/v1/status"
    ASSIGNMENT = "/v1/cells/word"


MEMBER_HEALTH_PATH = "/healthz"  # served only with coordination, to the other members of the fleet


class PollQuery(msgspec.Struct, frozen=True):
    """The query parameters of a poll; their encoded names are part of the HTTP API."""

    proxy_name: Name = msgspec.field(name="relay")
    zone: Name
    request_rate: Weight = msgspec.field(name="rate", default=0.0)
    epoch: str = ""
    stream: Count = 0
    acknowledged_seq: Count = msgspec.field(name="after", default=0)


class HttpApi:
    """Answers the requests to a governor. The service owns it."""

    def __init__(
        self,
        polls: FeedPolls,
        take_load_report: Callable[[ProxyLoadReport], None],
        status: Callable[[], dict[str, Any]],
        assignments: TenantAssignments | None,
        membership: Membership | None,
    ) -> None:
        """Creates the API; `assignments` is None without cells, `membership` None without coordination."""
        self._polls = polls
        self._take_load_report = take_load_report
        self._status = status
        self._assignments = assignments
        self._membership = membership

    async def handle(self, request: http.Request, connection: Connection) -> ServerResponse | None:
        """Returns the response to a request; None if the connection has closed in the meantime."""
        try:
            return await self._dispatch(request, connection)
        except RequestRejectedError as error:
            return error_response(error.status, error.reason)
        except (msgspec.DecodeError, ValueError) as error:
            return error_response(400, f"not understood: {error}")

    async def _dispatch(self, request: http.Request, connection: Connection) -> ServerResponse | None:
        url = urlsplit(request.target)
        match request.method, url.path:
            case "GET", ApiPath.FEED:
                return await self._polls.answer(_parse_poll(url), connection)
            case "POST", ApiPath.LOAD_REPORT:
                self._take_load_report(_LOAD_REPORT.decode(request.body))
                return ServerResponse(204)
            case "GET", ApiPath.STATUS:
                return json_response(self._status())
            case "GET", path if path == MEMBER_HEALTH_PATH and self._membership is not None:
                return self._membership.answer_health_check(url.query)
            case "POST", ApiPath.ASSIGNMENT if self._assignments is not None:
                return json_response(await self._assignments.accept(_ASSIGNMENT.decode(request.body)))
        if url.path == ApiPath.ASSIGNMENT and self._assignments is None:
            return error_response(404, "this fleet has no cells")
        if url.path in set(ApiPath):
            return error_response(405, f"{url.path} does not take {request.method}")
        return error_response(404, f"nothing at {url.path}")


def _parse_poll(url: SplitResult) -> FeedPoll:
    pairs = dict(parse_qsl(url.query, keep_blank_values=True))
    query = msgspec.convert(pairs, PollQuery, strict=False)
    return FeedPoll(
        proxy_name=query.proxy_name,
        zone=query.zone,
        request_rate=query.request_rate,
        epoch=query.epoch,
        stream=query.stream,
        acknowledged_seq=query.acknowledged_seq,
    )
