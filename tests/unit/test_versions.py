"""Check that versions only rise, no change is lost, and missing rows are found."""

import copy

import pytest
from hypothesis import given, settings, strategies as st
from support.builders import build_document
from support.clock import run_paused
from support.tables import MemoryTable

from fescuedrum.conf import document as documents
from fescuedrum.exceptions import ChangeInvalid, ChangeRaced, ChangeUnsettled
from fescuedrum.versions.apply import ChangeApplier, Proposal
from fescuedrum.versions.audit import read_audit_records, read_head, verify_records
from fescuedrum.versions.configuration import Configuration
from fescuedrum.versions.pulling import PULL_TIMEOUT_SECONDS, PullThrottle
from fescuedrum.versions.records import audit_key
from fescuedrum.wire.gen.members.ttypes import Pull


def build_version(number):
    zones = [documents.Zone(f"zone-{index}") for index in range(number)]
    body = documents.encode_canonical(build_document(zones=zones))
    return number, documents.document_hash(body), body


def build_proposal(base_version, weight, change="c", **changes):
    document = build_document()
    document.organisations[0].weight = float(weight)
    return Proposal(base_version, document, change, "ada", "now", **changes)


@settings(max_examples=100, deadline=None)
@given(st.lists(st.integers(1, 8), max_size=30), st.data())
def test_versions_never_fall_under_any_order_or_repetition(numbers, data):
    """Frames of lagging peers, stale reads and repeats arrive in any order."""
    receiver, source = Configuration(), Configuration()
    in_force = []
    receiver.subscribe(lambda: in_force.append(receiver.version))
    for number in numbers:
        version, digest, body = build_version(number)
        if data.draw(st.booleans()):
            source.update_if_newer(version, digest, body)
            receiver.update_from_frame(source.answer(Pull(source.document_hash)))
        else:
            receiver.update_if_newer(version, digest, body)
    assert in_force == sorted(set(in_force))
    assert receiver.version == max(numbers, default=0)


def test_a_damaged_or_invalid_document_is_ignored():
    configuration = Configuration()
    configuration.update_if_newer(*build_version(2))
    version, digest, body = build_version(3)
    assert not configuration.update_if_newer(version, digest, body + b" ")
    invalid = b'{"colour": 1}'
    assert not configuration.update_if_newer(
        4, documents.document_hash(invalid), invalid
    )
    assert configuration.version == 2
    assert configuration.update_if_newer(version, digest, body)


def test_a_version_is_pulled_from_one_peer_and_later_from_another():
    throttle = PullThrottle()
    assert throttle.should_pull(3, 2, 10.0)
    assert not throttle.should_pull(3, 2, 10.1)
    assert throttle.should_pull(4, 2, 10.1)
    assert throttle.should_pull(4, 2, 10.1 + PULL_TIMEOUT_SECONDS)
    assert not throttle.should_pull(2, 2, 20.0)


def test_a_race_reports_both_sides_and_changes_nothing():
    async def scenario():
        table = MemoryTable()
        applier = ChangeApplier(table)
        await applier.apply(build_proposal(0, 1, "first"))
        await applier.apply(build_proposal(1, 2, "theirs"))
        with pytest.raises(ChangeRaced) as caught:
            await applier.apply(build_proposal(1, 3, "mine"))
        return caught.value, (await read_head(table))[0]

    error, head = run_paused(scenario())
    assert (error.head_version, head.version) == (2, 2)
    assert error.mine == ["organisation club: weight changed from 1.0 to 3.0"]
    assert error.theirs == ["organisation club: weight changed from 1.0 to 2.0"]


def test_a_write_without_a_response_is_resolved_by_reading_back():
    """The table applies the write, but its response is lost.

    If the console reported a failure, the operator would apply the change again. The
    applier must find its own audit row and recognise a repeated change.
    """

    async def scenario():
        table = MemoryTable()
        applier = ChangeApplier(table)
        table.lost_answers = 1
        first = await applier.apply(build_proposal(0, 1, "mine"))
        again = await applier.apply(build_proposal(0, 1, "mine"))
        return first, again

    first, again = run_paused(scenario())
    assert first == again
    assert first.version == 1


def test_a_change_is_unsettled_while_the_store_is_down():
    async def scenario():
        table = MemoryTable()
        applier = ChangeApplier(table)
        put_object = table.put_object

        async def put_and_fail(name, body):
            await put_object(name, body)
            table.down = True

        table.put_object = put_and_fail
        with pytest.raises(ChangeUnsettled):
            await applier.apply(build_proposal(0, 1, "mine"))
        table.down = False
        table.put_object = put_object
        return await applier.apply(build_proposal(0, 1, "mine"))

    assert run_paused(scenario()).version == 1


def test_an_invalid_or_empty_change_is_refused_with_findings():
    async def scenario():
        applier = ChangeApplier(MemoryTable())
        await applier.apply(build_proposal(0, 1))
        faulty = build_proposal(1, 2)
        faulty.document.zones.append(copy.deepcopy(faulty.document.zones[0]))
        ids = []
        for proposal in (faulty, build_proposal(1, 1)):
            with pytest.raises(ChangeInvalid) as caught:
                await applier.apply(proposal)
            ids.append([finding.id for finding in caught.value.findings])
        return ids

    assert run_paused(scenario()) == [["document.E002"], ["change.E003"]]


def test_missing_and_changed_audit_rows_are_found():
    async def scenario():
        table = MemoryTable()
        applier = ChangeApplier(table)
        for number in range(120):
            await applier.apply(build_proposal(number, number + 1, f"c{number}"))
        head, _ = await read_head(table)
        records = await read_audit_records(table, head.version, 1000)
        assert [record.version for record in records] == list(range(120, 0, -1))
        assert verify_records(records, head, whole=True) == []
        del table.rows[audit_key(50)]
        value, version = table.rows[audit_key(110)]
        table.rows[audit_key(110)] = (value | {"who": "nobody"}, version)
        records = await read_audit_records(table, head.version, 1000)
        return verify_records(records, head, whole=True)

    findings = run_paused(scenario())
    assert [(each.id, each.path) for each in findings] == [
        ("audit.E002", "version 110"),
        ("audit.E001", "version 50"),
    ]
