"""Encode rows of the platform's store and define its header names."""

import base64
import json

REQUEST_ID = "Attempt-Id"
KEY = "Api-Key"
PATIENCE = "Deadline-Ms"
LAST_EVENT = "Last-Event-Id"
ENDPOINT_NAME = "Expect-Instance"
NOT_RUN = "Not-Executed"
SIGNATURE = "Server-Stamp"
RATE = "Server-Limit"
LEAVING = "Server-Leaving"
REST = "Retry-After"
PROMPT_PARTS = "Prefix-Hash"
MISDIRECTED_STATUS = 421

OPERATORS = "op"
ENDPOINTS = "servers"
DOCUMENT = "config"


def encode_row(table, key, value, version, part=""):
    """Return a row in the store's JSON form; a value of None means a deletion.

    A dictionary as the value replaces fields of the row.
    """
    row = {"table": table, "part": part, "key": key, "schema_version": version}
    if isinstance(value, dict):
        return row | value
    if value is None:
        return row | {"deleted": True}
    return row | {"value": base64.b64encode(value).decode()}


def encode_document(document):
    """Return the operators' configuration as JSON."""
    routes = [
        {
            "name": route.name,
            "host": "soak.example",
            "prefix": route.prefix,
            "type": route.kind,
            "resumable": True,
            "service": route.service,
            "timeout_ms": document.timeout_ms,
            "slo_ms": 500,
            "priority": route.priority,
            "max_attempts": 2,
            "target_gap_ms": document.longest_pause_ms,
        }
        for route in document.routes
    ]
    services = [{"name": name, "max_conns": 200} for name in document.services]
    for service in services:
        if service["name"] == document.ranked_service:
            service["engine"] = document.engine
    organisations = [encode_organisation(each) for each in document.organisations]
    return json.dumps(
        {
            "version": document.version,
            "routes": routes,
            "services": services,
            "tenants": organisations,
            "limits": {},
        }
    ).encode()


def encode_organisation(organisation):
    """Return an organisation; its priority is left out if it has none."""
    row = {"name": organisation.name, "api_keys": [organisation.key]}
    if organisation.priority is not None:
        row["priority"] = organisation.priority
    return row


def encode_endpoint(endpoint, *, draining):
    """Return an endpoint's row as JSON."""
    return json.dumps(
        {
            "service": endpoint.service,
            "address": endpoint.listed_address,
            "zone": endpoint.zone,
            "version": "v1",
            "slots": endpoint.slots,
            "state": "draining" if draining else "ready",
            "cold_left_ms": 0,
            "seq": 0,
            "born": 1,
        }
    ).encode()


def zone_out_key(zone):
    """Return the key of the row that takes a zone out of service."""
    return f"evacuate/{zone}"
