"""Check which prompts are refused after endpoints have ended at them."""

import pytest
from support import crashing_fleet

from fescuedrum.decisions.admitting.quarantine import (
    ENDS_ALLOWED,
    MAXIMUM_ANSWERED,
    MAXIMUM_SUSPECTS,
    SUSPECT_SECONDS,
    EndpointEnd,
    Quarantine,
)
from fescuedrum.wire.datagrams import decode, encode
from fescuedrum.wire.gen.gateways.ttypes import Beacon
from fescuedrum_gateway.process import quarantine_rows
from fescuedrum_gateway.process.beacons.quarantine import (
    decode_sound,
    decode_suspects,
    encode_sound,
    encode_suspects,
)


def end(quarantine, at, *prompts):
    """Record the end of an endpoint that was to answer some prompts."""
    ended = EndpointEnd(f"e-{at}", at)
    quarantine.record_end(ended, [tuple(parts) for parts in prompts], at)


def is_refused(quarantine, *parts):
    return quarantine.check(parts) is not None


def exchange(sender, receiver, now):
    """Merge a beacon of one gateway at another."""
    beacon = Beacon(
        suspects=encode_suspects(sender, now), sound_parts=encode_sound(sender, now)
    )
    beacon = decode(Beacon, encode(beacon))
    receiver.merge(
        decode_suspects(beacon.suspects, now),
        decode_sound(beacon.sound_parts, now),
        now,
    )


def test_a_part_at_two_ends_is_refused_and_all_its_neighbours_are_not():
    quarantine = Quarantine()
    end(quarantine, 1.0, "axb", "cd")
    assert not is_refused(quarantine, "x")
    end(quarantine, 2.0, "exf", "gh")
    assert is_refused(quarantine, "i", "x")
    assert not is_refused(quarantine, *"abcdefgh")


def test_parts_that_explain_the_same_ends_are_refused_only_together():
    """Guard against refusing sound requests that share a part with a repeated one."""
    quarantine = Quarantine()
    end(quarantine, 1.0, "axb")
    end(quarantine, 2.0, "axb")
    assert is_refused(quarantine, *"axbc")
    assert not any(is_refused(quarantine, *parts) for parts in ("ab", "ax", "xb"))
    quarantine.record_answer("ab", 3.0)
    assert is_refused(quarantine, "x")
    assert not is_refused(quarantine, *"ab")


def test_an_answer_at_another_gateway_shows_parts_to_be_sound():
    here, there = Quarantine(), Quarantine()
    end(here, 1.0, "a")
    end(here, 2.0, "a")
    exchange(here, there, 2.1)
    assert is_refused(there, "a")
    assert there.record_answer("a", 2.2) == ["a"]
    exchange(there, here, 2.3)
    assert not is_refused(here, "a")
    exchange(here, there, 2.4)
    assert not is_refused(there, "a")


def test_ends_that_several_gateways_saw_are_counted_once_and_summed():
    first, second = Quarantine(), Quarantine()
    end(first, 1.0, "x")
    second.record_end(EndpointEnd("e-1.0", 1.2), ["x"], 1.2)
    exchange(second, first, 1.3)
    assert not is_refused(first, "x")
    end(second, 2.0, "x")
    exchange(second, first, 2.1)
    assert is_refused(first, "x")


def test_a_rack_that_goes_down_quarantines_no_part():
    quarantine = Quarantine()
    for number in range(6):
        end(quarantine, 1.0 + number / 200, "ab")
    assert not is_refused(quarantine, *"ab")


def test_a_part_that_was_answered_before_needs_more_ends():
    quarantine = Quarantine()
    quarantine.record_answer("a", 0.5)
    for at in (1.0, 2.0, 3.0):
        end(quarantine, at, "ax")
    assert is_refused(quarantine, "x")
    assert not is_refused(quarantine, "a")
    end(quarantine, 4.0, "ax")
    assert is_refused(quarantine, "a", "x")


def test_a_part_that_comes_once_a_minute_is_found():
    quarantine = Quarantine()
    end(quarantine, 60.0, "x")
    end(quarantine, 120.0, "x")
    assert is_refused(quarantine, "x")
    rare = Quarantine()
    end(rare, 60.0, "y")
    end(rare, 61.0 + SUSPECT_SECONDS, "y")
    assert not is_refused(rare, "y")


