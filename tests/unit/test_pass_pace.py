"""Check that a move of demand is noticed from streams, and noise is not."""

import random

import pytest

from fescuedrum.decisions.experts.pace import PassTimer

PASS_SECONDS = 0.044
STREAMS = 3


def play(pace, seconds, length, start=0.0, streams=STREAMS):
    """Let streams go on; length(chance) is each pass's time. Tell when it slowed."""
    chance = random.Random(1)
    now = start
    while now < start + seconds:
        gap = length(chance)
        now += gap
        for _ in range(streams):
            pace.observe(gap, now)
        if pace.is_slower(now):
            return now
    return None


def usual(chance):
    """Return the time of a pass, which a prompt makes longer now and then."""
    prompt = 0.010 if chance.random() < 0.1 else 0.0
    return PASS_SECONDS + chance.uniform(-0.002, 0.003) + prompt


def slowed(chance):
    return 1.3 * usual(chance)


def test_a_slowdown_is_noticed_within_three_tenths_of_a_second():
    """Every stream is slow for a second before the map follows the move of demand.

    The move was seen only in two reads of counts, half a second apart.
    """
    pace = PassTimer()
    assert play(pace, 3.0, usual) is None
    noticed = play(pace, 3.0, slowed, start=3.0)
    assert noticed - 3.0 < 0.3


@pytest.mark.parametrize("streams", [1, 2, 8])
def test_prompts_that_are_read_are_no_slowdown(streams):
    assert play(PassTimer(), 60.0, usual, streams=streams) is None


def test_a_steady_rise_of_load_is_no_slowdown():
    pace = PassTimer()
    play(pace, 2.0, usual)
    for step in range(40):
        length = PASS_SECONDS * (1 + step / 40)
        now = play(pace, 0.5, lambda _, length=length: length, start=2.0 + step / 2)
        assert now is None


def test_nothing_is_known_from_too_few_events():
    pace = PassTimer()
    for number in range(4):
        pace.observe(0.044, number / 10)
    assert not pace.is_known(0.4)
    assert not pace.is_slower(0.4)


def test_long_passes_are_judged_by_as_many_of_them():
    """The counts of a slow engine's group are read all day long.

    Its passes are longer than the window, so that one long pass filled it.
    """
    pace = PassTimer()
    for number in range(20):
        pace.observe(0.2, number * 0.2)
    pace.observe(0.3, 4.1)
    assert not pace.is_slower(4.1)


def test_a_move_during_a_change_is_noticed_once_the_new_map_is_in_force():
    """Every stream is late for two seconds: the map that came suits nobody any more.

    Orders were lost, the change took a second, and demand moved again meanwhile. All
    passes in sight were slow, and so the next ones seemed as long as ever.
    """
    pace = PassTimer()
    play(pace, 3.0, usual)
    assert play(pace, 1.0, slowed, start=3.0) is not None
    # The new map has come in force, and passes stay as they were.
    pace.map_changed(until=4.2)
    noticed = play(pace, 1.0, slowed, start=4.0)
    assert 4.2 < noticed < 4.5


def test_passes_of_the_map_that_goes_are_not_judged():
    pace = PassTimer()
    play(pace, 3.0, usual)
    pace.map_changed(until=4.0)
    assert play(pace, 0.9, slowed, start=3.0) is None
    assert play(pace, 3.0, usual, start=4.0) is None


def test_passes_that_are_slow_for_load_are_taken_for_usual_when_that_is_known():
    """Counts are read all day long, each time to find that the map is good.

    Load has doubled at once; the map suits the demand, and nothing can be gained.
    """
    pace = PassTimer()
    play(pace, 3.0, usual)
    noticed = play(pace, 1.0, slowed, start=3.0)
    # The counts are read twice until it is known that the map suits the demand.
    known = noticed + 0.3
    play(pace, 0.3, slowed, start=noticed)
    pace.accept(known)
    assert play(pace, 10.0, slowed, start=known) is None


def test_shorter_passes_are_the_usual_ones_within_a_second():
    """A move goes unnoticed: it came a second after a change had made passes short."""
    pace = PassTimer()
    play(pace, 3.0, lambda chance: 2 * usual(chance))
    play(pace, 1.0, usual, start=3.0)
    assert play(pace, 1.0, slowed, start=4.0) is not None
