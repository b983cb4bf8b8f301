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
    Refused,
    Release,
    Standing,
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
        "decided",
        "floor",
        "hold_lead_steps",
        "hold_step",
        "in_force",
        "incarnation",
        "loaded",
        "pending",
        "promised",
        "rank",
    )

    def __init__(self, rank, incarnation, engine, *, hold_lead_steps=HOLD_LEAD_STEPS):
        """Start from what the engine tells: an agent keeps nothing over a restart."""
        self.rank = rank
        self.incarnation = incarnation
        self.hold_lead_steps = hold_lead_steps
        self.floor = 0
        self.promised = 0
        self.loaded = set(engine.loaded)
        # change: the change whose map it starts from, as the holder saw it.
        self.bases = {}
        self.pending = engine.held
        self.hold_step = engine.hold_step if engine.held else None
        # What the engine runs or will run shows what was decided of its change.
        self.in_force = Decision(0, engine.change, True, engine.step)
        self.decided = self.in_force

    def handle(self, message):
        """Take a message; return the effects."""
        match message:
            case Load():
                return self.load(message)
            case Discover(arbiter):
                return [ToArbiter(self.standing(arbiter))]
            case Arm():
                return self.arm(message)
            case Decision():
                return self.decide(message)
        return []

    def load(self, order):
        if order.fence < self.floor:
            return [ToHolder(Refused(self.floor))]
        self.floor = order.fence
        if order.change <= self.decided.change:
            return []
        self.bases = {order.change: order.base}
        if order.change in self.loaded:
            return [ToHolder(Loaded(self.rank, order.change))]
        return [ToEngine(Fetch(order.change, order.rate))]

    def fetched(self, change):
        """Take the engine's word that it has the weights of a change."""
        if change <= self.decided.change:
            return []
        self.loaded.add(change)
        return [ToHolder(Loaded(self.rank, change))]

    def standing(self, arbiter):
        return Standing(
            self.rank,
            self.incarnation,
            arbiter,
            self.promised,
            self.pending,
            self.decided,
        )

    def arm(self, order):
        if order.epoch < self.promised:
            return []
        self.promised = order.epoch
        effects = self.settle(order.previous) if order.previous else []
        return effects + self.answer(order.change)

    def answer(self, change):
        """Answer for a change: decided, unable, or armed once the engine holds."""
        known = self.known_decision(change)
        if known is not None:
            return [self.armed_answer(change, None, known)]
        is_old = change < max(self.pending, self.decided.change)
        waits_for_older = 0 < self.pending < change
        if self.pending == change and self.hold_step is not None:
            return [self.armed_answer(change, self.hold_step, None)]
        if is_old or waits_for_older or not self.has_whole(change):
            return [self.armed_answer(change, None, None)]
        self.pending = change
        return [ToEngine(HoldAfter(change, self.hold_lead_steps))]

    def has_whole(self, change):
        """Tell whether the weights are here and belong to the map in force.

        A holder may have been told that a change stays which a later arbiter found
        armed at all ranks and switched; its next plan starts from the wrong map then.
        """
        base = self.bases.get(change, self.in_force.change)
        return change in self.loaded and base == self.in_force.change

    def known_decision(self, change):
        for decision in (self.decided, self.in_force):
            if decision.change == change:
                return decision
        return None

    def armed_answer(self, change, hold_step, decision):
        return ToArbiter(
            Armed(
                self.rank, self.incarnation, self.promised, change, hold_step, decision
            )
        )

    def held(self, change, hold_step):
        """Take the engine's word that it will stop before a step for a change."""
        if change == self.pending:
            self.hold_step = hold_step
            return [self.armed_answer(change, hold_step, None)]
        known = self.known_decision(change)
        if known is not None and known.committed:
            # The order to switch is under way or lost; to release would undo it.
            return [ToEngine(SwitchAt(change, known.step))]
        if change <= self.decided.change:
            # An order to hold came after the decision: the engine must go on.
            return [ToEngine(Release(change))]
        if not self.pending:
            # The order of an earlier agent of this rank, which ended before its word.
            self.pending = change
            self.hold_step = hold_step
            return self.tick()
        return []

    def decide(self, decision):
        # An older epoch's decision may be late, and another may have been made since;
        # one meant for an earlier agent of this rank may predate a promise it forgot.
        if decision.epoch < self.promised or decision.incarnation != self.incarnation:
            return []
        return self.settle(decision)

    def settle(self, decision):
        change = decision.change
        if not self.pending or change != self.pending:
            if not decision.committed and change > self.decided.change:
                self.decided = decision
                self.loaded.discard(change)
            return []
        self.pending = 0
        self.hold_step = None
        if change > self.decided.change:
            self.decided = decision
        if decision.committed:
            self.in_force = decision
            return [ToEngine(SwitchAt(change, decision.step))]
        self.loaded.discard(change)
        return [ToEngine(Release(change))]

    def tick(self):
        """Ask again for the decision that this rank waits for."""
        if not self.pending:
            return []
        if self.hold_step is None:
            return [ToEngine(HoldAfter(self.pending, self.hold_lead_steps))]
        return [ToArbiter(Ask(self.rank, self.incarnation, self.pending))]
