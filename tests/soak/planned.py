"""Draw random planned work: overlapping stops, reloads and new documents."""

from soak.faults import (
    RACING_CHANGES,
    DocumentChanged,
    GatewayStopped,
    SettingsReloaded,
)

# Callers need time to open their persistent connections.
FIRST_SECONDS = (1.5, 3.0)
# A stop takes at least 2.6 s, so the next gateway stops before this one is back.
STEP_SECONDS = (0.6, 2.4)
# From the last signal of a group of stops to the first of the next group. Some gateways
# of the first group may still be stopping then.
REST_SECONDS = (3.0, 9.0)
IN_TURN_SHARE = 0.6
CHANGE_SECONDS = (0.3, 2.5)


def draw_work(random, names, seconds):
    """Return (second of the run, fault) pairs in order of time."""
    stops = draw_stops(random, names, seconds)
    changes = draw_changes(random, names, seconds)
    return sorted([*stops, *changes], key=lambda each: each[0])


def draw_stops(random, names, seconds):
    """Return groups of stops: of each gateway in turn, or of several at once."""
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
    """Return reloads of settings and new versions throughout the run."""
    work = []
    at = random.uniform(*CHANGE_SECONDS)
    while at < seconds:
        if random.random() < 0.5:
            work.append((at, SettingsReloaded(random.choice(names))))
        else:
            work.append((at, DocumentChanged(random.randint(1, RACING_CHANGES))))
        at += random.uniform(*CHANGE_SECONDS)
    return work
