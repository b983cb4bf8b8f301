"""Decide changes of the expert map at the agent of the lowest rank.

The group can't step without that rank, so deciding there adds no failure that the
group did not have, and no outage of the platform's table leaves ranks at their horizon.

A decision to switch names the highest horizon: each rank starts no step from its own
horizon on without the decision, so no rank has started that step under the old map.

An arbiter that has started anew remembers nothing. It asks every rank, takes an epoch
above all promises, and for what is pending waits for the answers of all: a switch that
an earlier arbiter decided is known to a rank, or no rank will take it any more.
"""

from fescuedrum.groups.messages import (
    Arm,
    Armed,
    Ask,
    Decision,
    DecisionRequest,
    Discover,
    Inquire,
    Outcome,
    RankState,
    Refused,
    ToHolder,
    ToRank,
)

# Ranks that have not armed by then end the change; the group steps on until horizons.
ARM_TIMEOUT_SECONDS = 2.0
KEPT_DECISIONS = 16


class ArmingRound:
    """Hold the answers for one change."""

    __slots__ = ("answers", "change", "deadline", "may_be_decided")

    def __init__(self, change, deadline, *, may_be_decided):
        self.change = change
        self.deadline = deadline
        # An earlier arbiter may have decided it: only all answers show.
        self.may_be_decided = may_be_decided
        self.answers = {}


class Arbiter:
    """Run one change at a time and remember the last decisions."""

    __slots__ = (
        "decisions",
        "epoch",
        "highest_fence",
        "incarnation",
        "queued_changes",
        "rank_states",
        "ranks",
        "round",
    )

    def __init__(self, ranks, incarnation):
        self.ranks = tuple(ranks)
        self.incarnation = incarnation
        self.epoch = 0
        self.highest_fence = 0
        self.rank_states = {}
        # change: Decision, the last ones.
        self.decisions = {}
        self.round = None
        # Changes that wait for a round, each with whether it may be decided.
        self.queued_changes = {}

    @property
    def ready(self):
        """Tell whether every rank has said what it knows."""
        return self.epoch > 0

    def start(self):
        return [ToRank(rank, Discover(self.incarnation)) for rank in self.ranks]

    def handle(self, message, now):
        """Take a message; return the effects."""
        match message:
            case RankState():
                return self.handle_rank_state(message, now)
            case DecisionRequest():
                return self.handle_request(message, now)
            case Inquire(fence):
                return self.handle_inquiry(fence)
            case Armed():
                return self.handle_armed(message, now)
            case Ask():
                return self.handle_ask(message, now)
        return []

    def handle_rank_state(self, rank_state, now):
        if self.ready or rank_state.arbiter != self.incarnation:
            return []
        self.rank_states[rank_state.rank] = rank_state
        if len(self.rank_states) < len(self.ranks):
            return []
        rank_states = self.rank_states.values()
        self.epoch = 1 + max(each.promised_epoch for each in rank_states)
        for each in rank_states:
            if each.last_decision is not None:
                self.remember_decision(each.last_decision)
        for each in rank_states:
            if each.pending_change and each.pending_change not in self.decisions:
                self.queued_changes[each.pending_change] = True
        return self.next_round(now)

    def handle_request(self, order, now):
        if order.fence < self.highest_fence:
            return [ToHolder(Refused(self.highest_fence))]
        self.highest_fence = order.fence
        if not self.ready:
            return []
        if self.is_decided(order.change):
            return [ToHolder(self.outcome(order.change))]
        if not self.is_under_way(order.change):
            self.queued_changes[order.change] = False
        return self.next_round(now)

    def is_under_way(self, change):
        under_way = self.round is not None and self.round.change == change
        return under_way or change in self.queued_changes

    def is_decided(self, change):
        """Tell whether a change is decided, or a later one is and this never began."""
        is_late = change <= self.latest_decided_change() and not self.is_under_way(
            change
        )
        return change in self.decisions or is_late

    def handle_inquiry(self, fence):
        if fence < self.highest_fence:
            return [ToHolder(Refused(self.highest_fence))]
        self.highest_fence = fence
        if not self.ready:
            return []
        return [ToHolder(self.outcome(self.latest_decided_change()))]

    def latest_decided_change(self):
        return max(self.decisions, default=0)

    def outcome(self, change):
        decision = self.decisions.get(change) or Decision(0, change, False, 0)
        busy = self.round is not None or bool(self.queued_changes)
        return Outcome(change, decision.committed, decision.step, busy)

    def next_round(self, now):
        """Arm all ranks for the lowest change that waits, if none is under way."""
        if self.round is not None or not self.queued_changes:
            return []
        change = min(self.queued_changes)
        may_be_decided = self.queued_changes.pop(change)
        deadline = now + ARM_TIMEOUT_SECONDS
        self.round = ArmingRound(change, deadline, may_be_decided=may_be_decided)
        return [self.arm_message(rank) for rank in self.ranks]

    def arm_message(self, rank):
        previous = self.decisions.get(self.latest_decided_change())
        return ToRank(rank, Arm(self.epoch, self.round.change, previous))

    def handle_armed(self, answer, now):
        if answer.change in self.decisions:
            return [self.decision_for(answer.rank, answer.incarnation, answer.change)]
        current = self.round
        if current is None or answer.change != current.change:
            return []
        if answer.epoch != self.epoch:
            return []
        current.answers[answer.rank] = answer
        if len(current.answers) < len(self.ranks):
            return []
        return self.decide(now)

    def decide(self, now):
        """Decide once all ranks have answered."""
        answers = self.round.answers.values()
        known = [each.decision for each in answers if each.decision is not None]
        if known:
            return self.record_decision(known[0].committed, known[0].step, now)
        horizons = [each.hold_step for each in answers]
        if None in horizons:
            return self.record_decision(False, 0, now)
        return self.record_decision(True, max(horizons), now)

    def record_decision(self, committed, step, now):
        change = self.round.change
        answers = self.round.answers
        self.remember_decision(Decision(self.epoch, change, committed, step))
        self.round = None
        effects = [
            self.decision_for(rank, answer.incarnation, change)
            for rank, answer in answers.items()
        ]
        effects.append(ToHolder(self.outcome(change)))
        return effects + self.next_round(now)

    def remember_decision(self, decision):
        self.decisions[decision.change] = decision
        while len(self.decisions) > KEPT_DECISIONS:
            del self.decisions[min(self.decisions)]

    def decision_for(self, rank, incarnation, change):
        known = self.decisions[change]
        decision = Decision(
            self.epoch, change, known.committed, known.step, incarnation
        )
        return ToRank(rank, decision)

    def handle_ask(self, question, now):
        if not self.ready:
            return []
        if question.change in self.decisions:
            return [
                self.decision_for(question.rank, question.incarnation, question.change)
            ]
        if not self.is_under_way(question.change):
            # Armed by an earlier arbiter's order that came after its answer to us.
            self.queued_changes[question.change] = True
        return self.next_round(now)

    def tick(self, now):
        """Ask again whoever has not answered; end a change that can't be armed."""
        if not self.ready:
            missing = [rank for rank in self.ranks if rank not in self.rank_states]
            return [ToRank(rank, Discover(self.incarnation)) for rank in missing]
        current = self.round
        if current is None:
            return self.next_round(now)
        if now >= current.deadline and not current.may_be_decided:
            return self.record_decision(False, 0, now)
        missing = [rank for rank in self.ranks if rank not in current.answers]
        return [self.arm_message(rank) for rank in missing]
