"""Check that a process that does not come up says why."""

import sys

import pytest

from fescuedrum_bench import site
from fescuedrum_bench.member import Member
from fescuedrum_bench.site import Site, SiteShape


async def test_a_member_that_does_not_come_up_is_told_with_its_log(
    tmp_path, monkeypatch
):
    """A test fails for a site that was not up, and nobody can tell why.

    One of its processes ended as it started; its log was deleted with the site.
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
    held = Site(SiteShape(zones=1, entries=1, engines=0), ["club"])
    with pytest.raises(Exception, match=r"agent-1 .*code 1(.|\n)*no address"):
        await held.wait_listening(member)
    held.guard.close()
    held.temporary.cleanup()
