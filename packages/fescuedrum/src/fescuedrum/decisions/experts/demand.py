"""Estimate the demand for experts from cumulative counts.

Load pattern: demand is steady for some seconds, with noise from the few requests that
run at a time, and then half of it moves to other experts at once. A mean over a long
time would show the shift late, and with a mean over a short time noise looks like a
shift. So the counts of an interval are blended into the mean while they are similar to
it, and replace it when they are not.
"""

# Fraction of the demand on other experts above which an interval counts as a shift.
SHIFT_THRESHOLD = 0.15
# Weight of a new interval in the mean.
INTERVAL_WEIGHT = 0.5
# Intervals with fewer counts are ignored.
MIN_COUNTS = 1000


class Demand:
    """Estimate the demand for one group's experts, as shares of each layer's total."""

    __slots__ = ("has_shifted", "last_counts", "mean_shares")

    def __init__(self):
        self.last_counts = None
        self.mean_shares = None
        # Whether the latest interval differed from the mean by more than the threshold.
        self.has_shifted = False

    def reset_counts(self):
        """Forget the last counts, because the next ones are not comparable to them."""
        self.last_counts = None

    def reset(self):
        """Discard the estimate, because demand has shifted."""
        self.last_counts = self.mean_shares = None

    def observe(self, counts, layers):
        """Update the estimate from the counts since the ranks started.

        counts lists the experts of the first layer, then those of the second, and so
        on. Return whether the estimate was updated.
        """
        last, self.last_counts = self.last_counts, counts
        if last is None or len(last) != len(counts):
            return False
        increases = [now - then for now, then in zip(counts, last, strict=True)]
        if min(increases) < 0 or sum(increases) < MIN_COUNTS:
            return False
        shares = shares_by_layer(increases, layers)
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
    """Return each expert's share of its layer's counts, as shares[layer][expert]."""
    size = len(counts) // layers
    split = [counts[layer * size : (layer + 1) * size] for layer in range(layers)]
    return [[count / max(sum(each), 1) for count in each] for each in split]


def shifted_share(one, other):
    """Return the share of the demand that is on other experts, the mean over layers."""
    differences = (
        abs(share - other_share)
        for layer, other_layer in zip(one, other, strict=True)
        for share, other_share in zip(layer, other_layer, strict=True)
    )
    return sum(differences) / 2 / len(one)


def blend(old, new):
    """Return the mean of old and new shares, weighted by INTERVAL_WEIGHT."""
    return [
        [
            then + INTERVAL_WEIGHT * (now - then)
            for then, now in zip(olds, news, strict=True)
        ]
        for olds, news in zip(old, new, strict=True)
    ]
