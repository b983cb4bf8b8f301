"""Draw planned work from a seed: stops that overlap, reloads and new documents."""

from soak.faults import (
    RACING_CHANGES,
    DocumentChanged,
    GatewayStopped,
    SettingsReloaded,
)

# Callers first have to have kept connections.
FIRST_SECONDS = (1.5, 3.0)
# A stop takes 2.6 s at least: the next gateway is told before this one is back.
STEP_SECONDS = (0.6, 2.4)
# From the last signal of some stops to the first of the next; some of those before are
# still stopping then.
REST_SECONDS = (3.0, 9.0)
IN_TURN_SHARE = 0.6
CHANGE_SECONDS = (0.3, 2.5)


def draw_work(random, names, seconds):
    """Return (second of the run, fault) of a run on gateways of these names."""
    stops = draw_stops(random, names, seconds)
    changes = draw_changes(random, names, seconds)
    return sorted([*stops, *changes], key=lambda each: each[0])


def draw_stops(random, names, seconds):
    """Stop each gateway in turn, or several at once, over and over."""
    work = []
    at = random.uniform(*FIRST_SECONDS)
    while at < seconds:
        count, step = len(names), random.uniform(*STEP_SECONDS)
        if random.random() >= IN_TURN_SHARE:
            count, step = random.randint(2, len(names)), 0.0
        for name in random.sample(names, count):
            work.append((at, GatewayStopped(name)))
            at += step
        at += random.uniform(*REST_SECONDS) - step
    return work


def draw_changes(random, names, seconds):
    """Reload settings and write versions all the time."""
    work = []
    at = random.uniform(*CHANGE_SECONDS)
    while at < seconds:
        if random.random() < 0.5:
            work.append((at, SettingsReloaded(random.choice(names))))
        else:
            work.append((at, DocumentChanged(random.randint(1, RACING_CHANGES))))
        at += random.uniform(*CHANGE_SECONDS)
    return work
