"""Run a gateway in a process of its own, whose end closes its connections, too."""

import asyncio
import contextlib
import logging
import signal
import sys
from pathlib import Path

from fescuedrum.conf.routing import RequestKind
from fescuedrum.logs import JsonLinesFormatter
from fescuedrum.process import stop_event
from fescuedrum_gateway.process.gateway import Gateway
from support.dialect import MemoryRowStore, PlainAdapter
from support.gateways import build_settings, free_ports
from support.routing import build_endpoint, build_route, build_routing_document

HOST = "127.0.0.1"
# Enough for all callers of a test at once.
SLOTS = 2000
ROUTES = (
    build_route(),
    build_route("streams", prefix="/streams/", kind=RequestKind.STREAM, timeout=60.0),
    build_route("uploads", prefix="/uploads/", timeout=60.0),
)
TESTS = Path(__file__).parents[1]


@contextlib.asynccontextmanager
async def gateway_process(endpoint_port, stop_seconds, memory_megabytes=0.0):
    """Run a gateway with one endpoint; yield (process, port for callers)."""
    ports = free_ports(3)
    arguments = [*ports, endpoint_port, stop_seconds, memory_megabytes]
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "support.gateway_process", *map(str, arguments)),
        cwd=TESTS,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(20):
            await process.stdout.readline()
        yield process, ports[0]
    finally:
        if process.returncode is None:
            process.send_signal(signal.SIGKILL)
        await process.wait()


def log_warnings():
    """Write warnings, such as stalls of the event loop, to standard error."""
    handler = logging.StreamHandler()
    handler.setFormatter(JsonLinesFormatter({}))
    logging.basicConfig(level=logging.WARNING, handlers=[handler])


async def serve(ports, endpoint_port, stop_seconds, memory_megabytes):
    """Run a gateway until SIGTERM; print a line once it is ready."""
    store = MemoryRowStore()
    store.put("operators", "document", build_routing_document(routes=ROUTES))
    store.put(
        "endpoints", "e-1", build_endpoint("e-1", port=endpoint_port, slots=SLOTS)
    )
    settings = build_settings(
        "gateway-1",
        HOST,
        ports,
        stop_seconds=stop_seconds,
        memory_megabytes=memory_megabytes,
    )
    gateway = Gateway(settings, PlainAdapter(store), incarnation=1)
    running = asyncio.create_task(gateway.run(stop_event()))
    while not gateway.ready:
        await asyncio.sleep(0.01)
    print("ready", flush=True)
    await running


if __name__ == "__main__":
    log_warnings()
    *ports, endpoint_port = (int(word) for word in sys.argv[1:-2])
    asyncio.run(serve(ports, endpoint_port, *map(float, sys.argv[-2:])))
