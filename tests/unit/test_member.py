"""Check the error for a process of a site that does not start."""

import sys

import pytest

from fescuedrum_bench import site
from fescuedrum_bench.member import Member
from fescuedrum_bench.site import Site, SiteShape


async def test_error_for_a_member_that_does_not_start_contains_its_log(
    tmp_path, monkeypatch
):
    """Guards against losing the cause when a process ends at its start.

    Its log is deleted with the site, before anybody can read it.
    """
    monkeypatch.setattr(site, "READY_SECONDS", 0.5)
    member = Member(
        "agent-1",
        "127.0.0.9",
        [sys.executable, "-c", "raise SystemExit('no address')"],
        tmp_path / "log",
    )
    await member.start()
    await member.process.wait()
    site_of_member = Site(SiteShape(zones=1, entries=1, engines=0), ["club"])
    with pytest.raises(Exception, match=r"agent-1 .*code 1(.|\n)*no address"):
        await site_of_member.wait_listening(member)
    site_of_member.guard.close()
    site_of_member.temporary.cleanup()
