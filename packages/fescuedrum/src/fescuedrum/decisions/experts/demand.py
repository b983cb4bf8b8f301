"""Follow which experts are in demand from counts that only grow.

Load pattern: demand is steady for some seconds, with noise from the few requests that
run at a time, and then half of it moves to other experts at once. A long mean would
see the move late; a short one makes noise look like moves. So counts of one interval
are joined to the mean while they are like it, and replace it when they are not.
"""

SHIFT_THRESHOLD = 0.15
INTERVAL_WEIGHT = 0.5
MIN_COUNTS = 1000


class Demand:
    """Hold the demand of one group's experts, as parts of a layer."""

    __slots__ = ("has_shifted", "last_counts", "mean_shares")

    def __init__(self):
        self.last_counts = None
        self.mean_shares = None
        # Whether the newest interval was unlike what was known before.
        self.has_shifted = False

    def reset_counts(self):
        """Begin anew with the next counts: what lies between was no common interval."""
        self.last_counts = None

    def reset(self):
        """Drop what is known: demand has moved."""
        self.last_counts = self.mean_shares = None

    def observe(self, counts, layers):
        """Take counts since the ranks started, all layers one after another.

        Return whether the demand is known anew.
        """
        last, self.last_counts = self.last_counts, counts
        if last is None or len(last) != len(counts):
            return False
        grown = [now - then for now, then in zip(counts, last, strict=True)]
        if min(grown) < 0 or sum(grown) < MIN_COUNTS:
            return False
        shares = shares_by_layer(grown, layers)
        self.has_shifted = (
            self.mean_shares is not None
            and shifted_share(shares, self.mean_shares) > SHIFT_THRESHOLD
        )
        if self.mean_shares is None or self.has_shifted:
            self.mean_shares = shares
        else:
            self.mean_shares = blend(self.mean_shares, shares)
        return True


def shares_by_layer(counts, layers):
    """Return counts as parts of each layer's sum: parts[layer][expert]."""
    size = len(counts) // layers
    split = [counts[layer * size : (layer + 1) * size] for layer in range(layers)]
    return [[count / max(sum(each), 1) for count in each] for each in split]


def shifted_share(one, other):
    """Return the part of the demand that lies elsewhere, over all layers."""
    differences = (
        abs(mine - theirs)
        for mine_all, theirs_all in zip(one, other, strict=True)
        for mine, theirs in zip(mine_all, theirs_all, strict=True)
    )
    return sum(differences) / 2 / len(one)


def blend(old, new):
    return [
        [
            then + INTERVAL_WEIGHT * (now - then)
            for then, now in zip(olds, news, strict=True)
        ]
        for olds, news in zip(old, new, strict=True)
    ]
