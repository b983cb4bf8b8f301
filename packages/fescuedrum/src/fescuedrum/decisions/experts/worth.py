"""Choose the limits of a map change from the time that copies take.

Load pattern: demand shifts every few seconds, and until the map is changed, every pass
takes up to three times as long. For a change each rank copies its new experts, passes
are longer meanwhile, and the change waits for the rank with the most copies. If experts
are large, many copies would be ready only after demand has shifted again. If they are
small, a map that is limited to the first good steps leaves a third of the speed unused.
So the limits depend on the time per copy and the number of ranks.
"""

from fescuedrum.decisions.experts.even import MapLimits

# Time that the copies of one rank may take.
MAX_COPY_SECONDS = 0.2
# Lowest gain per copy: for each second that a copy takes, divided by the ranks.
GAIN_PER_COPY_SECOND = 18.0
MIN_GAIN = 0.01
# Lowest factor by which a change must shorten passes, and its increase with copy time.
MIN_IMPROVEMENT = 1.1
IMPROVEMENT_PER_COPY_SECOND = 4.0


def build_map_limits(profile, ranks):
    """Return the limits of one change for a group with the given number of ranks."""
    copies = int(MAX_COPY_SECONDS / profile.copy_seconds)
    return MapLimits(
        places=profile.places,
        spare=profile.spare,
        copies=max(copies, 1),
        min_gain=max(GAIN_PER_COPY_SECOND * profile.copy_seconds / ranks, MIN_GAIN),
    )


def min_improvement(profile):
    """Return the lowest factor by which a worthwhile change must shorten passes."""
    return MIN_IMPROVEMENT + IMPROVEMENT_PER_COPY_SECOND * profile.copy_seconds
