"""Own the processes of a site, each at a loopback address of its own."""

import asyncio
import random
import socket

PORT = 7000
GUARD_PORT = 6999
STOP_SECONDS = 70.0
# Last lines of a log that tell why a process did not come up.
LOG_LINES = 20


def reserve_network():
    """Take a /24 of loopback addresses that no other site on this machine uses.

    The socket that is returned holds the reservation until it is closed.
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
    """Report a process that takes no connections, with the end of what it logged.

    A site's logs are deleted with it, and nobody could tell why it did not come up.
    """

    def __init__(self, member):
        lines = member.log_path.read_text().splitlines()[-LOG_LINES:]
        state = f"code {member.process.returncode}; None is running"
        told = "\n".join(lines) or "nothing"
        super().__init__(f"{member.name} at {member.host} ({state}) logged:\n{told}")


class Member:
    """Own one process of the site."""

    __slots__ = ("command", "host", "log_path", "name", "process")

    def __init__(self, name, host, command, log_path):
        self.name = name
        self.host = host
        self.command = command
        self.log_path = log_path
        self.process = None

    async def start(self):
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log
            )

    async def stop(self):
        """Ask the process to stop and wait; kill it when it doesn't."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.terminate()
        try:
            async with asyncio.timeout(STOP_SECONDS):
                await self.process.wait()
        except TimeoutError:
            await self.kill()

    async def kill(self):
        self.process.kill()
        await self.process.wait()

    @property
    def url(self):
        return f"http://{self.host}:{PORT}"


async def listens(host):
    try:
        _, writer = await asyncio.open_connection(host, PORT)
    except OSError:
        return False
    writer.close()
    return True
