"""Start and stop the processes of a site, each at its own loopback address."""

import asyncio
import random
import socket

PORT = 7000
# Bound as long as a site has its network.
GUARD_PORT = 6999
STOP_SECONDS = 70.0
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
    """A process accepts no connections; the message has the end of its log.

    A site's logs are deleted with the site, so the cause would be lost otherwise.
    """

    def __init__(self, member):
        lines = member.log_path.read_text().splitlines()[-LOG_LINES:]
        state = f"code {member.process.returncode}; None is running"
        log_end = "\n".join(lines) or "nothing"
        super().__init__(f"{member.name} at {member.host} ({state}) logged:\n{log_end}")


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

    @property
    def url(self):
        """Return the base URL of the process."""
        return f"http://{self.host}:{PORT}"


async def listens(host):
    """Return whether a host accepts connections."""
    try:
        _, writer = await asyncio.open_connection(host, PORT)
    except OSError:
        return False
    writer.close()
    return True
