"""Check that odd rows of the store harm neither real gateways nor their restart."""

import asyncio

import pytest
from soak import wire
from soak.callers import Ending
from soak.site import SERVICES
from support import odd_rows
from support.restarted_site import (
    GATEWAYS,
    logged,
    restart_all,
    running_site,
    send_each_kind,
)

# Nothing listens there.
CLOSED = "127.0.0.1:9"
# Address, field and its JSON text: an address that is none, and a number that is too
# large or of another type.
ROWS = {
    "address": ("999.1.2.3:80", "seq", "4"),
    "name": ("host.invalid:80", "seq", "4"),
    "address and huge seq": ("10.0.0.256:8080", "seq", odd_rows.HUGE),
    "address and huge time": ("999.1.2.3:80", "cold_left_ms", odd_rows.HUGE),
    "address and slots as text": ("10.1:8080", "slots", '"6"'),
    "no address and huge slots": ("no address", "slots", odd_rows.HUGE),
    "no port and time as text": ("10.0.0.9", "cold_left_ms", '"0"'),
    "huge seq": (CLOSED, "seq", odd_rows.HUGE),
    "seq as text": (CLOSED, "seq", '"4"'),
    "version as number": (CLOSED, "version", "1"),
}
# Fields of the row as the store returns it.
UNREADABLE = {
    "value that is no text": {"value": 7},
    "value that is no base64": {"value": "a"},
    "no value": {},
    "key that is no text": {"key": 7, "value": ""},
    "key that is no Unicode": {"key": "\ud800", "value": ""},
    "version as text": {"schema_version": "1", "value": ""},
    "huge version": {"schema_version": 10**400, "value": ""},
}
STARTS = 2
# A change arrives within milliseconds.
CHANGE_SECONDS = 0.5


def odd_name(service):
    """Return the name of the odd row of a service, which is read before the others."""
    return f"a-odd-{service}"


@pytest.mark.parametrize(("address", "field", "text"), ROWS.values(), ids=list(ROWS))
async def test_an_odd_row_harms_no_restart_of_all_processes(
    address, field, text, tmp_path
):
    """Guard against a restart after which one odd row stops the service."""

    def put_odd_rows(store):
        for service in SERVICES:
            row = odd_rows.raw_with(field, text, service=service, address=address)
            store.put(wire.ENDPOINTS, odd_name(service), row)

    async with running_site(tmp_path, put_odd_rows) as site:
        records = await send_each_kind(site, "first")
        await restart_all(site)
        records += await send_each_kind(site, "second")
    odd = [odd_name(service) for service in SERVICES]
    sent_to = {event["endpoint"] for event in logged(site, "request sent")}
    failed = [each for each in records if each.ending is not Ending.ANSWERED]
    exceptions = [line for each in site.gateways for line in each.logged_exceptions()]
    assert (failed, sent_to.intersection(odd), exceptions) == ([], set(), [])
    left_out = logged(site, "endpoint row not understood")
    assert sorted(event["row"] for event in left_out) == sorted(odd * GATEWAYS * STARTS)


@pytest.mark.parametrize("fields", UNREADABLE.values(), ids=list(UNREADABLE))
async def test_an_unreadable_row_harms_no_restart_of_all_processes(fields, tmp_path):
    """Guard against a table of which nothing is read because of one row."""

    def put_unreadable_row(store):
        store.put(wire.ENDPOINTS, "a-odd", fields)

    async with running_site(tmp_path, put_unreadable_row) as site:
        records = await send_each_kind(site, "first")
        site.store.put(wire.ENDPOINTS, "z-odd", fields)
        await restart_all(site)
        records += await send_each_kind(site, "second")
        site.store.put(wire.ENDPOINTS, "b-odd", fields)
        await asyncio.sleep(CHANGE_SECONDS)
        records += await send_each_kind(site, "third")
    assert [each for each in records if each.ending is not Ending.ANSWERED] == []
    assert logged(site, "store lost") == []


@pytest.mark.parametrize("value", [b"{}", None], ids=["written", "deleted"])
async def test_rows_of_another_part_change_nothing(value, tmp_path):
    """Guard against rows of other parts of a table, which the feed returns as well."""
    async with running_site(tmp_path, lambda store: None) as site:
        store = site.store
        for endpoint in site.endpoints:
            store.put(wire.ENDPOINTS, endpoint.name, value, part="other")
        store.put(wire.OPERATORS, wire.DOCUMENT, value, part="other")
        for zone in site.zones:
            store.put(wire.OPERATORS, wire.zone_out_key(zone), value, part="other")
        await asyncio.sleep(CHANGE_SECONDS)
        records = await send_each_kind(site, "first")
        await restart_all(site)
        records += await send_each_kind(site, "second")
    assert [each for each in records if each.ending is not Ending.ANSWERED] == []
    for message in ("endpoint row not understood", "endpoint unlisted", "zone out"):
        assert logged(site, message) == []
