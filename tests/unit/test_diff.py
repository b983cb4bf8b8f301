"""Check descriptions of differences between documents and merges of changes."""

import copy

from hypothesis import given, settings, strategies as st
from support.builders import build_full_document, build_organisation

from fescuedrum.conf import document as documents
from fescuedrum.conf.diff import diff, merge


def changed(document, *edits):
    copied = copy.deepcopy(document)
    for edit in edits:
        edit(copied)
    return copied


def set_weight(value, index=0):
    return lambda document: setattr(document.organisations[index], "weight", value)


def set_state(index, state):
    return lambda document: setattr(document.zones[index], "state", state)


def add_organisation(name):
    return lambda document: document.organisations.append(build_organisation(name))


def test_changes_are_described_in_words_without_hashes():
    before = build_full_document()
    after = changed(
        before,
        set_state(0, documents.ZoneState.OUT),
        set_weight(2.0),
        add_organisation("county"),
        lambda document: document.models[0].adapters.clear(),
        lambda document: setattr(
            document.organisations[0].limits, "concurrent_requests", 4
        ),
        lambda document: document.organisations[0].keys.append(
            documents.KeyHash("other", "f" * 64)
        ),
    )
    words = [str(change) for change in diff(before, after)]
    assert "zone zone-1: state changed from in to out" in words
    assert "organisation club: weight changed from 1.0 to 2.0" in words
    assert "organisation club: keys added 1 key" in words
    assert "organisation club: concurrent requests changed from none to 4" in words
    assert "organisation county added with keys 1 key" in words
    assert "model m: adapter a removed" in words
    assert len(words) == 6


def test_a_reordered_list_is_no_change():
    before = build_full_document()
    after = changed(before, lambda document: document.zones.reverse())
    assert diff(before, after) == []


def test_changes_of_different_parts_by_two_operators_are_both_kept():
    base = build_full_document()
    mine = changed(base, set_weight(3.0), add_organisation("a"))
    theirs = changed(base, set_state(1, documents.ZoneState.OUT), add_organisation("b"))
    merged, conflicts = merge(base, mine, theirs)
    assert conflicts == []
    assert {str(each) for each in diff(base, merged)} == {
        str(each) for each in [*diff(base, mine), *diff(base, theirs)]
    }


def test_a_field_changed_by_both_is_a_conflict_and_theirs_is_kept():
    base = build_full_document()
    mine, theirs = changed(base, set_weight(3.0)), changed(base, set_weight(4.0))
    merged, (conflict,) = merge(base, mine, theirs)
    assert (conflict.mine, conflict.theirs) == ("3.0", "4.0")
    assert merged.organisations[0].weight == 4.0


EDITS = st.lists(
    st.one_of(
        st.builds(set_weight, st.sampled_from([1.0, 2.0, 3.0])),
        st.builds(set_state, st.integers(0, 1), st.sampled_from(documents.ZoneState)),
        st.builds(add_organisation, st.sampled_from(["x", "y"])),
    ),
    max_size=4,
    unique_by=id,
)


@settings(max_examples=60, deadline=None)
@given(EDITS, EDITS)
def test_a_merge_without_conflicts_keeps_both_sides(first, second):
    base = build_full_document()
    mine, theirs = changed(base, *first), changed(base, *second)
    merged, conflicts = merge(base, mine, theirs)
    if conflicts:
        return
    wanted = {change.path: str(change) for change in diff(base, mine)}
    wanted |= {change.path: str(change) for change in diff(base, theirs)}
    assert {change.path: str(change) for change in diff(base, merged)} == wanted
