"""Check that a duty is where it is done fastest, and is seldom handed on."""

import itertools

from fescuedrum.decisions.leading import Candidate, is_leader


def build_candidates(count, wide=()):
    return [
        Candidate(f"10.0.0.{number}", 200.0 if number in wide else 40.0)
        for number in range(count)
    ]


def leader_of(candidates):
    leaders = [
        each
        for each in candidates
        if is_leader(each, [other for other in candidates if other is not each])
    ]
    assert len(leaders) == 1
    return leaders[0]


def test_the_widest_link_leads():
    """Every change of a map takes half a second longer than it must.

    The first by its address leads, and its link is the narrowest of all.
    """
    assert leader_of(build_candidates(9, wide=(4, 7))).host == "10.0.0.4"


def test_restarts_in_turn_hand_the_duty_on_twice_in_all():
    """Maps lag behind demand for as long as a restart of all gateways takes.

    The duty is handed on at each restart, and each new holder learns demand anew.
    """
    candidates = build_candidates(12)
    leaders = [leader_of(candidates)]
    for stopping in candidates:
        leaders.append(leader_of([each for each in candidates if each is not stopping]))
        leaders.append(leader_of(candidates))
    handovers = sum(
        before is not after for before, after in itertools.pairwise(leaders)
    )
    assert handovers == 2
