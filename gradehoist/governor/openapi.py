"""The governor's HTTP API as an OpenAPI 3.1 document, generated from the types that parse and encode it.

The names and descriptions of the schemas are part of the published document. They are listed in `SCHEMAS`, so
that renaming a type or changing its docstring does not change the document.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from gradehoist.cells.assignment import AssignmentAck, TenantAssignment
from gradehoist.protocol.feed import PollResponse, ProxyLoadReport

REF_PREFIX = "#/components/schemas/"

ERROR_RESPONSES = {
    "400": "not understood: framing, JSON or a value out of range",
    "404": "no such path here",
    "405": "another method than the path takes",
    "408": "the request took too long to come",
    "409": "no such stream, a message that was never sent, or a later poll took over: join anew",
    "413": "a body over the limit",
    "422": "understood, but it names a zone or class that is unknown here, or more bad tries than tries",
    "503": "no list of replicas yet, all relays of the settings are here, or the governor stops: go on with "
    "what you hold and dial another",
}


class ErrorBody(msgspec.Struct):
    """The body of a response with a status other than 200 and 204."""

    error: str


@dataclass(frozen=True, slots=True)
class PublishedSchema:
    """The name and the description of a type in the published document."""

    name: str
    description: str = ""


SCHEMAS = {
    "PollResponse": PublishedSchema(
        "Feed",
        "An answer to a poll. `joined`: the stream is new, the relay goes on with what it holds until bound.",
    ),
    "Message": PublishedSchema(
        "Message",
        "`reply` numbers the orders given at one time, `at` is when (µs, the governor's monotonic clock);\n"
        "`whole` says that the deltas stand for the full state; `cost` is the message's price in lines.",
    ),
    "WeightDelta": PublishedSchema(
        "Line",
        "One line of a table; weight 0 removes it.",
    ),
    "ClearDelta": PublishedSchema("Clear"),
    "BindDelta": PublishedSchema(
        "Bind",
        "Puts the relay on a table for the classes named; levels of that table held so "
        "far end, those that stand\n"
        "follow. The stream's first bind ends earlier withdrawals.",
    ),
    "WithdrawalDelta": PublishedSchema(
        "Out",
        "Nothing more is sent to this replica, whatever the tables say.",
    ),
    "RestorationDelta": PublishedSchema("Back"),
    "AdmissionDelta": PublishedSchema(
        "Level",
        "Lets in `share` of the classes; `tries` is the way of trying again, 0 to 3. Table None: everywhere.",
    ),
    "TenantRoutes": PublishedSchema(
        "Route",
        "Tenants live in the cell that `named` gives, else in that of their hash's even range over `cells`:\n"
        "crc32 of the name in UTF-8, times the number of cells, over 2**32. Classes are "
        "then called CELL/CLASS.",
    ),
    "TenantMigrated": PublishedSchema(
        "Moved",
        "A tenant's cell from this generation on; no cell: it is on its way and its writes are refused.",
    ),
    "RateLimitsDelta": PublishedSchema(
        "Limits",
        "What one relay lets in: transactions a second of a cell and of a tenant, "
        "`burst` in seconds of them,\n"
        "`held` in hand at once from one tenant, `cell_held` from a cell (0: any number).",
    ),
    "ProxyLoadReport": PublishedSchema(
        "Sums",
        "What a relay met over `window` µs.",
    ),
    "ReplicaAttempts": PublishedSchema(
        "Try",
        "What one relay met at a replica: `elapsed` is the mean of the good tries, µs.",
    ),
    "ClassRequests": PublishedSchema("Came"),
    "TenantAssignment": PublishedSchema(
        "Word",
        "What is true of a tenant from generation `gen` on: shut everywhere, or open in "
        "`cell`, whose workers\n"
        "must know the `keys` that were done elsewhere.",
    ),
    "AssignmentAck": PublishedSchema(
        "Confirm",
        "An answer to a word: `held` is what the answerer now holds true, `busy` that writes are in hand.",
    ),
    "ErrorBody": PublishedSchema("Error"),
}


def document() -> dict[str, Any]:
    """Returns the document that `gradehoist openapi` prints."""
    references, components = msgspec.json.schema_components(
        (PollResponse, ProxyLoadReport, TenantAssignment, AssignmentAck, ErrorBody),
        ref_template=REF_PREFIX + "{name}",
    )
    feed_ref, report_ref, assignment_ref, acknowledgement_ref, error_ref = map(_publish_refs, references)
    return {
        "openapi": "3.1.0",
        "info": {
            "title": "gradehoist governor",
            "version": "1",
            "description": "The feed that relays follow, and the sums that they post. See feed.md.",
        },
        "paths": {
            "/v1/feed": {"get": _feed_operation(feed_ref, error_ref)},
            "/v1/sums": {"post": _load_report_operation(report_ref, error_ref)},
            "/v1/cells/word": {"post": _assignment_operation(assignment_ref, acknowledgement_ref, error_ref)},
            "/v1/status": {"get": _status_operation(error_ref)},
        },
        "components": {"schemas": _publish_schemas(components)},
    }


def _feed_operation(feed_ref: dict[str, Any], error_ref: dict[str, Any]) -> dict[str, Any]:
    return {
        "summary": "A long poll: messages after the last one applied, or nothing after the hold time",
        "parameters": [
            _query("relay", "string", "the relay's name, the same at every governor", required=True),
            _query("zone", "string", "where it stands", required=True),
            _query("rate", "number", "transactions a second that it usually receives"),
            _query("epoch", "string", "as last answered; empty to join"),
            _query("stream", "integer", "as last answered; 0 to join"),
            _query("after", "integer", "the last message applied, which this acknowledges"),
        ],
        "responses": {
            "200": {
                "description": "joined, messages, or neither after the hold time",
                "content": _json_content(feed_ref),
            },
            **_error_responses(error_ref, "400", "405", "409", "422", "503"),
        },
    }


def _load_report_operation(report_ref: dict[str, Any], error_ref: dict[str, Any]) -> dict[str, Any]:
    return {
        "summary": "What the relay met since its last sums",
        "requestBody": {"required": True, "content": _json_content(report_ref)},
        "responses": {
            "204": {"description": "taken"},
            **_error_responses(error_ref, "400", "405", "409", "413", "422"),
        },
    }


def _assignment_operation(
    assignment_ref: dict[str, Any], acknowledgement_ref: dict[str, Any], error_ref: dict[str, Any]
) -> dict[str, Any]:
    return {
        "summary": "A mover's word on a tenant, kept before it is confirmed; only with cells",
        "requestBody": {"required": True, "content": _json_content(assignment_ref)},
        "responses": {
            "200": {
                "description": "what the governor now holds true of the tenant",
                "content": _json_content(acknowledgement_ref),
            },
            **_error_responses(error_ref, "400", "404", "405", "413", "503"),
        },
    }


def _status_operation(error_ref: dict[str, Any]) -> dict[str, Any]:
    return {
        "summary": "The governor in figures, for people and checks",
        "responses": {
            "200": {"description": "an object", "content": _json_content({"type": "object"})},
            **_error_responses(error_ref, "405"),
        },
    }


def _query(name: str, kind: str, description: str, required: bool = False) -> dict[str, Any]:
    return {
        "name": name,
        "in": "query",
        "required": required,
        "schema": {"type": kind},
        "description": description,
    }


def _json_content(schema: dict[str, Any]) -> dict[str, Any]:
    return {"application/json": {"schema": schema}}


def _error_responses(error_ref: dict[str, Any], *statuses: str) -> dict[str, Any]:
    return {
        status: {"description": ERROR_RESPONSES[status], "content": _json_content(error_ref)}
        for status in statuses
    }


def _publish_schemas(components: dict[str, Any]) -> dict[str, Any]:
    """Returns the schemas with their published names and descriptions."""
    published: dict[str, Any] = {}
    for type_name, schema in components.items():
        names = SCHEMAS[type_name]
        head = {"title": names.name}
        if names.description:
            head["description"] = names.description
        rest = {key: value for key, value in schema.items() if key not in ("title", "description")}
        published[names.name] = head | _publish_refs(rest)
    return published


def _publish_refs(node: Any) -> Any:
    """Returns a copy of a part of the document in which references use the published names."""
    match node:
        case {"$ref": str() as reference}:
            type_name = reference.removeprefix(REF_PREFIX)
            return {**node, "$ref": REF_PREFIX + SCHEMAS[type_name].name}
        case dict():
            return {key: _publish_refs(value) for key, value in node.items()}
        case list():
            return [_publish_refs(value) for value in node]
    return node
