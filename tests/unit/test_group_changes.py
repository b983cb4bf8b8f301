"""Check changes of the expert map in all orders of events in small groups."""

import dataclasses

import pytest

from fescuedrum.groups.arbiter import Arbiter
from fescuedrum.groups.holder import Holder, HolderPhase
from fescuedrum.groups.member import EngineState, Participant
from fescuedrum.groups.messages import (
    Arm,
    Armed,
    Decision,
    Load,
    Refused,
    SwitchAt,
    ToEngine,
    ToHolder,
    ToRank,
)
from fescuedrum_bench.exploration import Classes, Explorer, Faults, Scenario, Violation

# Keep these unchanged: each detected a planted defect or checks a guarantee.
SCENARIOS = {
    "no faults, three ranks": Scenario(ranks=3),
    "loading": Scenario(loading=True),
    "lost and repeated": Scenario(faults=Faults(losses=1, repeats=1)),
    "lost twice": Scenario(faults=Faults(losses=2)),
    "arbiter killed": Scenario(faults=Faults(kills=(0,), losses=1)),
    "arbiter killed twice": Scenario(faults=Faults(kills=(0, 0))),
    "both agents killed": Scenario(faults=Faults(kills=(0, 1))),
    "agent killed, engine slow, ignores fencing": Scenario(
        faults=Faults(kills=(1,), timeouts=1), slow_orders=True, fenced=False
    ),
    "arbiter killed, engine slow, ignores fencing": Scenario(
        faults=Faults(kills=(0,)), slow_orders=True, fenced=False
    ),
    "late rank": Scenario(faults=Faults(timeouts=1, kills=(0,))),
    "late rank, agent killed": Scenario(faults=Faults(timeouts=1, kills=(1, 0))),
    "holder replaced and woken": Scenario(
        faults=Faults(new_holders=1, wakings=1, timeouts=1)
    ),
    "rank not loaded": Scenario(unloaded=(1,), faults=Faults(kills=(0,), losses=1)),
    "three ranks, arbiter killed": Scenario(ranks=3, faults=Faults(kills=(0,))),
    "three ranks, agents killed": Scenario(ranks=3, faults=Faults(kills=(0, 2))),
}


WALKS = 150


@pytest.mark.parametrize("name", list(SCENARIOS))
def test_no_step_runs_under_two_maps(name):
    """Guard against wrong answers during a change of the map.

    One rank used the new map a step before another, so tokens were sent to experts that
    the receiver did not have. A message was late, lost or duplicated, or a process was
    killed during the change.
    """
    explorer = Explorer(SCENARIOS[name])
    explorer.walk(WALKS)
    assert explorer.checked == WALKS


@pytest.mark.parametrize("loading", [False, True])
def test_all_event_orders_without_faults_keep_one_map(loading):
    explorer = Explorer(Scenario(loading=loading))
    assert explorer.run() > 100
    assert explorer.complete


def test_late_order_to_hold_does_not_undo_a_switch():
    """Guard against a rank that keeps the old map and misroutes its tokens.

    A slow engine accepts a repeated order to hold after the decision and reports that
    it holds. The agent treated that as an old hold and released it, which dropped the
    new weights before the order to switch arrived.
    """
    engine = EngineState(0, 0, loaded=frozenset({5}))
    participant = Participant(1, 1, engine)
    participant.handle(Arm(1, 5, None))
    participant.held(5, 17)
    participant.handle(Decision(1, 5, True, 17, 1))
    assert participant.held(5, 17) == [ToEngine(SwitchAt(5, 17))]


def test_rank_with_another_base_map_does_not_arm():
    """Guard against a plan based on a map that was replaced unknown to the holder."""
    participant = Participant(1, 1, EngineState(7, 3, loaded=frozenset({7, 9})))
    participant.handle(Load(9, 1, base=5))
    (answer,) = participant.handle(Arm(1, 9, None))
    assert answer.message.hold_step is None


class LowestHoldStep(Arbiter):
    """Switch at the lowest hold step, which a faster rank has passed."""

    def decide(self, now):
        hold_steps = [each.hold_step for each in self.round.answers.values()]
        if None in hold_steps:
            return self.record_decision(False, 0, now)
        return self.record_decision(True, min(hold_steps), now)


class DecidesAlone(Arbiter):
    """Abandon a change after a restart without the answers of all ranks."""

    def tick(self, now):
        if self.round is not None:
            self.round.may_be_decided = False
        return super().tick(now)


class ForgetsToRaise(Arbiter):
    """Use the same epoch as the previous arbiter."""

    def handle_rank_state(self, rank_state, now):
        lower = dataclasses.replace(
            rank_state, promised_epoch=max(0, rank_state.promised_epoch - 1)
        )
        return super().handle_rank_state(lower, now)


