"""Check the operators' commands and API with real processes."""

import asyncio
import copy
import json
import sys
import uuid

from support.proposals import build_change

from fescuedrum.conf import document as documents, schema
from fescuedrum.process import EXIT_FINDINGS, EXIT_OK, EXIT_RACED
from fescuedrum_bench.site import Site, SiteShape

SMALL = SiteShape(zones=2, entries=3, engines=2, services=1)


async def run_command(site, *arguments, as_json=True):
    """Run a command; return (exit code, decoded output, messages)."""
    token_file = site.directory / "token"
    token_file.write_text(site.operator_token)
    options = ["--entry", site.entries[0].url, "--token-file", str(token_file)]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *["-m", "fescuedrum_entry.management", *arguments, *options],
        *(["--json"] if as_json else []),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, messages = await process.communicate()
    decoded = json.loads(output) if as_json and output else output.decode()
    return process.returncode, decoded, messages.decode()


def proposal(version, document, **changes):
    """Return the body of a call that applies a document."""
    data = {
        "base_version": version,
        "document": schema.dump_non_default(document),
        "change": uuid.uuid4().hex,
    }
    return data | changes


def weighted(document, weight):
    """Return a copy of a document with another weight of the first organisation."""
    changed = copy.deepcopy(document)
    changed.organisations[0].weight = float(weight)
    return changed


async def test_the_commands_carry_a_change_from_a_file_to_every_process():
    async with Site(SMALL, ["club"]) as site:
        code, shown, _ = await run_command(site, "show", "config")
        assert (code, shown["version"]) == (EXIT_OK, 1)
        path = site.directory / "document.json"
        shown["document"]["organisations"][0]["weight"] = 2.5
        path.write_text(json.dumps(shown["document"]))
        base = ["--base-version", "1"]
        assert (await run_command(site, "check", str(path)))[:2] == (EXIT_OK, [])
        _, compared, _ = await run_command(site, "diff", str(path))
        (change,) = compared["changes"]
        assert change["words"] == "organisation club: weight changed from 1.0 to 2.5"
        code, applied, _ = await run_command(site, "apply", str(path), *base)
        assert (code, applied["version"]) == (EXIT_OK, 2)
        await site.wait_in_force(2)
        assert (await run_command(site, "status"))[0] == EXIT_OK
        code, trail, _ = await run_command(site, "audit")
        assert (code, trail["findings"]) == (EXIT_OK, [])
        assert [record["who"] for record in trail["records"]] == ["operator", "site"]
        # A second change from the same base conflicts; both changes are shown.
        path.write_text(path.read_text().replace("2.5", "3.5"))
        code, _, messages = await run_command(site, "apply", str(path), *base)
        assert code == EXIT_RACED
        assert "mine: organisation club: weight changed from 1.0 to 3.5" in messages
        assert "theirs: organisation club: weight changed from 1.0 to 2.5" in messages


async def test_a_change_that_causes_an_outage_must_allow_it():
    async with Site(SMALL, ["club"]) as site:
        await site.wait_in_force(1)
        document = copy.deepcopy(site.document)
        # The only instance of the bookings service is in this zone.
        document.zones[0].state = documents.ZoneState.OUT
        path = site.directory / "document.json"
        path.write_bytes(documents.encode_canonical(document))
        code, findings, messages = await run_command(site, "check", str(path))
        assert code == EXIT_FINDINGS
        assert [each["id"] for each in findings] == ["change.E001"]
        assert "'bookings' loses the last zone that serves it" in messages
        data = proposal(1, document, allowed=["allow_outage"])
        status, answer = await site.operate(site.entries[1], "apply", data)
        assert (status, answer["version"]) == (200, 2)


async def test_the_operators_api_requires_a_token():
    async with Site(SMALL, ["club"]) as site:
        url = f"{site.entries[0].url}/operators/configuration"
        async with site.session.get(url) as response:
            assert response.status == 401
            body = await response.json()
        assert body["error"]["code"] == "not-signed-in"


async def test_concurrent_operators_lose_no_change_and_the_audit_is_complete():
    """Guard against lost updates of operators who change weights at the same time.

    Each reads the newest version, changes it and writes it back. Without the version
    check, a later write would restore older values. Responses of the platform get lost.
    """
    async with Site(SMALL, ["club", "county", "league"]) as site:
        tasks = [
            asyncio.create_task(keep_changing(site, index, 12)) for index in range(3)
        ]
        for _ in range(10):
            await site.set_faults(lost_answers=1)
            await asyncio.sleep(0.2)
        accepted = sum(await asyncio.gather(*tasks))
        await site.set_faults(lost_answers=0)
        status, trail = await site.operate(site.entries[0], "audit?count=1000")
        assert (status, trail["findings"]) == (200, [])
        assert trail["version"] == accepted + 1 == len(trail["records"])
        _, shown = await site.operate(site.entries[0], "configuration")
        weights = [each["weight"] for each in shown["document"]["organisations"]]
        assert weights == [13.0, 13.0, 13.0]


async def keep_changing(site, index, times):
    """Raise an organisation's weight by 1 several times, and retry on a conflict."""
    entry = site.entries[index]
    done = 0
    while done < times:
        status, shown = await site.operate(entry, "configuration")
        if status != 200 or not shown["from_platform"]:
            continue
        data = build_change(shown, index)
        status, answer = await site.operate(entry, "apply", data)
        # A repeat with the same id shows whether the change was applied.
        while status == 503:
            status, answer = await site.operate(entry, "apply", data)
        assert status in (200, 409), answer
        done += status == 200
    return done


async def test_a_new_process_gets_its_configuration_from_peers_in_an_outage():
    """Guard against a new entry that answers 503 until the platform is available.

    It has no state on disk and can't read the document or the instance list; an entry
    of its zone that its settings name has both.
    """
    shape = SiteShape(zones=1, entries=1, engines=1, services=1)
    async with Site(shape, ["club"]) as site:
        await site.set_faults(down=True)
        await site.start_entry(1, seeds=site.entries[:1], listed=False)
        late = site.entries[1]
        await site.wait_ready(f"{late.url}/readyz")
        status, answer = await site.operate(late, "status")
        assert (status, answer["in_force"], answer["accepted"]) == (200, 1, None)
        async with asyncio.timeout(10):
            while not answer["members"] or any(m["silent"] for m in answer["members"]):
                _, answer = await site.operate(late, "status")
        names = {member["name"] for member in answer["members"]}
        assert names == {"entry-0", "agent-engine-0", "agent-service-0"}
