"""Check the console over HTTP with a browser that runs no scripts."""

import asyncio

from support.browser import Browser

from fescuedrum_bench.callers import Caller
from fescuedrum_bench.site import Site, SiteShape

SMALL = SiteShape(zones=2, entries=2, engines=2, services=2)
EDIT, APPLY = "/console/edit", "/console/apply"


async def wait_state(site, zone, state):
    """Wait until the status shows a zone as out or in."""
    async with asyncio.timeout(10):
        while True:
            _, shown = await site.operate(site.entries[1], "status")
            if (zone in shown["zones_out"]) == (state == "out"):
                return
            await asyncio.sleep(0.05)


async def test_an_operator_edits_reviews_and_applies_and_sees_the_audit():
    async with Site(SMALL, ["club"]) as site, Browser(site.entries[0].url) as browser:
        assert "Sign in" in await browser.open("/console/")
        assert "not valid" in await browser.sign_in("operator.wrong")
        assert browser.status == 401
        assert "Availability zones" in await browser.sign_in(site.operator_token)
        await browser.open(EDIT)
        assert browser.page.scripts == 0
        assert browser.page.unlabelled == []
        assert "default-src 'none'" in browser.headers["Content-Security-Policy"]
        await browser.send(EDIT, button="organisations")
        changes = {
            "organisations.0.weight": "heavy",
            "organisations.1.name": "county",
            "organisations.1.keys.new_key": "county.topsecret",
        }
        text = await browser.send(EDIT, button="check", **changes)
        assert "The value is not a number" in text
        assert "topsecret" not in text
        (form,) = [form for form in browser.page.forms if form.action == EDIT]
        assert form.fields["organisations.0.weight"] == "heavy"
        # Any entry can continue with the draft, which the form contains.
        browser.switch_entry(site.entries[1].url)
        weight = {"organisations.0.weight": "2.5"}
        text = await browser.send(EDIT, button="review", **weight)
        assert "organisation club: weight changed from 1.0 to 2.5" in text
        assert "organisation county added with keys 1 key" in text
        text = await browser.send(APPLY, note="more clubs")
        assert "Version 2 is accepted" in text
        text = await browser.open("/console/audit")
        assert "more clubs" in text
        assert "complete and unchanged" in text
        assert "agent-engine-0" in await browser.open("/console/status")
        caller = Caller(site.session, browser.url, "club", site.keys["club"])
        assert (await caller.look_up("item")).whole
        text = await browser.open("/console/fairness")
        assert "Nobody is treated worse" in text
        assert "club" in text


async def test_a_race_shows_both_changes_and_lets_the_operator_merge():
    """Guard against an operator who silently undoes the change of another one.

    Both edit drafts of the same version; the second one to apply must see both changes.
    """
    async with (
        Site(SMALL, ["club"]) as site,
        Browser(site.entries[0].url) as first,
        Browser(site.entries[1].url) as second,
    ):
        for browser, weight, region in ((first, "2", "north"), (second, "3", "south")):
            await browser.sign_in(site.operator_token)
            await browser.open(EDIT)
            zone = {f"zones.{0 if browser is first else 1}.region": region}
            await browser.send(EDIT, button="organisations", **zone)
            change = {"organisations.0.weight": weight}
            await browser.send(EDIT, button="review", **change)
        assert "Version 2 is accepted" in await first.send(APPLY)
        text = await second.send(APPLY)
        assert second.status == 409
        assert "weight changed from 1.0 to 3.0" in text
        assert "weight changed from 1.0 to 2.0" in text
        assert "organisations/club/weight: yours 3.0, theirs 2.0" in text
        text = await second.send(EDIT, button="review")
        assert "zone zone-2: region changed from none to south" in text
        assert "weight" not in text
        assert "Version 3 is accepted" in await second.send(APPLY)
        _, shown = await site.operate(site.entries[0], "configuration")
        regions = [zone["region"] for zone in shown["document"]["zones"]]
        assert regions == ["north", "south"]


async def test_a_zone_goes_out_and_in_with_two_clicks_each():
    async with Site(SMALL, ["club"]) as site, Browser(site.entries[0].url) as browser:
        # Before the endpoints of all zones are known, taking one out may be an outage.
        await site.wait_in_force(1)
        await browser.sign_in(site.operator_token)
        for state in ("out", "in"):
            link = f"/console/zones/zone-2/{state}"
            await browser.open("/console/")
            assert link in browser.page.links
            text = await browser.open(link)
            assert "Requests that the endpoints in service can carry" in text
            assert "is accepted" in await browser.send(APPLY, note="repairs")
            await wait_state(site, "zone-2", state)


async def test_forms_of_other_sites_and_changed_drafts_are_refused():
    """Guard against a foreign page that makes a browser submit a console form."""
    async with Site(SMALL, ["club"]) as site, Browser(site.entries[0].url) as browser:
        await browser.sign_in(site.operator_token)
        await browser.open("/console/zones/zone-2/out")
        await browser.send(APPLY, csrf="")
        assert browser.status == 403
        await browser.open("/console/zones/zone-2/out")
        await browser.send(APPLY, draft="W10.tampered")
        assert browser.status == 400
        await browser.open("/console/")
        await browser.send("/console/sign-out")
        assert "Token" in await browser.open(EDIT)
        _, shown = await site.operate(site.entries[0], "configuration")
        assert shown["version"] == 1


async def test_sign_in_attempts_are_rate_limited():
    async with Site(SMALL, ["club"]) as site, Browser(site.entries[0].url) as browser:
        for number in range(11):
            await browser.sign_in(f"operator.{number}")
        assert browser.status == 429
        assert "Wait for the time" in browser.page.text
