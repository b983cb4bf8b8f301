"""Compare the cost of a change of the expert map with the time that it saves.

Load pattern: popularity drifts in many groups at the same time, and all of them fetch
weights from one store of limited bandwidth. Without a cost for changes, every small
variation of popularity would cause moves, the store would be busy permanently, and
steps would stall for gains smaller than the stalls.

Costs and savings are both measured in seconds of the group's step time. A change costs
a stall, interference while weights are fetched, and a fixed amount for the risk of any
change. It saves step time from when the weights have been fetched until popularity is
expected to have changed.
"""

from dataclasses import dataclass

from fescuedrum.decisions.experts.placement import count_fetches


@dataclass(slots=True, frozen=True)
class ChangeCosts:
    """Hold the parameters of a group and of its share of the weight store."""

    # Size of the weights of one expert of one layer.
    expert_bytes: int = 90_000_000
    # Bandwidth of this group at the weight store, which all groups share.
    store_bytes_per_second: float = 5e8
    # Duration of a step, at most the 34 ms between tokens that users expect.
    step_seconds: float = 0.03
    # Steps for which a change stalls the group, in total.
    stall_steps: float = 2.0
    # Fraction by which steps of this group, and of others that wait for the store, are
    # slower while weights are fetched.
    interference: float = 0.25
    # Time that any change must save in addition to its other costs.
    risk_seconds: float = 1.0
    # Savings below this fraction of the step time are noise in the measured loads.
    min_saving: float = 0.006


@dataclass(slots=True, frozen=True)
class Balance:
    """Hold the cost and the savings of one change, in seconds of step time."""

    # Number of experts to fetch.
    fetched: int
    fetched_bytes: int
    load_seconds: float
    cost_seconds: float
    # Fraction of the step time that the change saves.
    saving: float
    saved_seconds: float

    @property
    def net_seconds(self):
        return self.saved_seconds - self.cost_seconds

    @property
    def is_worthwhile(self):
        """Return whether the change saves more than it costs."""
        return self.net_seconds > 0


def assess(costs, current, changed, current_time, changed_time, valid_seconds):
    """Return the Balance of a change.

    current_time and changed_time are step times relative to the ideal step time, and
    valid_seconds is how long the forecast behind them is expected to hold.
    """
    fetched = count_fetches(current, changed)
    fetched_bytes = fetched * costs.expert_bytes
    load_seconds = fetched_bytes / costs.store_bytes_per_second
    cost = costs.risk_seconds
    cost += costs.stall_steps * costs.step_seconds
    cost += costs.interference * load_seconds
    saving = (current_time - changed_time) / current_time
    if saving < costs.min_saving:
        saving = 0.0
    saved = saving * max(valid_seconds - load_seconds, 0.0)
    return Balance(fetched, fetched_bytes, load_seconds, cost, saving, saved)
