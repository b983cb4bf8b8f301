"""Check that a process stops when one of its tasks fails."""

import asyncio
import subprocess
import sys

from support.clock import run_paused

from fescuedrum.process import cancel, stop_on_failure


def test_a_process_stops_when_a_task_fails_and_not_when_one_is_cancelled():
    """Guard against an entry that looks healthy and sends work to removed members.

    It comes about when the task that follows the instance list ends with an unexpected
    error.
    """

    async def fail():
        await asyncio.sleep(1)
        raise ZeroDivisionError

    async def run():
        stop = asyncio.Event()
        running = asyncio.create_task(asyncio.sleep(100))
        stop_on_failure([running], stop)
        await cancel([running])
        await asyncio.sleep(0)
        assert not stop.is_set()
        stop_on_failure([asyncio.create_task(fail())], stop)
        async with asyncio.timeout(5):
            await stop.wait()

    run_paused(run())


LOAD_COMMANDS = """
import sys
from fescuedrum.management import load_commands
from fescuedrum_bench import commands

print(*load_commands(commands, sys.argv[1:]))
print("fescuedrum_bench.report" in sys.modules)
"""


def load_commands(*arguments):
    """Return the loaded commands, and whether those with reports are among them."""
    command = [sys.executable, "-c", LOAD_COMMANDS, *arguments]
    output = subprocess.run(command, capture_output=True, check=True, text=True).stdout
    names, has_reports = output.splitlines()
    return names.split(), has_reports == "True"


def test_a_command_loads_no_other_command():
    """Guard against a process that starts late, as it loads what only others need."""
    assert load_commands("standin", "engine") == (["standin"], False)
    names, has_reports = load_commands("--help")
    assert {"bench", "load", "standin"} <= set(names)
    assert has_reports
