"""Check that a move of demand is noticed from streams, and noise is not."""

import random

import pytest

from fescuedrum.decisions.experts.pace import PassTimer

PASS_SECONDS = 0.044
STREAMS = 3


def play(timer, seconds, length, start=0.0, streams=STREAMS):
    """Let streams go on; length(chance) is each pass's time. Tell when it slowed."""
    chance = random.Random(1)
    now = start
    while now < start + seconds:
        interval = length(chance)
        now += interval
        for _ in range(streams):
            timer.observe(interval, now)
        if timer.has_slowed_down(now):
            return now
    return None


def usual_length(chance):
    """Return the time of a pass, which a prompt makes longer now and then."""
    prompt = 0.010 if chance.random() < 0.1 else 0.0
    return PASS_SECONDS + chance.uniform(-0.002, 0.003) + prompt


def slowed_length(chance):
    return 1.3 * usual_length(chance)


def test_a_slowdown_is_noticed_within_three_tenths_of_a_second():
    """Every stream is slow for a second before the map follows the move of demand.

    The move was seen only in two reads of counts, half a second apart.
    """
    timer = PassTimer()
    assert play(timer, 3.0, usual_length) is None
    noticed = play(timer, 3.0, slowed_length, start=3.0)
    assert noticed - 3.0 < 0.3


@pytest.mark.parametrize("streams", [1, 2, 8])
def test_prompts_that_are_read_are_no_slowdown(streams):
    assert play(PassTimer(), 60.0, usual_length, streams=streams) is None


def test_a_steady_rise_of_load_is_no_slowdown():
    timer = PassTimer()
    play(timer, 2.0, usual_length)
    for step in range(40):
        length = PASS_SECONDS * (1 + step / 40)
        now = play(timer, 0.5, lambda _, length=length: length, start=2.0 + step / 2)
        assert now is None


def test_nothing_is_known_from_too_few_events():
    timer = PassTimer()
    for number in range(4):
        timer.observe(0.044, number / 10)
    assert not timer.has_enough_events(0.4)
    assert not timer.has_slowed_down(0.4)


def test_long_passes_are_judged_by_as_many_of_them():
    """The counts of a slow engine's group are read all day long.

    Its passes are longer than the window, so that one long pass filled it.
    """
    timer = PassTimer()
    for number in range(20):
        timer.observe(0.2, number * 0.2)
    timer.observe(0.3, 4.1)
    assert not timer.has_slowed_down(4.1)


def test_a_move_during_a_change_is_noticed_once_the_new_map_is_in_force():
    """Every stream is late for two seconds: the map that came suits nobody any more.

    Orders were lost, the change took a second, and demand moved again meanwhile. All
    passes in sight were slow, and so the next ones seemed as long as ever.
    """
    timer = PassTimer()
    play(timer, 3.0, usual_length)
    assert play(timer, 1.0, slowed_length, start=3.0) is not None
    # The new map has come in force, and passes stay as they were.
    timer.ignore_events_until(until=4.2)
    noticed = play(timer, 1.0, slowed_length, start=4.0)
    assert 4.2 < noticed < 4.5


def test_passes_of_the_map_that_goes_are_not_judged():
    timer = PassTimer()
    play(timer, 3.0, usual_length)
    timer.ignore_events_until(until=4.0)
    assert play(timer, 0.9, slowed_length, start=3.0) is None
    assert play(timer, 3.0, usual_length, start=4.0) is None


def test_passes_that_are_slow_for_load_are_taken_for_usual_when_that_is_known():
    """Counts are read all day long, each time to find that the map is good.

    Load has doubled at once; the map suits the demand, and nothing can be gained.
    """
    timer = PassTimer()
    play(timer, 3.0, usual_length)
    noticed = play(timer, 1.0, slowed_length, start=3.0)
    # The counts are read twice until it is known that the map suits the demand.
    known = noticed + 0.3
    play(timer, 0.3, slowed_length, start=noticed)
    timer.set_baseline(known)
    assert play(timer, 10.0, slowed_length, start=known) is None


def test_shorter_passes_are_the_usual_ones_within_a_second():
    """A move goes unnoticed: it came a second after a change had made passes short."""
    timer = PassTimer()
    play(timer, 3.0, lambda chance: 2 * usual_length(chance))
    play(timer, 1.0, usual_length, start=3.0)
    assert play(timer, 1.0, slowed_length, start=4.0) is not None
