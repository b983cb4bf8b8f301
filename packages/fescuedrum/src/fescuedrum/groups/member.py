"""Follow a change of the expert map at one rank's agent.

Load pattern: popularity has moved and the group is to change its map while it steps.
Without a horizon, ranks would learn of the decision in different steps, and for some
steps one part of the group would send tokens to experts that the other part has moved.

All calls return effects and do no I/O; the agent's process carries them out.
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

# Steps from arming to the horizon: two exchanges with the arbiter in one zone take
# about 8 ms, a quarter of a step; the rest is for a loop that is busy.
HOLD_LEAD_STEPS = 8


@dataclass(slots=True, frozen=True)
class EngineState:
    """Hold what an engine tells of its map; it outlives its agent."""

    # The change whose map is used or will be, and the first step under it.
    change: int
    step: int
    # The change for which it stops before a step, 0 for none.
    held: int = 0
    hold_step: int = 0
    loaded: frozenset[int] = frozenset()


class Participant:
    """Hold one rank's part in a change."""

    __slots__ = (
        "bases",
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
        """Start from what the engine tells: an agent keeps nothing over a restart."""
        self.rank = rank
        self.incarnation = incarnation
        self.hold_lead_steps = hold_lead_steps
        self.highest_fence = 0
        self.promised_epoch = 0
        self.loaded = set(engine.loaded)
        # change: the change whose map it starts from, as the holder saw it.
        self.bases = {}
        self.pending_change = engine.held
        self.hold_step = engine.hold_step if engine.held else None
        # What the engine runs or will run shows what was decided of its change.
        self.decision_in_force = Decision(0, engine.change, True, engine.step)
        self.last_decision = self.decision_in_force

    def handle(self, message):
        """Take a message; return the effects."""
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
        if order.fence < self.highest_fence:
            return [ToHolder(Refused(self.highest_fence))]
        self.highest_fence = order.fence
        if order.change <= self.last_decision.change:
            return []
        self.bases = {order.change: order.base}
        if order.change in self.loaded:
            return [ToHolder(Loaded(self.rank, order.change))]
        return [ToEngine(Fetch(order.change, order.rate))]

    def fetched(self, change):
        """Take the engine's word that it has the weights of a change."""
        if change <= self.last_decision.change:
            return []
        self.loaded.add(change)
        return [ToHolder(Loaded(self.rank, change))]

    def rank_state(self, arbiter):
        return RankState(
            self.rank,
            self.incarnation,
            arbiter,
            self.promised_epoch,
            self.pending_change,
            self.last_decision,
        )

    def handle_arm(self, order):
        if order.epoch < self.promised_epoch:
            return []
        self.promised_epoch = order.epoch
        effects = self.apply_decision(order.previous) if order.previous else []
        return effects + self.answer(order.change)

    def answer(self, change):
        """Answer for a change: decided, unable, or armed once the engine holds."""
        known = self.known_decision(change)
        if known is not None:
            return [self.armed_answer(change, None, known)]
        is_old = change < max(self.pending_change, self.last_decision.change)
        waits_for_older = 0 < self.pending_change < change
        if self.pending_change == change and self.hold_step is not None:
            return [self.armed_answer(change, self.hold_step, None)]
        if is_old or waits_for_older or not self.has_usable_weights(change):
            return [self.armed_answer(change, None, None)]
        self.pending_change = change
        return [ToEngine(HoldAfter(change, self.hold_lead_steps))]

    def has_usable_weights(self, change):
        """Tell whether the weights are here and belong to the map in force.

        A holder may have been told that a change stays which a later arbiter found
        armed at all ranks and switched; its next plan starts from the wrong map then.
        """
        base = self.bases.get(change, self.decision_in_force.change)
        return change in self.loaded and base == self.decision_in_force.change

    def known_decision(self, change):
        for decision in (self.last_decision, self.decision_in_force):
            if decision.change == change:
                return decision
        return None

    def armed_answer(self, change, hold_step, decision):
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
        """Take the engine's word that it will stop before a step for a change."""
        if change == self.pending_change:
            self.hold_step = hold_step
            return [self.armed_answer(change, hold_step, None)]
        known = self.known_decision(change)
        if known is not None and known.committed:
            # The order to switch is under way or lost; to release would undo it.
            return [ToEngine(SwitchAt(change, known.step))]
        if change <= self.last_decision.change:
            # An order to hold came after the decision: the engine must go on.
            return [ToEngine(Release(change))]
        if not self.pending_change:
            # The order of an earlier agent of this rank, which ended before its word.
            self.pending_change = change
            self.hold_step = hold_step
            return self.tick()
        return []

    def handle_decision(self, decision):
        # An older epoch's decision may be late, and another may have been made since;
        # one meant for an earlier agent of this rank may predate a promise it forgot.
        if (
            decision.epoch < self.promised_epoch
            or decision.incarnation != self.incarnation
        ):
            return []
        return self.apply_decision(decision)

    def apply_decision(self, decision):
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
        """Ask again for the decision that this rank waits for."""
        if not self.pending_change:
            return []
        if self.hold_step is None:
            return [ToEngine(HoldAfter(self.pending_change, self.hold_lead_steps))]
        return [ToArbiter(Ask(self.rank, self.incarnation, self.pending_change))]
