"""Weigh what a change of the expert map costs against what it saves.

Load pattern: many groups drift at the same time, and all fetch weights from one store
with a limited rate. Without a price every wobble of popularity would be answered with
moves, the store would be busy for ever, and steps would stall for gains smaller than
the stalls.

Costs and savings are both seconds of the group's stepping, so that they compare. A
change costs a stall, interference while weights are fetched, and a fixed amount for
the risk of any change; it saves the lower step time from when the weights have come
until popularity is expected to have moved on.
"""

from dataclasses import dataclass

from fescuedrum.decisions.experts.placement import count_fetches


@dataclass(slots=True, frozen=True)
class ChangeCosts:
    """Hold the figures of a group and of its share of the weight store."""

    # Bytes of one expert of one layer.
    expert_bytes: int = 90_000_000
    # Bytes a second that this group gets of the weight store, which all groups share.
    store_bytes_per_second: float = 5e8
    # Seconds of a step; the users' 34 ms between tokens bound it.
    step_seconds: float = 0.03
    # Steps that a change holds the group up, in total.
    stall_steps: float = 2.0
    # Part by which this group's steps, and others' that wait for the store, are slower
    # while weights are fetched.
    interference: float = 0.25
    # Seconds that any change must save beyond its other costs.
    risk_seconds: float = 1.0
    # A smaller part of step time than this is noise of the measured loads.
    min_saving: float = 0.006


@dataclass(slots=True, frozen=True)
class Balance:
    """Hold one change's price and worth, in seconds of the group's stepping."""

    fetched: int
    fetched_bytes: int
    load_seconds: float
    cost_seconds: float
    # Part of the step time that the change saves.
    saving: float
    saved_seconds: float

    @property
    def net_seconds(self):
        return self.saved_seconds - self.cost_seconds

    @property
    def is_worthwhile(self):
        return self.net_seconds > 0


def assess(costs, current, changed, current_time, changed_time, valid_seconds):
    """Weigh a change; the times are step times over the ideal, lasting in seconds."""
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
