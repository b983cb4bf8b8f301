"""Take part in changes of the expert map at one rank's agent.

Load pattern: popularity has changed, and the group must change its map while it steps.
Without a step at which each rank holds until the decision, ranks would learn of the
decision in different steps, and for some steps a part of the group would send tokens to
experts that the other part has moved.

All methods return effects and do no I/O; the agent's process carries the effects out.
"""

from dataclasses import dataclass

from fescuedrum.groups.messages import (
    Arm,
    Armed,
    Ask,
    Decision,
    Discover,
    Fetch,
    HoldAfter,
    Load,
    Loaded,
    RankState,
    Refused,
    Release,
    SwitchAt,
    ToArbiter,
    ToEngine,
    ToHolder,
)

# Steps from arming to the hold step. Two round trips to the arbiter in one zone take
# about 8 ms, a quarter of a step; the rest is a reserve for a busy event loop.
HOLD_LEAD_STEPS = 8


@dataclass(slots=True, frozen=True)
class EngineState:
    """Hold an engine's state of its map, which survives a restart of its agent."""

    # The change whose map is in use or scheduled, and the first step under it.
    change: int
    step: int
    # The change for which it stops before hold_step, or 0.
    held: int = 0
    hold_step: int = 0
    # Changes whose weights it has.
    loaded: frozenset[int] = frozenset()


class Participant:
    """Represent one rank in the changes of its group's map."""

    __slots__ = (
        "base_changes",
        "decision_in_force",
        "highest_fence",
        "hold_lead_steps",
        "hold_step",
        "incarnation",
        "last_decision",
        "loaded",
        "pending_change",
        "promised_epoch",
        "rank",
    )

    def __init__(self, rank, incarnation, engine, *, hold_lead_steps=HOLD_LEAD_STEPS):
        """Start from the engine's state, because an agent has no state of its own."""
        self.rank = rank
        self.incarnation = incarnation
        self.hold_lead_steps = hold_lead_steps
        self.highest_fence = 0
        self.promised_epoch = 0
        self.loaded = set(engine.loaded)
        # By change, the change whose map it is based on according to the holder.
        self.base_changes = {}
        self.pending_change = engine.held
        self.hold_step = engine.hold_step if engine.held else None
        # The map that the engine uses or will use implies the decision of its change.
        self.decision_in_force = Decision(0, engine.change, True, engine.step)
        self.last_decision = self.decision_in_force

    def handle(self, message):
        """Handle a message and return the resulting effects."""
        match message:
            case Load():
                return self.handle_load(message)
            case Discover(arbiter):
                return [ToArbiter(self.rank_state(arbiter))]
            case Arm():
                return self.handle_arm(message)
            case Decision():
                return self.handle_decision(message)
        return []

    def handle_load(self, order):
        """Order the engine to fetch weights, or report that it has them."""
        if order.fence < self.highest_fence:
            return [ToHolder(Refused(self.highest_fence))]
        self.highest_fence = order.fence
        if order.change <= self.last_decision.change:
            return []
        self.base_changes = {order.change: order.base}
        if order.change in self.loaded:
            return [ToHolder(Loaded(self.rank, order.change))]
        return [ToEngine(Fetch(order.change, order.rate))]

    def fetched(self, change):
        """Handle the engine's message that it has the weights of a change."""
        if change <= self.last_decision.change:
            return []
        self.loaded.add(change)
        return [ToHolder(Loaded(self.rank, change))]

    def rank_state(self, arbiter):
        """Return the answer to an arbiter's Discover."""
        return RankState(
            self.rank,
            self.incarnation,
            arbiter,
            self.promised_epoch,
            self.pending_change,
            self.last_decision,
        )

    def handle_arm(self, order):
        """Promise the arbiter's epoch and answer for its change."""
        if order.epoch < self.promised_epoch:
            return []
        self.promised_epoch = order.epoch
        effects = self.apply_decision(order.previous) if order.previous else []
        return effects + self.answer_arm(order.change)

    def answer_arm(self, change):
        """Answer that a change is decided, can't be armed, or is armed.

        If it can be armed, order the engine to hold; held() sends the answer then.
        """
        known = self.known_decision(change)
        if known is not None:
            return [self.armed_message(change, None, known)]
        is_outdated = change < max(self.pending_change, self.last_decision.change)
        waits_for_earlier = 0 < self.pending_change < change
        if self.pending_change == change and self.hold_step is not None:
            return [self.armed_message(change, self.hold_step, None)]
        if is_outdated or waits_for_earlier or not self.has_usable_weights(change):
            return [self.armed_message(change, None, None)]
        self.pending_change = change
        return [ToEngine(HoldAfter(change, self.hold_lead_steps))]

    def has_usable_weights(self, change):
        """Return whether the weights are loaded and based on the map in force.

        A holder may have been told that a change was not committed, although a later
        arbiter found it armed at all ranks and committed it. The next plan of this
        holder is then based on the wrong map.
        """
        base = self.base_changes.get(change, self.decision_in_force.change)
        return change in self.loaded and base == self.decision_in_force.change

    def known_decision(self, change):
        """Return the decision of a change, or None if this rank doesn't know it."""
        for decision in (self.last_decision, self.decision_in_force):
            if decision.change == change:
                return decision
        return None

    def armed_message(self, change, hold_step, decision):
        """Return the effect that sends an answer to Arm."""
        return ToArbiter(
            Armed(
                self.rank,
                self.incarnation,
                self.promised_epoch,
                change,
                hold_step,
                decision,
            )
        )

    def held(self, change, hold_step):
        """Handle the engine's message that it will stop before a step for a change."""
        if change == self.pending_change:
            self.hold_step = hold_step
            return [self.armed_message(change, hold_step, None)]
        known = self.known_decision(change)
        if known is not None and known.committed:
            # The order to switch is in transit or lost, and a release would undo it.
            return [ToEngine(SwitchAt(change, known.step))]
        if change <= self.last_decision.change:
            # The order to hold arrived after the decision, so the engine must continue.
            return [ToEngine(Release(change))]
        if not self.pending_change:
            # An earlier agent of this rank sent the order and has ended since.
            self.pending_change = change
            self.hold_step = hold_step
            return self.tick()
        return []

    def handle_decision(self, decision):
        """Apply a decision unless it is outdated."""
        # A decision of an older epoch may be late and replaced by another one. A
        # decision for an earlier agent of this rank may be older than a promise of that
        # agent, which this one does not know.
        if (
            decision.epoch < self.promised_epoch
            or decision.incarnation != self.incarnation
        ):
            return []
        return self.apply_decision(decision)

    def apply_decision(self, decision):
        """Record a decision; order the engine to switch or to continue if it waits."""
        change = decision.change
        if not self.pending_change or change != self.pending_change:
            if not decision.committed and change > self.last_decision.change:
                self.last_decision = decision
                self.loaded.discard(change)
            return []
        self.pending_change = 0
        self.hold_step = None
        if change > self.last_decision.change:
            self.last_decision = decision
        if decision.committed:
            self.decision_in_force = decision
            return [ToEngine(SwitchAt(change, decision.step))]
        self.loaded.discard(change)
        return [ToEngine(Release(change))]

    def tick(self):
        """Repeat the order to hold or the question for the pending decision."""
        if not self.pending_change:
            return []
        if self.hold_step is None:
            return [ToEngine(HoldAfter(self.pending_change, self.hold_lead_steps))]
        return [ToArbiter(Ask(self.rank, self.incarnation, self.pending_change))]
