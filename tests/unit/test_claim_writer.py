"""Check that claims are written in groups and that a conflict fails only its claim."""

import asyncio
import itertools

import pytest
from support.clock import run_paused

from fescuedrum.claims.record import Claim
from fescuedrum.exceptions import StoreUnavailable
from fescuedrum.platform.interfaces import Row
from fescuedrum_entry.process.ages import ClaimAges
from fescuedrum_entry.process.claims import ClaimWriter


class FixedAge:
    async def current(self):
        return 3


class HeldLease:
    """Replace a lease that is held."""

    fence = 1


def build_writer(table):
    return ClaimWriter(table, 0.005, FixedAge(), "entry-1")


class CountingTable:
    """Hold rows in memory and record the time of each write."""

    def __init__(self, seconds=0.01):
        self.seconds = seconds
        self.rows = {}
        self.written_at = []
        self.is_silent = False

    async def get(self, key):
        value, version = self.rows.get(key, (None, 0))
        return Row(key, value, version)

    async def transact(self, writes):
        self.written_at.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self.seconds)
        if self.is_silent:
            raise StoreUnavailable("silent")
        for write in writes:
            version = self.rows.get(write.key, (None, 0))[1]
            if write.expected_version not in (None, version):
                return False
        for write in writes:
            _, version = self.rows.pop(write.key, (None, 0))
            if write.value is not None:
                self.rows[write.key] = (write.value, version + 1)
        return True

    async def scan(self, prefix):
        keys = [key for key in self.rows if key.startswith(prefix)]
        return [await self.get(key) for key in sorted(keys)]


def build_claim(token="token"):
    return Claim(1, "agent-1", 7, token, "hash")


def test_claims_are_written_at_most_once_each_5_ms():
    """With one write for each claim, one entry's peak would fill the platform's table.

    The claims of the other entries would then have to wait.
    """

    async def claim_all():
        table = CountingTable()
        writer = build_writer(table)
        tasks = []
        for index in range(1000):
            await asyncio.sleep(0.001)
            tasks.append(writer.write(f"claim/{index}", build_claim(), 0))
            tasks[-1] = asyncio.create_task(tasks[-1])
        assert all(await asyncio.gather(*tasks))
        return table.written_at

    written_at = run_paused(claim_all())
    gaps = [after - before for before, after in itertools.pairwise(written_at)]
    assert min(gaps) > 0.0049
    assert len(written_at) < 260


def test_a_repeated_key_fails_only_its_own_write():
    async def claim_some():
        table = CountingTable()
        writer = build_writer(table)
        assert await writer.write("claim/a", build_claim("first"), 0)
        names = ("a", "b", "c")
        writes = [writer.write(f"claim/{name}", build_claim(), 0) for name in names]
        return await asyncio.gather(*writes), await writer.read("claim/a")

    applied, (claim, version) = run_paused(claim_some())
    assert applied == [False, True, True]
    assert (claim.token, version) == ("first", 1)


def test_an_unavailable_table_fails_each_write_of_the_group():
    async def claim_some():
        table = CountingTable()
        table.is_silent = True
        writer = build_writer(table)
        writes = [writer.write(f"claim/{name}", build_claim(), 0) for name in "abc"]
        return await asyncio.gather(*writes, return_exceptions=True)

    found = run_paused(claim_some())
    assert [type(error) for error in found] == [StoreUnavailable] * 3


def test_old_claims_are_deleted_but_rewritten_ones_are_kept():
    """A key is repeated just before its old row would be deleted, and runs.

    Without its row another repeat would find no claim and run the key a second time.
    """

    async def rewrite_and_sweep():
        table = CountingTable()
        ages = ClaimAges(table, HeldLease(), seconds=10.0)
        writer = ClaimWriter(table, 0.005, ages, "entry-1")
        sweeping = asyncio.create_task(ages.run(kept=3))
        for name in ("old", "again"):
            assert await writer.write(f"claim/{name}", build_claim(), 0)
        await asyncio.sleep(25.0)
        early = set(table.rows)
        assert await writer.write("claim/again", build_claim("later"), 1)
        await asyncio.sleep(37.0)
        sweeping.cancel()
        return early, set(table.rows), ages

    early, late, ages = run_paused(rewrite_and_sweep())
    assert {"claim/old", "claim/again"} <= early
    assert "claim/again" in late
    assert "claim/old" not in late
    assert not any(key.startswith("claim-age/000000000000/") for key in late)
    assert ages.bucket >= 4


ODD_INDEXES = [{}, {"keys": 7}, {"keys": [7]}, {"keys": ["claim/odd"]}]


@pytest.mark.parametrize("value", ODD_INDEXES)
def test_an_odd_index_row_keeps_no_old_claim_from_being_deleted(value):
    """Guard against an entry that ends at one row of another writer."""

    async def sweep():
        table = CountingTable()
        table.rows["claim/odd"] = ({"bucket": "0"}, 1)
        table.rows["claim-age/000000000000/a"] = (value, 1)
        ages = ClaimAges(table, HeldLease(), seconds=10.0)
        writer = ClaimWriter(table, 0.005, ages, "entry-1")
        sweeping = asyncio.create_task(ages.run(kept=3))
        assert await writer.write("claim/old", build_claim(), 0)
        await asyncio.sleep(62.0)
        sweeping.cancel()
        await asyncio.gather(sweeping, return_exceptions=True)
        return sweeping.cancelled(), set(table.rows)

    is_running, keys = run_paused(sweep())
    assert is_running
    assert "claim/odd" in keys
    assert "claim/old" not in keys
