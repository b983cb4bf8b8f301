"""Check that a gateway refuses prompts at which its endpoints end."""

import asyncio

from support import engines
from support.engines import StandInEndpoint
from support.gateways import call, running_gateway, site
from support.routing import build_route, build_routing_document

from fescuedrum.conf.routing import RequestKind

# Longer than the time within which ends count as one.
PROMPT_SECONDS = 0.1
DOCUMENT = build_routing_document(
    routes=(build_route(kind=RequestKind.RESUMABLE_STREAM),)
)


def build_endpoints(count):
    """Return endpoints that end as they begin an answer to a prompt with the part x."""

    def build(number):
        async def answer(seen):
            if "x" not in seen["Parts"].split():
                await engines.streaming(1, 3)(seen)
                return
            await asyncio.sleep(PROMPT_SECONDS)
            endpoint.server.close()
            engines.reset(seen)

        endpoint = StandInEndpoint(f"e-{number}", answer)
        return endpoint

    return [build(number) for number in range(count)]


def count_ended(endpoints):
    return sum(not each.server.is_serving() for each in endpoints)


async def test_two_endpoints_end_at_a_part_and_a_restart_forgets_nothing():
    """Guard against gateways that learn the part anew after all were restarted."""
    endpoints = build_endpoints(4)
    async with site(*endpoints, document=DOCUMENT) as (running, session):
        await call(running, session, Parts="a x b")
        await running.until(lambda gateway: gateway.quarantine.quarantine.blocking)
        assert count_ended(endpoints) == 2
        status, headers, _ = await call(running, session, Parts="a x b")
        assert status == 503
        assert float(headers["Retry-After"]) > 30
        # Not known to be the cause, as both ended endpoints had all three parts.
        assert (await call(running, session, Parts="a b"))[0] == 200
        assert (await call(running, session, Parts="c x"))[0] == 503
        store = running.gateway.adapter.store
        await running.until(lambda _: store.tables.get("quarantine"))
        await running.end()
        async with running_gateway(store) as other:
            await other.until(lambda gateway: gateway.quarantine.quarantine.blocking)
            assert (await call(other, session, Parts="c x"))[0] == 503
        assert count_ended(endpoints) == 2


async def test_a_gateway_is_told_by_another_one():
    """Guard against endpoints that a gateway loses to what others know already."""
    endpoints = build_endpoints(4)
    async with site(*endpoints, document=DOCUMENT) as (running, session):
        store = running.gateway.adapter.store
        store.away = True
        settings = running.gateway.settings
        await call(running, session, Parts="a x b")
        await running.until(lambda gateway: gateway.quarantine.quarantine.blocking)
        store.away = False
        store.tables.pop("quarantine", None)
        addresses = (settings.callers_address, settings.ready_address)
        ports = [int(each.split(":")[1]) for each in addresses]
        ports.append(settings.peer_port)
        async with running_gateway(
            store, host="127.0.0.2", ports=ports, seeds=("127.0.0.1:1",)
        ) as other:
            await other.until(lambda gateway: gateway.quarantine.quarantine.blocking)
            assert (await call(other, session, Parts="a x b"))[0] == 503
        assert count_ended(endpoints) == 2


class DroppingEndpoint(StandInEndpoint):
    """Reset each new connection once it drops them, as a proxy or a full one does."""

    drops = False

    async def serve(self, reader, writer):
        if self.drops:
            writer.transport.abort()
            return
        await super().serve(reader, writer)


def build_dropping(count):
    """Return endpoints that break a request with the part x off, and then drop all."""

    def build(number):
        async def answer(seen):
            if "x" not in seen["Parts"].split():
                await engines.streaming(1, 30, pause=0.05)(seen)
                return
            await asyncio.sleep(PROMPT_SECONDS)
            endpoint.drops = True
            engines.reset(seen)

        endpoint = DroppingEndpoint(f"e-{number}", answer)
        return endpoint

    return [build(number) for number in range(count)]


async def test_an_endpoint_that_ends_behind_a_proxy_is_found():
    """Guard against a proxy that accepts connections for endpoints that have ended."""
    endpoints = build_dropping(4)
    async with site(*endpoints, document=DOCUMENT) as (running, session):
        await call(running, session, Parts="a x b")
        await running.until(lambda gateway: gateway.quarantine.quarantine.blocking)
        assert (await call(running, session, Parts="a x b"))[0] == 503
        assert sum(each.drops for each in endpoints) == 2


async def test_a_full_endpoint_that_drops_connections_has_not_ended():
    """Guard against blaming a request whose connection a busy engine has reset."""
    endpoints = build_dropping(1)
    async with site(*endpoints, document=DOCUMENT) as (running, session):
        stream = asyncio.create_task(call(running, session, Parts="a b"))
        await running.until(lambda _: endpoints[0].seen)
        await call(running, session, Parts="a x b")
        await running.until(lambda gateway: not gateway.quarantine.checks.tasks)
        assert endpoints[0].drops
        assert not running.gateway.quarantine.quarantine.suspects
        assert (await stream)[0] == 200


async def test_a_closed_connection_at_an_endpoint_that_goes_on_is_no_end():
    """Guard against refusing prompts because an engine spoils its answers."""

    async def answer(seen):
        await asyncio.sleep(0)
        engines.reset(seen)

    endpoints = [StandInEndpoint(f"e-{number}", answer) for number in range(3)]
    async with site(*endpoints, document=DOCUMENT) as (running, session):
        for _ in range(3):
            assert (await call(running, session, Parts="a x b"))[0] == 502
        await running.until(lambda gateway: not gateway.quarantine.checks.tasks)
        assert not running.gateway.quarantine.quarantine.suspects
