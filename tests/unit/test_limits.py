"""Check that an endpoint's limit follows what it can carry."""

import random

from fescuedrum.decisions.limits import (
    FAILURE_STREAK,
    EndpointLimit,
    Phase,
)


def answer(limit, count, delay=0.01, now=0.0):
    for _ in range(count):
        limit.starting(limit.limit - 1, now)
        limit.answered(delay, now)


def build_warm(ceiling=32):
    limit = EndpointLimit(floor=2, ceiling=ceiling, warm_after=5)
    answer(limit, 100)
    assert (limit.limit, limit.phase) == (ceiling, Phase.WARM)
    return limit


def test_the_ramp_stops_where_delay_doubles():
    """An engine has sixteen places; beyond them its answers only wait inside.

    With the ceiling as the limit each answer would take twice as long for nothing.
    """
    limit = EndpointLimit(floor=2, ceiling=64, warm_after=5)
    for _ in range(3000):
        limit.starting(limit.limit - 1, 0.0)
        limit.answered(0.01 * max(1.0, limit.limit / 16), 0.0)
    assert 16 <= limit.limit <= 40


def test_unannounced_coldness_takes_the_limit_to_the_floor():
    limit = build_warm()
    answers = 0
    while limit.phase is Phase.WARM and answers <= 2 * limit.ceiling:
        answer(limit, 1, delay=0.1)
        answers += 1
    assert (limit.limit, limit.phase) == (2, Phase.COLD)


def test_one_slow_answer_or_one_failure_is_no_coldness():
    """A caller sends a request that always fails; the others must not pay for it."""
    limit = build_warm()
    for _ in range(50):
        answer(limit, 1, delay=0.2)
        answer(limit, 3)
        limit.failed(0.0, unavailable=False)
        answer(limit, 1)
    assert limit.limit >= 16
    for _ in range(FAILURE_STREAK):
        limit.failed(0.0, unavailable=False)
    assert limit.limit == 2


def test_a_cold_endpoint_never_gets_more_than_its_floor():
    """It turns cold at random and needs ten answers; over the floor it falls over.

    The baseline is a fixed limit, which fells it after every cold start.
    """
    chooser = random.Random(11)
    limit = EndpointLimit(floor=2, ceiling=16, warm_after=10)
    falls = fixed_falls = 0
    answers_since_cold = 0
    for _ in range(20_000):
        if chooser.random() < 0.002:
            answers_since_cold = 0
            # Its restart cuts what runs, which the agent sees at once.
            limit.failed(0.0, unavailable=True)
        cold = answers_since_cold < 10
        falls += cold and limit.limit > 2
        fixed_falls += cold
        answer(limit, 1)
        answers_since_cold += 1
    assert falls == 0
    assert fixed_falls > 100
