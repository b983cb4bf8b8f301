"""Start, signal and stop real gateway processes."""

import asyncio
import json
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from fescuedrum_bench.faultproxy import FaultProxy

# A gateway is ready 0.5 s after its start; a busy machine is far slower.
START_SECONDS = 15.0
READY_POLL_SECONDS = 0.1
# Time beyond stop_seconds after which a process counts as late and is killed.
KILL_SECONDS = 3.0


@dataclass(slots=True, frozen=True)
class Ports:
    """Hold the ports of every gateway; each gateway has its own address."""

    callers: int
    ready: int
    peers: int


class GatewayProcess:
    """Manage one gateway process and the proxy between it and the store."""

    def __init__(self, number, ports, directory, stop_seconds):
        self.name = f"gateway-{number}"
        self.host = f"127.0.1.{number + 1}"
        self.zone = f"zone-{number % 3 + 1}"
        self.ports = ports
        self.directory = directory
        self.stop_seconds = stop_seconds
        self.store_proxy = None
        self.process = None
        # Whether the process is meant to run.
        self.should_run = False
        self.starts = 0

    @property
    def url(self):
        return f"http://{self.host}:{self.ports.callers}"

    @property
    def ready_url(self):
        return f"http://{self.host}:{self.ports.ready}/readyz"

    async def open(self, store_port, seeds):
        """Start the proxy to the store and write the settings."""
        self.store_proxy = FaultProxy("127.0.0.1", store_port)
        await self.store_proxy.start("127.0.0.1", 0)
        port = self.store_proxy.server.sockets[0].getsockname()[1]
        settings = {
            "name": self.name,
            "zone": self.zone,
            "host": self.host,
            "callers_address": f"{self.host}:{self.ports.callers}",
            "ready_address": f"{self.host}:{self.ports.ready}",
            "peer_port": self.ports.peers,
            "platform_url": f"http://127.0.0.1:{port}",
            "seeds": [f"{host}:1" for host in seeds],
            "stop_seconds": self.stop_seconds,
        }
        self.settings_path.write_text(json.dumps(settings))

    @property
    def settings_path(self):
        return self.directory / f"{self.name}.json"

    @property
    def log_path(self):
        return self.directory / f"{self.name}.log"

    def start(self):
        """Start the process; its output is appended to the log."""
        self.should_run = True
        self.starts += 1
        command = [sys.executable, "-m", "fescuedrum_platform"]
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [*command, "--settings", str(self.settings_path)],
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def running(self):
        return self.process is not None and self.process.poll() is None

    @property
    def ended_unexpectedly(self):
        return self.should_run and not self.running

    def logged_exceptions(self):
        """Return the lines of the log that tell of an unhandled exception."""
        lines = self.log_path.read_text().splitlines()
        return [line for line in lines if tells_of_exception(line)]

    def send_signal(self, number):
        if self.running:
            self.process.send_signal(number)

    def handles_signal(self, number):
        """Return whether the process has a handler for a signal."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        (mask,) = (line for line in status.splitlines() if line.startswith("SigCgt"))
        return bool(int(mask.split()[1], 16) >> (number - 1) & 1)

    async def wait_until_ready(self, session):
        """Wait until the gateway is ready; raise TimeoutError if it takes too long."""
        async with asyncio.timeout(START_SECONDS):
            while not await self.is_ready(session):
                await asyncio.sleep(READY_POLL_SECONDS)

    async def is_ready(self, session):
        return (await self.read_version(session))[0]

    async def read_version(self, session):
        """Return (ready, version of the configuration); (False, None) on failure."""
        timeout = aiohttp.ClientTimeout(total=0.5)
        try:
            async with session.get(self.ready_url, timeout=timeout) as answer:
                body = await answer.json()
                return answer.status == 200, body["version"]
        except (TimeoutError, aiohttp.ClientError, OSError):
            return False, None

    async def end(self, signal_number=signal.SIGTERM):
        """Signal the process and wait for its end.

        Return whether it ended in time; it is killed otherwise.
        """
        self.should_run = False
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal_number)
        loop = asyncio.get_running_loop()
        latest = loop.time() + self.stop_seconds + KILL_SECONDS
        while self.running and loop.time() < latest:
            await asyncio.sleep(0.02)
        if self.running:
            self.process.kill()
            self.process.wait()
            return False
        return True

    async def close(self):
        await self.end(signal.SIGKILL)
        await self.store_proxy.stop()


def tells_of_exception(line):
    """Return whether a line of a log has a traceback, or is not of the log's format."""
    try:
        return "exception" in json.loads(line)
    except ValueError:
        return True
