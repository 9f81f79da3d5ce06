"""The governor's HTTP API as an OpenAPI 3.1 document, made from the types that parse and write it."""

from __future__ import annotations

from typing import Any

import msgspec

from gradehoist.cells.assignment import AssignmentAck, TenantAssignment
from gradehoist.protocol import feed

REFUSALS = {
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


class Error(msgspec.Struct):
    error: str


def document() -> dict[str, Any]:
    (feed_ref, sums_ref, word_ref, confirm_ref, error_ref), parts = msgspec.json.schema_components(
        (feed.PollResponse, feed.ProxyLoadReport, TenantAssignment, AssignmentAck, Error),
        ref_template="#/components/schemas/{name}",
    )

    def refusals(*codes: str) -> dict[str, Any]:
        body = {"application/json": {"schema": error_ref}}
        return {code: {"description": REFUSALS[code], "content": body} for code in codes}

    def query(name: str, kind: str, what: str, required: bool = False) -> dict[str, Any]:
        return {
            "name": name,
            "in": "query",
            "required": required,
            "schema": {"type": kind},
            "description": what,
        }

    return {
        "openapi": "3.1.0",
        "info": {
            "title": "gradehoist governor",
            "version": "1",
            "description": "The feed that relays follow, and the sums that they post. See feed.md.",
        },
        "paths": {
            "/v1/feed": {
                "get": {
                    "summary": "A long poll: messages after the last one applied, "
                    "or nothing after the hold time",
                    "parameters": [
                        query("relay", "string", "the relay's name, the same at every governor", True),
                        query("zone", "string", "where it stands", True),
                        query("rate", "number", "transactions a second that it usually receives"),
                        query("epoch", "string", "as last answered; empty to join"),
                        query("stream", "integer", "as last answered; 0 to join"),
                        query("after", "integer", "the last message applied, which this acknowledges"),
                    ],
                    "responses": {
                        "200": {
                            "description": "joined, messages, or neither after the hold time",
                            "content": {"application/json": {"schema": feed_ref}},
                        },
                        **refusals("400", "405", "409", "422", "503"),
                    },
                }
            },
            "/v1/sums": {
                "post": {
                    "summary": "What the relay met since its last sums",
                    "requestBody": {"required": True, "content": {"application/json": {"schema": sums_ref}}},
                    "responses": {
                        "204": {"description": "taken"},
                        **refusals("400", "405", "409", "413", "422"),
                    },
                }
            },
            "/v1/cells/word": {
                "post": {
                    "summary": "A mover's word on a tenant, kept before it is confirmed; only with cells",
                    "requestBody": {"required": True, "content": {"application/json": {"schema": word_ref}}},
                    "responses": {
                        "200": {
                            "description": "what the governor now holds true of the tenant",
                            "content": {"application/json": {"schema": confirm_ref}},
                        },
                        **refusals("400", "404", "405", "413", "503"),
                    },
                }
            },
            "/v1/status": {
                "get": {
                    "summary": "The governor in figures, for people and checks",
                    "responses": {
                        "200": {
                            "description": "an object",
                            "content": {"application/json": {"schema": {"type": "object"}}},
                        },
                        **refusals("405"),
                    },
                }
            },
        },
        "components": {"schemas": parts},
    }
