"""Draw random faults and inject them."""

import asyncio
import signal
from dataclasses import dataclass, replace

from fescuedrum_bench.faultproxy import Mode
from soak import wire
from soak.store import StoreMode

LONGEST_FAULT_SECONDS = 3.0
RESTART_SECONDS = 0.5
# Time of a map change whose orders are all answered.
LONGEST_CHANGE_SECONDS = 0.25
# An endpoint serves for this long after it announced that it is draining.
DRAIN_SECONDS = 2.5
DELAY_SECONDS = 0.3
# The interpreter starts within about 30 ms on an idle machine.
POLL_SECONDS = 0.01
INTERPRETER_POLLS = 100
# Longer than the seconds that gateways have before they must follow a rate limit.
RATE_LIMIT_SECONDS = (5.0, 12.0)
# An endpoint serves for this long after it announced in an answer that it leaves.
ANNOUNCED_SECONDS = 6.0
# Versions that concurrent operators write in quick succession.
RACING_CHANGES = 3


@dataclass(slots=True, frozen=True)
class StoreFault:
    """Put the store into a faulty mode for all of its clients."""

    mode: StoreMode
    seconds: float


@dataclass(slots=True, frozen=True)
class HistoryLost:
    """Make the store forget its history of changes."""


@dataclass(slots=True, frozen=True)
class PathFault:
    """Disrupt the connections of one gateway to the store, or those to one endpoint."""

    target: str
    # "partition", "refuse", "delay", "silence" or "reset".
    how: str
    seconds: float


@dataclass(slots=True, frozen=True)
class EndpointFault:
    """Make an endpoint refuse all requests or abort some of them."""

    target: str
    refuses: bool
    seconds: float


@dataclass(slots=True, frozen=True)
class EndpointInNeed:
    """Make an endpoint announce a rate limit in requests per second."""

    target: str
    rate: float
    seconds: float


@dataclass(slots=True, frozen=True)
class EndpointRests:
    """Make an endpoint refuse all requests and ask for rest."""

    target: str
    rest: float
    seconds: float


@dataclass(slots=True, frozen=True)
class EndpointLeaves:
    """Replace an endpoint that announces its leave in its answers only."""

    target: str


@dataclass(slots=True, frozen=True)
class EndpointReplaced:
    """Replace an endpoint by a new one, after it drained or crashed."""

    target: str
    announced: bool


@dataclass(slots=True, frozen=True)
class GatewayPausedInChange:
    """Suspend a gateway some time after the next order to a rank of the group."""

    target: str
    delay_seconds: float
    seconds: float


@dataclass(slots=True, frozen=True)
class OrdersUnanswered:
    """Let a share of the orders to ranks be lost, and as many be carried out late."""

    share: float
    seconds: float


@dataclass(slots=True, frozen=True)
class GatewayKilled:
    """Kill a gateway process and start it again."""

    target: str


@dataclass(slots=True, frozen=True)
class GatewayPaused:
    """Suspend a gateway process with SIGSTOP for a while."""

    target: str
    seconds: float


@dataclass(slots=True, frozen=True)
class GatewayStopped:
    """Stop a gateway process gracefully and start it again."""

    target: str


@dataclass(slots=True, frozen=True)
class SettingsReloaded:
    """Signal a gateway process to reload its settings."""

    target: str


@dataclass(slots=True, frozen=True)
class ZoneTakenOut:
    """Take a zone out of service and put it back."""

    zone: str
    seconds: float


@dataclass(slots=True, frozen=True)
class DocumentChanged:
    """Write several versions of the configuration in quick succession."""

    count: int


def draw_fault(random, site):
    """Return a random fault for the current gateways and endpoints."""
    seconds = random.uniform(0.3, LONGEST_FAULT_SECONDS)
    gateway = random.choice(site.gateways).name
    endpoint = random.choice(site.endpoints).name
    how = random.choice(("partition", "refuse", "delay", "silence", "reset"))
    modes = [mode for mode in StoreMode if mode is not StoreMode.SERVING]
    return random.choice(
        (
            StoreFault(random.choice(modes), seconds),
            HistoryLost(),
            PathFault(gateway, how, seconds),
            PathFault(endpoint, how, seconds),
            EndpointFault(endpoint, random.random() < 0.5, seconds),
            EndpointReplaced(endpoint, random.random() < 0.6),
            GatewayKilled(gateway),
            GatewayPaused(gateway, seconds),
            GatewayStopped(gateway),
            SettingsReloaded(gateway),
            ZoneTakenOut(f"zone-{random.randint(1, 3)}", seconds + DRAIN_SECONDS),
            DocumentChanged(random.randint(1, RACING_CHANGES)),
        )
    )


