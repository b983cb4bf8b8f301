"""Weigh what a change of a map costs against the time that it saves.

Load pattern: demand moves every few seconds, and until the map follows, every pass
takes up to three times as long. A change costs each rank the copies of its new experts,
during which passes take longer, and it waits for the rank with most of them. Where
experts are large, many copies are ready only when demand has moved on; where they are
small, a map that stops at the first good steps leaves a third of the speed unused. So
the bounds follow from how long a copy takes and how many ranks share the work.

Grounds for the figures, measured on counts of two groups. LONGEST_COPY_SECONDS: with
copies of 0.1 s at 12 ranks, two a rank left a skew of 1.45 after a shift and took
0.2 s, four left 1.39 and took 0.34 s; a shift comes every 3.4 s and triples the pass
until then. GAIN_PER_COPY_SECOND: at 12 ranks and 0.1 s this asks for 0.15 of the sum of
powers, where 0.1 and 0.2 were no better; at 63 ranks and 0.014 s LEAST_GAIN holds, and
the skew went from 3.7 to 1.2 instead of 1.7. LEAST_GAIN: a smaller one gave 1.20
instead of 1.22 for a third more work. LEAST_IMPROVEMENT: noise in counts moves the skew
of a good map by a tenth. IMPROVEMENT_PER_COPY_SECOND: estimated; a change at 12 ranks
copies some 50 GB and slows passes for 0.2 s, one at 63 ranks for 0.1 s.
"""

from fescuedrum.decisions.experts.even import MapLimits

LONGEST_COPY_SECONDS = 0.2
GAIN_PER_COPY_SECOND = 18.0
LEAST_GAIN = 0.01
LEAST_IMPROVEMENT = 1.1
IMPROVEMENT_PER_COPY_SECOND = 4.0


def limits_of(profile, ranks):
    """Return the bounds of one change of a group with so many ranks."""
    copies = int(LONGEST_COPY_SECONDS / profile.copy_seconds)
    return MapLimits(
        places=profile.places,
        spare=profile.spare,
        copies=max(copies, 1),
        least_gain=max(GAIN_PER_COPY_SECOND * profile.copy_seconds / ranks, LEAST_GAIN),
    )


def least_improvement(profile):
    """Return by which factor passes must get shorter for a change to be worth it."""
    return LEAST_IMPROVEMENT + IMPROVEMENT_PER_COPY_SECOND * profile.copy_seconds
