"""Check that a signal to reload ends no process that is still loading."""

import signal
import subprocess
import sys

import pytest

RELOADED = """
import asyncio, os, signal
from fescuedrum.signals import defer_reload
defer_reload()
os.kill(os.getpid(), signal.SIGHUP)
from fescuedrum.process import on_reload

async def run():
    on_reload(lambda: print("reloaded"))

asyncio.run(run())
"""
LOADED = """
import sys
import {module}
print("aiohttp" in sys.modules)
"""
COMMAND = """
import os, signal
from fescuedrum import management

class Command:
    help = "do"
    reloads = {reloads}

    def add_arguments(self, parser):
        pass

    def handle(self, arguments):
        print("handled")

def load_commands(package, argv):
    os.kill(os.getpid(), signal.SIGHUP)
    return {{"do": Command()}}

management.load_commands = load_commands
management.execute(None, prog="p", description="d", argv=["do"])
"""

GUEST = """
import asyncio, signal
from fescuedrum import management

class Command:
    help = "do"

    def add_arguments(self, parser):
        pass

    def handle(self, arguments):
        return 7

management.load_commands = lambda package, argv: {"do": Command()}
signal.signal(signal.SIGHUP, signal.SIG_IGN)
code = asyncio.run(asyncio.to_thread(
    management.execute, None, prog="p", description="d", argv=["do"]
))
print(code, signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)
"""


def end(program):
    """Run a program to its end."""
    return subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, timeout=30
    )


def run(program):
    """Return what a program prints; fail when it ends by a signal."""
    ended = end(program)
    assert ended.returncode == 0, ended.stderr
    return ended.stdout.split()


def test_a_reload_that_comes_while_loading_is_done_later():
    """A gateway that was just restarted ends by itself, and its callers are cut off.

    Its settings change as it starts; it is told to reload while it loads its
    libraries, and a signal without a handler ends a process.
    """
    assert run(RELOADED) == ["reloaded"]


@pytest.mark.parametrize(
    "module",
    [
        "fescuedrum_platform.__main__",
        "fescuedrum_entry.management",
        "fescuedrum_agent.management",
    ],
)
def test_programs_hold_the_signal_before_they_load_their_libraries(module):
    assert run(LOADED.format(module=module)) == ["False"]


def test_a_command_that_reloads_lives_on_and_another_ends():
    """A terminal closes, and a command that was left in it goes on for ever.

    The signal that tells of it is the one that lets a process reload its settings.
    """
    assert run(COMMAND.format(reloads=True)) == ["handled"]
    assert end(COMMAND.format(reloads=False)).returncode == -signal.SIGHUP


def test_a_command_in_a_thread_runs_and_leaves_the_signal_alone():
    """A program that runs a command beside its other work gets a ValueError instead.

    It calls the command in a thread, as the command blocks; only the main thread may
    set a handler, and the handler there is the program's own.
    """
    assert run(GUEST) == ["7", "True"]