def draw_rate_limit(random, site):
    """Return a random rate limit for one of the current endpoints."""
    return EndpointInNeed(
        random.choice(site.endpoints).name,
        round(random.choice((0.0, random.uniform(0.1, 1.0), random.uniform(1, 8))), 2),
        random.uniform(*RATE_LIMIT_SECONDS),
    )


def draw_notice(random, site):
    """Return a random notice of one of the current endpoints."""
    endpoint = random.choice(site.endpoints).name
    if random.random() < 0.3:
        return EndpointLeaves(endpoint)
    return EndpointRests(
        endpoint,
        rest=random.choice((0.3, 1.0, 3.0, 5.5)),
        seconds=random.uniform(1.0, 2 * LONGEST_FAULT_SECONDS),
    )


def draw_group_fault(random, site):
    """Return a random fault of a gateway that leads or would lead, or of orders."""
    seconds = random.uniform(0.3, LONGEST_FAULT_SECONDS)
    delay = random.uniform(0.0, LONGEST_CHANGE_SECONDS)
    first, second = (each.name for each in site.gateways[:2])
    leader = random.choice((first, first, first, second))
    return random.choice(
        (
            GatewayPausedInChange(leader, delay, seconds),
            GatewayPausedInChange(leader, delay, seconds),
            GatewayPausedInChange(leader, delay, seconds),
            GatewayPaused(leader, seconds),
            GatewayKilled(leader),
            GatewayStopped(leader),
            OrdersUnanswered(round(random.uniform(0.1, 0.4), 2), seconds),
            DocumentChanged(random.randint(1, RACING_CHANGES)),
        )
    )


async def inject(fault, site):
    """Inject a fault, end it and record what it disturbed in between."""
    match fault:
        case StoreFault(mode, seconds):
            with site.record_disturbance("store"):
                site.store.mode = mode
                await asyncio.sleep(seconds)
                site.store.mode = StoreMode.SERVING
        case HistoryLost():
            with site.record_disturbance("store"):
                site.store.forget_history()
        case PathFault():
            await disrupt_path(fault, site)
        case EndpointFault(target, refuses, seconds):
            await disrupt_endpoint(site.endpoint(target), refuses, seconds, site)
        case EndpointInNeed(target, rate, seconds):
            await limit_rate(site.endpoint(target), rate, seconds)
        case EndpointRests(target, rest, seconds):
            await ask_for_rest(site.endpoint(target), rest, seconds)
        case EndpointLeaves(target):
            await announce_leave(site.endpoint(target), site)
        case EndpointReplaced(target, announced):
            await replace_endpoint(site.endpoint(target), announced, site)
        case GatewayKilled(target):
            await kill_gateway(site.gateway(target), site)
        case GatewayPaused(target, seconds):
            await pause_gateway(site.gateway(target), seconds, site)
        case GatewayPausedInChange(target, delay_seconds, seconds):
            await site.ranks.wait_for_order()
            await asyncio.sleep(delay_seconds)
            await pause_gateway(site.gateway(target), seconds, site)
        case GatewayStopped(target):
            await stop_gateway(site.gateway(target), site)
        case SettingsReloaded(target):
            await reload_settings(site.gateway(target))
        case ZoneTakenOut(zone, seconds):
            await take_zone_out(zone, seconds, site)
        case OrdersUnanswered(share, seconds):
            group = site.ranks.group
            group.late = group.lost = share / 2
            await asyncio.sleep(seconds)
            group.late = group.lost = 0.0
        case DocumentChanged(count):
            for _ in range(count):
                change_document(site)


async def reload_settings(gateway):
    """Send the reload signal once the process handles it.

    No program can handle a signal while the interpreter is still starting.
    """
    for _ in range(INTERPRETER_POLLS):
        if not gateway.running or gateway.handles_signal(signal.SIGHUP):
            break
        await asyncio.sleep(POLL_SECONDS)
    gateway.send_signal(signal.SIGHUP)