class OverridesKnown(Arbiter):
    """Decide again although a rank knows the decision."""

    def decide(self, now):
        hold_steps = [each.hold_step or 0 for each in self.round.answers.values()]
        return self.record_decision(True, max(hold_steps), now)


class AnswersStay(Arbiter):
    """Answer a rank's question about an unknown change that the old map stays."""

    def handle_ask(self, question, now):
        if question.change not in self.decisions:
            decision = Decision(
                self.epoch, question.change, False, 0, question.incarnation
            )
            return [ToRank(question.rank, decision)]
        return super().handle_ask(question, now)


class DecidesWithoutLast(Arbiter):
    """Decide when all ranks but one have answered."""

    def handle_armed(self, answer, now):
        effects = super().handle_armed(answer, now)
        current = self.round
        if current and len(current.answers) == len(self.ranks) - 1:
            return effects + self.decide(now)
        return effects


class TakesOldEpochs(Participant):
    """Accept a decision of an earlier arbiter after a promise to a later one."""

    def handle_decision(self, decision):
        return self.apply_decision(decision)


class ArmsUnloaded(Participant):
    """Arm for a map whose weights are not loaded."""

    def answer_arm(self, change):
        self.loaded.add(change)
        return super().answer_arm(change)


class GivesUpWaiting(Participant):
    """Continue past the hold step without a decision."""

    def tick(self):
        if self.pending_change:
            change, self.pending_change = self.pending_change, 0
            return [ToEngine(SwitchAt(change, self.hold_step or 0))]
        return []


class ForgetsHold(Participant):
    """Restart without reading from the engine what it waits for."""

    def __init__(self, rank, incarnation, engine, **options):
        forgotten = dataclasses.replace(engine, held=0)
        super().__init__(rank, incarnation, forgotten, **options)

    def held(self, change, hold_step):
        return super().held(change, hold_step) if change == self.pending_change else []


class AnswersBeforeHold(Participant):
    """Answer with a hold step before the engine has confirmed it."""

    def answer_arm(self, change):
        effects = super().answer_arm(change)
        if self.pending_change == change and self.hold_step is None:
            self.hold_step = 1
            effects.append(self.armed_message(change, 1, None))
        return effects


class SwitchesAtOnce(Participant):
    """Use the new map from the next step on instead of the decided one."""

    def apply_decision(self, decision):
        at_once = dataclasses.replace(decision, step=0)
        return super().apply_decision(at_once)


DEFECTS = {
    LowestHoldStep: ("arbiter", "no faults, three ranks"),
    DecidesAlone: ("arbiter", "late rank"),
    ForgetsToRaise: ("arbiter", "late rank"),
    OverridesKnown: ("arbiter", "late rank"),
    AnswersStay: ("arbiter", "lost and repeated"),
    DecidesWithoutLast: ("arbiter", "no faults, three ranks"),
    TakesOldEpochs: ("member", "arbiter killed twice"),
    ArmsUnloaded: ("member", "rank not loaded"),
    GivesUpWaiting: ("member", "lost and repeated"),
    ForgetsHold: ("member", "arbiter killed"),
    AnswersBeforeHold: ("member", "no faults, three ranks"),
    SwitchesAtOnce: ("member", "no faults, three ranks"),
}


@pytest.mark.parametrize("defect", list(DEFECTS))
def test_exploration_detects_planted_defects(defect):
    role, name = DEFECTS[defect]
    classes = dataclasses.replace(Classes(), **{role: defect})
    scenario = dataclasses.replace(SCENARIOS[name], classes=classes)
    with pytest.raises(Violation):
        Explorer(scenario).walk(5000)


def test_resumed_holder_is_refused():
    """Guard against a paused holder that resumes and orders ranks to load old plans."""
    participant = Participant(0, 1, EngineState(0, 0))
    participant.handle(Load(2 << 20, 2, 0))
    assert participant.handle(Load(1 << 20, 1, 0)) == [ToHolder(Refused(2))]
    holder = Holder([0, 1], 1)
    holder.handle(Refused(2))
    assert holder.phase is HolderPhase.DEPOSED


def test_no_messages_are_sent_without_a_change():
    """Guard against messages between ranks and arbiter that cost time in every step."""
    participants = [Participant(rank, 1, EngineState(0, 0)) for rank in range(3)]
    arbiter = Arbiter(range(3), 1)
    arbiter.start()
    for participant in participants:
        arbiter.handle(participant.rank_state(1), 0.0)
    assert arbiter.ready
    assert arbiter.tick(1.0) == []
    assert [
        effect for participant in participants for effect in participant.tick()
    ] == []


def test_armed_rank_repeats_its_first_hold_step():
    participant = Participant(1, 1, EngineState(0, 0, loaded=frozenset({5})))
    participant.handle(Arm(1, 5, None))
    (first,) = participant.held(5, 17)
    (again,) = participant.handle(Arm(1, 5, None))
    assert first.message == again.message == Armed(1, 1, 1, 5, 17, None)
