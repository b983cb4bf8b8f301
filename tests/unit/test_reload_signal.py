"""Check that a signal to reload ends no process that is still loading."""

import subprocess
import sys

RELOADED = """
import asyncio, os, signal
from fescuedrum.signals import hold_reload
hold_reload()
os.kill(os.getpid(), signal.SIGHUP)
from fescuedrum.process import on_reload

async def run():
    on_reload(lambda: print("reloaded"))

asyncio.run(run())
"""
LOADED = """
import sys
import fescuedrum_platform.__main__
print("aiohttp" in sys.modules)
"""


def run(program):
    """Return what a program prints; fail when it ends by a signal."""
    ended = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, timeout=30
    )
    assert ended.returncode == 0, ended.stderr
    return ended.stdout.split()


def test_a_reload_that_comes_while_loading_is_done_later():
    """A gateway that was just restarted ends by itself, and its callers are cut off.

    Its settings change as it starts; it is told to reload while it loads its
    libraries, and a signal without a handler ends a process.
    """
    assert run(RELOADED) == ["reloaded"]


def test_the_gateway_holds_the_signal_before_it_loads_its_libraries():
    assert run(LOADED) == ["False"]