async def disrupt_path(fault, site):
    """Apply a PathFault to its proxy for its duration."""
    gateway = site.gateway(fault.target)
    endpoint = site.endpoint(fault.target)
    if gateway is None and endpoint is None:
        return
    proxy = gateway.store_proxy if gateway is not None else endpoint.proxy
    with site.record_disturbance(fault.target):
        match fault.how:
            case "partition":
                proxy.mode = Mode.PARTITION
            case "refuse":
                proxy.mode = Mode.REFUSE
                proxy.cut()
            case "delay":
                proxy.delay_seconds = DELAY_SECONDS
            case "silence":
                proxy.silence()
            case "reset":
                proxy.cut()
        await asyncio.sleep(fault.seconds)
        proxy.heal()


async def disrupt_endpoint(endpoint, refuses, seconds, site):
    """Make an endpoint refuse or abort requests for a time."""
    if endpoint is None:
        return
    with site.record_disturbance(endpoint.name):
        endpoint.refuses, endpoint.fails = refuses, not refuses
        await asyncio.sleep(seconds)
        endpoint.refuses = endpoint.fails = False


async def limit_rate(endpoint, rate, seconds):
    """Make an endpoint announce a rate limit for a time, unless it has one."""
    if endpoint is None or endpoint.rate_limit is not None:
        return
    endpoint.start_rate_limit(rate)
    await asyncio.sleep(seconds)
    endpoint.end_rate_limit()


async def ask_for_rest(endpoint, rest, seconds):
    """Make an endpoint refuse all requests and ask for rest for a time."""
    if endpoint is None or endpoint.rest:
        return
    endpoint.rest = rest
    await asyncio.sleep(seconds)
    endpoint.rest = 0.0


async def announce_leave(endpoint, site):
    """Replace an endpoint that stays listed as ready until it ends."""
    if endpoint is None or endpoint.name in site.leaving:
        return
    site.leaving.add(endpoint.name)
    await site.add_endpoint(endpoint.service, endpoint.zone)
    endpoint.leaving = True
    await asyncio.sleep(ANNOUNCED_SECONDS)
    site.store.put(wire.ENDPOINTS, endpoint.name, None)
    site.record_departure(endpoint.name)
    await asyncio.sleep(DRAIN_SECONDS)
    await site.remove_endpoint(endpoint)


async def replace_endpoint(endpoint, announced, site):
    """Add an endpoint and drain or crash the one that it replaces."""
    if endpoint is None or endpoint.name in site.leaving:
        return
    site.leaving.add(endpoint.name)
    await site.add_endpoint(endpoint.service, endpoint.zone)
    if announced:
        line = wire.encode_endpoint(endpoint, draining=True)
        site.store.put(wire.ENDPOINTS, endpoint.name, line)
        site.record_departure(endpoint.name)
        await asyncio.sleep(DRAIN_SECONDS)
        await site.remove_endpoint(endpoint)
        return
    with site.record_disturbance(endpoint.name):
        endpoint.proxy.mode = Mode.REFUSE
        endpoint.proxy.cut()
        await asyncio.sleep(DRAIN_SECONDS)
        await site.remove_endpoint(endpoint)


async def kill_gateway(gateway, site):
    """Kill a gateway process and start it again."""
    if not gateway.should_run:
        return
    with site.record_disturbance(gateway.name):
        await gateway.end(signal.SIGKILL)
        await restart_gateway(gateway, site)


async def stop_gateway(gateway, site):
    """Stop a gateway gracefully, record a finding if it is late, and restart it."""
    if not gateway.should_run:
        return
    with site.record_stop(gateway.name):
        if not await gateway.end(signal.SIGTERM):
            site.findings.append(f"{gateway.name} did not stop in its time")
        await restart_gateway(gateway, site)


async def restart_gateway(gateway, site):
    """Start a gateway after a pause, unless the run is ending."""
    await asyncio.sleep(RESTART_SECONDS)
    if not site.closing:
        gateway.start()


async def pause_gateway(gateway, seconds, site):
    """Suspend a gateway process for a time."""
    with site.record_disturbance(gateway.name):
        gateway.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        gateway.send_signal(signal.SIGCONT)


async def take_zone_out(zone, seconds, site):
    """Take a zone out of service for a time, unless another one is out."""
    if zone in site.zones_out or site.zones_out:
        return
    key = wire.zone_out_key(zone)
    site.store.put(wire.OPERATORS, key, b"{}")
    with site.record_zone_out(zone):
        await asyncio.sleep(seconds)
    site.store.put(wire.OPERATORS, key, None)


def change_document(site):
    """Write a newer version of the configuration with the same contents."""
    version = site.document.version + site.random.randint(1, 5)
    site.put_document(replace(site.document, version=version))
