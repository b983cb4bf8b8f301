"""Check log fields, the agent's health routes, settings checks and reference pages."""

import json
import logging
import pathlib

import aiohttp
import pytest
from support.callers import build_entry
from support.peers import Authority, build_key

from fescuedrum import logs, process
from fescuedrum.checks import Level
from fescuedrum.conf import schema
from fescuedrum.logs import JsonLinesFormatter, request_context
from fescuedrum_agent.conf import AgentSettings
from fescuedrum_agent.process.agent import Agent
from fescuedrum_agent.process.operations import Operations
from fescuedrum_bench.commands import docs
from fescuedrum_entry.conf import EntrySettings

ENTRY = {"name": "e", "zone": "z", "host": "10.0.0.5", "port": 7000}
ENTRY |= {"platform_url": "http://10.0.0.2:1"}
AGENT = ENTRY | {"endpoint": "x", "service": "s", "endpoint_url": "http://10.0.0.5:1"}


def test_each_log_line_names_request_organisation_zone_and_version(monkeypatch):
    monkeypatch.setitem(logs.live_fields, "version", lambda: 7)
    record = logging.LogRecord("x", logging.INFO, "f", 1, "said", (), None)
    token = request_context.set({"request": "r1", "organisation": "club"})
    line = json.loads(JsonLinesFormatter({"zone": "zone-1"}).format(record))
    request_context.reset(token)
    assert line["message"] == "said"
    assert [line[name] for name in ("request", "organisation", "zone", "version")] == [
        "r1",
        "club",
        "zone-1",
        7,
    ]


async def test_a_draining_agent_is_alive_but_not_ready():
    settings = schema.load(AgentSettings, AGENT | {"host": "127.0.0.1"}).unwrap()
    agent = Agent(settings, 1)
    operations = Operations(agent)
    await operations.start()
    assert not operations.runner.addresses, "port 0 must keep the listener off"
    await operations.runner.setup()
    site = aiohttp.web.TCPSite(operations.runner, "127.0.0.1", 0)
    await site.start()
    base = f"http://127.0.0.1:{operations.runner.addresses[0][1]}"
    agent.configuration.version = 1
    statuses = []
    async with aiohttp.ClientSession() as session:
        for leaving in (False, True):
            agent.gate.leaving = leaving
            for path in ("/healthz", "/readyz"):
                async with session.get(base + path) as response:
                    statuses.append(response.status)
        async with session.get(f"{base}/metrics") as response:
            text = await response.text()
    await operations.stop()
    assert statuses == [200, 200, 200, 503]
    assert "fescuedrum_leaving 1.0" in text


@pytest.mark.parametrize(
    ("cls", "base", "changes", "path"),
    [
        (EntrySettings, ENTRY, {"host": "entry.example"}, "$.host"),
        (EntrySettings, ENTRY, {"platform_url": "platform:1"}, "$.platform_url"),
        (EntrySettings, ENTRY, {"peer_port": 7000}, "$.peer_port"),
        (EntrySettings, ENTRY, {"silence_seconds": 0.6}, "$.silence_seconds"),
        (EntrySettings, ENTRY, {"log_level": "LOUD"}, "$.log_level"),
        (AgentSettings, AGENT, {"cold_limit": 20}, "$.cold_limit"),
        (AgentSettings, AGENT, {"operations_port": 7000}, "$.operations_port"),
        (
            AgentSettings,
            AGENT,
            {"peer_keys": [{"id": "a", "secret": "short"}]},
            "$.peer_keys[0].secret",
        ),
        (
            AgentSettings,
            AGENT,
            {"peer_keys": [schema.dump(build_key("a"))] * 2},
            "$.peer_keys[1].id",
        ),
        (
            AgentSettings,
            AGENT,
            {"peer_tls": {"certificate": "/none", "key": "/none"}},
            "$.peer_tls",
        ),
    ],
)
def test_settings_that_contradict_each_other_are_reported(
    tmp_path, cls, base, changes, path
):
    file = tmp_path / "settings.json"
    file.write_text(json.dumps(base | changes))
    findings = process.load_settings(cls, file).unwrap_err()
    assert path in {finding.path for finding in findings}
    assert all(finding.hint for finding in findings)


def test_a_process_without_peer_keys_starts_with_a_warning(tmp_path):
    file = tmp_path / "settings.json"
    file.write_text(json.dumps(ENTRY))
    settings = process.load_settings(EntrySettings, file).unwrap()
    (finding,) = settings.check()
    assert (finding.level, finding.path) == (Level.WARNING, "$.peer_keys")


def test_settings_with_valid_certificates_have_no_findings(tmp_path):
    files = Authority(tmp_path).issue("entry")
    entry = build_entry(peer_tls=files, callers_tls=files, peer_keys=[build_key()])
    assert entry.settings.check() == []


def test_reference_pages_are_current():
    directory = pathlib.Path(__file__).parents[2] / "docs"
    for name, text in docs.build_pages().items():
        assert (directory / name).read_text() == text, "run make docs"
