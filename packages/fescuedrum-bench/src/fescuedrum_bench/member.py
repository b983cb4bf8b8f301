"""Start and stop the processes of a site, each at its own loopback address."""

import asyncio
import random
import socket
import time

import psutil

PORT = 7000
# Bound as long as a site has its network.
GUARD_PORT = 6999
STOP_SECONDS = 70.0
# Longest attempt to connect to a process that may not be up yet.
CONNECT_SECONDS = 1.0
# Last lines of the log that are shown when a process did not start.
LOG_LINES = 20


def reserve_network():
    """Return the prefix of an unused /24 of loopback addresses and its guard socket.

    The network stays reserved on this machine until the socket is closed.
    """
    chooser = random.SystemRandom()
    while True:
        prefix = f"127.{chooser.randrange(1, 250)}.{chooser.randrange(1, 250)}"
        guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            guard.bind((f"{prefix}.1", GUARD_PORT))
        except OSError:
            guard.close()
            continue
        return prefix, guard


class MemberNotUpError(Exception):
    """A process accepts no connections; the message has its state and its log's end.

    A site's logs are deleted with the site, so the cause would be lost otherwise.
    """

    def __init__(self, member, last_error):
        lines = member.log_path.read_text().splitlines()[-LOG_LINES:]
        log_end = "\n".join(lines) or "nothing"
        super().__init__(
            f"{member.name} at {member.host} ({member.describe_process()}; last "
            f"attempt to connect: {last_error}) logged:\n{log_end}"
        )


class Member:
    """Run one process of the site and hold its command, address and log."""

    __slots__ = ("command", "host", "log_path", "name", "process")

    def __init__(self, name, host, command, log_path):
        self.name = name
        self.host = host
        self.command = command
        self.log_path = log_path
        self.process = None

    async def start(self):
        """Start the process, which appends its output to the log file."""
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log
            )

    async def stop(self):
        """Send SIGTERM and wait; kill the process if it doesn't end in time."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.terminate()
        try:
            async with asyncio.timeout(STOP_SECONDS):
                await self.process.wait()
        except TimeoutError:
            await self.kill()

    async def kill(self):
        """Kill the process and wait until it has ended."""
        self.process.kill()
        await self.process.wait()

    def describe_process(self):
        """Return the exit code, or what shows why a running process is not ready.

        Little processor time tells a process that gets none from one that is busy, and
        its state one that waits for the disk (D) or for an event (S).
        """
        if self.process.returncode is not None:
            return f"ended with code {self.process.returncode}"
        try:
            process = psutil.Process(self.process.pid)
            used = process.cpu_times()
            return (
                f"runs for {time.time() - process.create_time():.1f} s, state "
                f"{process.status()}, {used.user + used.system:.1f} s of processor time"
            )
        except psutil.Error as error:
            return f"unknown: {error!r}"

    @property
    def url(self):
        """Return the base URL of the process."""
        return f"http://{self.host}:{PORT}"


async def connection_error(host):
    """Return why a host accepts no connection, or None if it accepts one.

    Without a time limit, an attempt whose first packet is lost would be the only one.
    """
    try:
        async with asyncio.timeout(CONNECT_SECONDS):
            _, writer = await asyncio.open_connection(host, PORT)
    except OSError as error:
        return repr(error)
    writer.close()
    return None
