"""Check that the version of a table's copy never falls."""

from fescuedrum.platform.interfaces import Changes, VersionedRow
from fescuedrum_gateway.version import replica as replicas
from fescuedrum_gateway.version.replica import Replica


def row(key, version, value=b"x"):
    return VersionedRow(key, value, version)


def build_replica(*rows, version=10):
    replica = Replica("t")
    replica.apply(Changes(list(rows), version, whole=True))
    return replica


def test_stale_read_of_the_whole_table_is_ignored():
    """An older configuration replaces the one in force.

    The store no longer has its history, so all rows are read again, and a lagging
    replica of the store answers.
    """
    replica = build_replica(row("config", 9, b"new"), row("zone", 8))
    stale = Changes([row("config", 5, b"old")], 7, whole=True)
    assert replica.apply(stale) == []
    assert replica.rows["config"].value == b"new"
    assert "zone" in replica.rows


def test_read_of_the_whole_table_yields_deleted_rows():
    replica = build_replica(row("a", 3), row("b", 4))
    fresh = replica.apply(Changes([row("b", 4)], 12, whole=True))
    assert fresh == [VersionedRow("a", None, 12)]
    assert set(replica.rows) == {"b"}


def test_row_received_twice_is_new_only_once():
    replica = build_replica()
    change = Changes([row("a", 11)], 11)
    assert replica.apply(change) == [row("a", 11)]
    assert replica.apply(change) == []


def test_changes_for_a_peer_include_deletions():
    replica = build_replica(row("a", 3), row("b", 4))
    replica.apply(Changes([row("c", 11), VersionedRow("a", None, 12)], 12))
    behind = build_replica(row("a", 3), row("b", 4))
    behind.apply(replica.changes_after(10))
    assert behind.rows == replica.rows
    assert behind.version == 12


def test_peer_that_is_too_far_behind_gets_the_whole_table(monkeypatch):
    monkeypatch.setattr(replicas, "MAXIMUM_TOMBSTONES", 1)
    replica = build_replica(row("a", 3), row("b", 4), row("c", 5))
    replica.apply(Changes([VersionedRow("a", None, 11)], 11))
    replica.apply(Changes([VersionedRow("b", None, 12)], 12))
    assert replica.changes_after(10).whole
    assert not replica.changes_after(11).whole
