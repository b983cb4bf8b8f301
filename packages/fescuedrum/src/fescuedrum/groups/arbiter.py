"""Decide changes of the expert map at the agent of the lowest rank.

The group can't step without that rank, so deciding there adds no new point of failure,
and an outage of the platform's table can't leave ranks waiting at their hold steps.

A decision to switch names the highest hold step of all ranks. No rank starts its hold
step or a later one without the decision, so no rank has started the named step under
the old map.

A restarted arbiter has no memory of earlier decisions. It asks every rank for its
state, chooses an epoch above all promised epochs, and waits for the answers of all
ranks to pending changes: a switch that an earlier arbiter decided is either known to a
rank, or no rank will accept that decision any more.
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

# Time after which a change is abandoned if a rank has not armed. The group continues
# to step up to its hold steps meanwhile.
ARM_TIMEOUT_SECONDS = 2.0
MAX_KEPT_DECISIONS = 16


class ArmingRound:
    """Hold the ranks' answers for one change."""

    __slots__ = ("answers", "change", "deadline", "may_be_decided")

    def __init__(self, change, deadline, *, may_be_decided):
        self.change = change
        self.deadline = deadline
        # Whether an earlier arbiter may have decided it, which only the answers of all
        # ranks show.
        self.may_be_decided = may_be_decided
        self.answers = {}


class Arbiter:
    """Coordinate one change at a time and keep the latest decisions."""

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
        # Decisions by change, only the latest ones.
        self.decisions = {}
        self.round = None
        # Changes that wait for a round, with the may_be_decided of each.
        self.queued_changes = {}

    @property
    def ready(self):
        """Return whether every rank has reported its state."""
        return self.epoch > 0

    def start(self):
        """Return the effects that ask every rank for its state."""
        return [ToRank(rank, Discover(self.incarnation)) for rank in self.ranks]

    def handle(self, message, now):
        """Handle a message and return the resulting effects."""
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
        """Record a rank's state; become ready when all ranks have reported."""
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
        return self.start_next_round(now)

    def handle_request(self, order, now):
        """Queue a change, or return its outcome if it is decided."""
        if order.fence < self.highest_fence:
            return [ToHolder(Refused(self.highest_fence))]
        self.highest_fence = order.fence
        if not self.ready:
            return []
        if self.is_decided(order.change):
            return [ToHolder(self.outcome(order.change))]
        if not self.is_under_way(order.change):
            self.queued_changes[order.change] = False
        return self.start_next_round(now)

    def is_under_way(self, change):
        """Return whether a change is in the current round or queued."""
        under_way = self.round is not None and self.round.change == change
        return under_way or change in self.queued_changes

    def is_decided(self, change):
        """Return whether a change is decided or was overtaken by a later change."""
        is_late = change <= self.latest_decided_change() and not self.is_under_way(
            change
        )
        return change in self.decisions or is_late

    def handle_inquiry(self, fence):
        """Return the outcome of the latest decided change for a new holder."""
        if fence < self.highest_fence:
            return [ToHolder(Refused(self.highest_fence))]
        self.highest_fence = fence
        if not self.ready:
            return []
        return [ToHolder(self.outcome(self.latest_decided_change()))]

    def latest_decided_change(self):
        """Return the highest number of a decided change, or 0."""
        return max(self.decisions, default=0)

    def outcome(self, change):
        """Return the Outcome of a change, not committed if it is unknown."""
        decision = self.decisions.get(change) or Decision(0, change, False, 0)
        busy = self.round is not None or bool(self.queued_changes)
        return Outcome(change, decision.committed, decision.step, busy)

    def start_next_round(self, now):
        """Arm all ranks for the lowest queued change unless a round is under way."""
        if self.round is not None or not self.queued_changes:
            return []
        change = min(self.queued_changes)
        may_be_decided = self.queued_changes.pop(change)
        deadline = now + ARM_TIMEOUT_SECONDS
        self.round = ArmingRound(change, deadline, may_be_decided=may_be_decided)
        return [self.arm_message(rank) for rank in self.ranks]

    def arm_message(self, rank):
        """Return the effect that asks a rank to arm for the current round."""
        previous = self.decisions.get(self.latest_decided_change())
        return ToRank(rank, Arm(self.epoch, self.round.change, previous))

    def handle_armed(self, answer, now):
        """Record a rank's answer; decide when all ranks have answered."""
        if answer.change in self.decisions:
            return [
                self.decision_message(answer.rank, answer.incarnation, answer.change)
            ]
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
        """Decide the current round from the answers of all ranks."""
        answers = self.round.answers.values()
        known = [each.decision for each in answers if each.decision is not None]
        if known:
            return self.record_decision(known[0].committed, known[0].step, now)
        hold_steps = [each.hold_step for each in answers]
        if None in hold_steps:
            return self.record_decision(False, 0, now)
        return self.record_decision(True, max(hold_steps), now)

    def record_decision(self, committed, step, now):
        """End the round with a decision and return the effects that announce it."""
        change = self.round.change
        answers = self.round.answers
        self.remember_decision(Decision(self.epoch, change, committed, step))
        self.round = None
        effects = [
            self.decision_message(rank, answer.incarnation, change)
            for rank, answer in answers.items()
        ]
        effects.append(ToHolder(self.outcome(change)))
        return effects + self.start_next_round(now)

    def remember_decision(self, decision):
        """Keep a decision and drop the oldest above MAX_KEPT_DECISIONS."""
        self.decisions[decision.change] = decision
        while len(self.decisions) > MAX_KEPT_DECISIONS:
            del self.decisions[min(self.decisions)]

    def decision_message(self, rank, incarnation, change):
        """Return the effect that sends a known decision to a rank."""
        known = self.decisions[change]
        decision = Decision(
            self.epoch, change, known.committed, known.step, incarnation
        )
        return ToRank(rank, decision)

    def handle_ask(self, question, now):
        """Send the decision to a rank that waits for it, or queue its change."""
        if not self.ready:
            return []
        if question.change in self.decisions:
            return [
                self.decision_message(
                    question.rank, question.incarnation, question.change
                )
            ]
        if not self.is_under_way(question.change):
            # The rank was armed by an earlier arbiter after reporting its state here.
            self.queued_changes[question.change] = True
        return self.start_next_round(now)

    def tick(self, now):
        """Repeat unanswered messages, and abandon a change that takes too long."""
        if not self.ready:
            missing = [rank for rank in self.ranks if rank not in self.rank_states]
            return [ToRank(rank, Discover(self.incarnation)) for rank in missing]
        current = self.round
        if current is None:
            return self.start_next_round(now)
        if now >= current.deadline and not current.may_be_decided:
            return self.record_decision(False, 0, now)
        missing = [rank for rank in self.ranks if rank not in current.answers]
        return [self.arm_message(rank) for rank in missing]