def test_trials_cost_no_more_endpoints_than_callers_allow():
    quarantine, now, ends = Quarantine(), 2.0, 2
    end(quarantine, 1.0, "x")
    end(quarantine, now, "x")
    while (blocked := quarantine.check(("x",))).trial_at is not None:
        assert blocked.trial_at >= now + 60.0
        now = blocked.trial_at
        assert quarantine.begin_trial(("x",), now) == ["x"]
        assert quarantine.check(("x",)).trial_at != now
        end(quarantine, now + 0.1, "x")
        ends += 1
    assert ends <= ENDS_ALLOWED


def test_a_part_at_few_of_many_ends_is_not_refused():
    """Guard against refusing sound prompts while no part explains the ends."""
    quarantine = Quarantine()
    for number in range(9):
        end(quarantine, 1.0 + number, ["x" if number % 7 == 0 else f"s{number}"])
    assert not is_refused(quarantine, "x")
    end(quarantine, 10.0, "x")
    end(quarantine, 11.0, "x")
    assert is_refused(quarantine, "x")


def test_a_part_at_more_ends_than_allowed_is_tried_as_well():
    """Guard against refusing a sound part for a day."""
    quarantine, trials = Quarantine(), 0
    for at in range(1, 9):
        end(quarantine, float(at), "x")
    while (trial_at := quarantine.check(("x",)).trial_at) is not None:
        quarantine.begin_trial(("x",), trial_at)
        end(quarantine, trial_at + 0.1, "x")
        trials += 1
    assert 0 < trials < 3


def test_a_row_of_a_gateway_whose_clock_is_ahead_is_read(monkeypatch):
    """Guard against a restart that forgets parts because clocks differ."""
    quarantine = Quarantine()
    end(quarantine, 1.0, "x")
    end(quarantine, 2.0, "x")
    monkeypatch.setattr(quarantine_rows, "epoch_seconds", lambda: 1002.0)
    row = quarantine_rows.encode_row(quarantine.report("x"), 2.5)
    monkeypatch.setattr(quarantine_rows, "epoch_seconds", lambda: 1000.0)
    (report,) = quarantine_rows.decode_row(row, 9.0)
    assert [each.at for each in report.ends] == [7.5, 8.5]


def test_a_trial_that_is_answered_releases_the_part():
    quarantine = Quarantine()
    end(quarantine, 1.0, "x")
    end(quarantine, 2.0, "x")
    quarantine.begin_trial(("x",), 62.0)
    assert quarantine.record_answer("x", 62.5) == ["x"]
    assert not is_refused(quarantine, "x")


def test_the_memory_for_parts_is_bounded():
    quarantine = Quarantine()
    end(quarantine, 1.0, ["x"])
    end(quarantine, 2.0, ["x"])
    for number in range(3000):
        quarantine.record_answer([f"a{number}"], 3.0)
        end(quarantine, 3.0 + number, [f"s{number}"])
    assert len(quarantine.answered) <= MAXIMUM_ANSWERED
    assert len(quarantine.suspects) <= MAXIMUM_SUSPECTS
    assert is_refused(quarantine, "x")


@pytest.mark.parametrize(("gateways", "engines"), [(1, 8), (7, 12), (98, 129)])
def test_few_engines_end_at_a_part_whatever_the_number_of_gateways(gateways, engines):
    """Guard against a bound that each gateway keeps by itself."""
    fleet = crashing_fleet.play(gateways=gateways, engines=engines, rate=40.0)
    assert 0 < len(fleet.crashes) <= ENDS_ALLOWED
    begun = fleet.results["begun"] / sum(fleet.results.values())
    assert begun > 0.9


def test_engines_that_end_at_once_make_no_gateway_refuse_prompts():
    fleet = crashing_fleet.play(
        gateways=7, engines=12, rate=60.0, crashing_rate=0.0, ends_at_once=6
    )
    assert fleet.results["refused"] == 0
    for each in fleet.quarantines.values():
        assert not each.quarantine.blocking
