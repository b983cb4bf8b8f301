"""Weigh what a change of a map costs against the time that it saves.

Load pattern: demand moves every few seconds, and until the map follows, every pass
takes up to three times as long. A change costs each rank the copies of its new experts,
during which passes take longer, and it waits for the rank with most of them. Where
experts are large, many copies are ready only when demand has moved on; where they are
small, a map that stops at the first good steps leaves a third of the speed unused. So
the bounds follow from how long a copy takes and how many ranks share the work.
"""

from fescuedrum.decisions.experts.even import MapLimits

MAX_COPY_SECONDS = 0.2
GAIN_PER_COPY_SECOND = 18.0
MIN_GAIN = 0.01
MIN_IMPROVEMENT = 1.1
IMPROVEMENT_PER_COPY_SECOND = 4.0


def build_map_limits(profile, ranks):
    """Return the bounds of one change of a group with so many ranks."""
    copies = int(MAX_COPY_SECONDS / profile.copy_seconds)
    return MapLimits(
        places=profile.places,
        spare=profile.spare,
        copies=max(copies, 1),
        min_gain=max(GAIN_PER_COPY_SECOND * profile.copy_seconds / ranks, MIN_GAIN),
    )


def min_improvement(profile):
    """Return by which factor passes must get shorter for a change to be worth it."""
    return MIN_IMPROVEMENT + IMPROVEMENT_PER_COPY_SECOND * profile.copy_seconds
