"""Check that processes write their logs to standard output."""

import asyncio
import json
import sys

import pytest
from support.gateways import free_ports

START_SECONDS = 20.0


async def first_line(module, settings, path):
    """Run a program and return the first line of its standard output, decoded."""
    path.write_text(json.dumps(settings))
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", *module, "--settings", str(path)),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )
    try:
        async with asyncio.timeout(START_SECONDS):
            return json.loads(await process.stdout.readline())
    finally:
        process.kill()
        await process.wait()


@pytest.mark.parametrize(
    ("module", "changes"),
    [
        (("fescuedrum_entry.management", "serve"), {}),
        (
            ("fescuedrum_agent.management",),
            {"endpoint": "e", "service": "s", "endpoint_url": "http://127.0.0.1:1"},
        ),
    ],
    ids=["entry", "agent"],
)
async def test_logs_go_to_standard_output(module, changes, tmp_path):
    """Guard against logs that are lost because they are on standard error.

    Only standard output is collected.
    """
    (port,) = free_ports(1)
    settings = {
        "name": "instance-1",
        "zone": "zone-1",
        "host": "127.0.0.1",
        "port": port,
        "platform_url": "http://127.0.0.1:1",
    }
    line = await first_line(module, settings | changes, tmp_path / "settings.json")
    assert (line["instance"], line["zone"]) == ("instance-1", "zone-1")
    assert line["message"]
