"""Explore keyed requests under every order of crash, loss, repetition and delay.

A receptionist's order is charged twice, lost, or reported as not run although it was
packed. That takes an unlucky order of two or three events that no ordinary test
meets; so all orders are tried, and with each guard taken out one must be found.
"""

import random

import pytest
from support.claims_model import BrokenPromiseError, World, explore, wander

from fescuedrum.claims import ledger as ledgers
from fescuedrum.claims.frames import DuplicateFilter
from fescuedrum.claims.keyed import KeyedRequest
from fescuedrum.claims.ledger import Admission, FenceResult, Ledger, RecordState
from fescuedrum.claims.record import ClaimState
from fescuedrum.claims.steps import Dispatch, NotSent, Tell, WriteRow
from fescuedrum.outcomes import Outcome

WALKS = 1000


@pytest.mark.parametrize(
    ("bodies", "agents", "faults", "worlds"),
    [(["a"], 1, 2, 500), (["a", "b"], 1, 1, 1000), (["a", "a"], 1, 1, 10_000)],
)
def test_no_order_of_events_breaks_a_promise(bodies, agents, faults, worlds):
    assert explore(World(bodies, agents, faults)) > worlds


@pytest.mark.parametrize("seed", range(4))
def test_three_callers_two_agents_and_four_faults(seed):
    generator = random.Random(seed)
    for _ in range(300):
        world = wander(World(["a", "a", "a"], 2, 4, 3), generator)
        if not world.moves():
            assert all(e.done or e.attempts >= 3 for e in world.entries)


def forget_fences(self, key, attempt, incarnation):
    found = check(self, key, attempt, incarnation)
    return Admission.START if found is Admission.FENCED else found


def forget_lives(self, key, attempt, incarnation):
    return check(self, key, attempt, self.incarnation)


def promise_without_a_mark(self, key, attempt, incarnation, now):
    verdict = fence(self, key, attempt, incarnation, now)
    if verdict is FenceResult.FENCED:
        self.records[key].fenced = 0
    return verdict


def fence_a_running_attempt(self, key, attempt, incarnation, now):
    record = self.records.get(key)
    if record and record.state is RecordState.RUNNING:
        return FenceResult.FENCED
    return fence(self, key, attempt, incarnation, now)


def forget_what_ran(self, key, attempt, incarnation, now):
    self.records.pop(key, None)
    return fence(self, key, attempt, incarnation, now)


def trust_a_new_life(self, verdict):
    if verdict is FenceResult.OTHER_INCARNATION:
        verdict = FenceResult.FENCED
    return judge(self, verdict)


def resend_after_a_loss(self, event):
    lost = type(event).__name__ == "ConnectionLost"
    return handle(self, NotSent() if lost else event)


def write_without_comparing(self, claim):
    self.pending = claim
    return WriteRow(claim, None)


def trust_a_silent_table(self, event):
    if type(event).__name__ == "StoreSilent" and self.pending:
        return self.written()
    return check_row(self, event)


def say_not_run_at_the_deadline(self):
    return Tell(Outcome.NOT_RUN, "")


def run_a_lost_claim_again(self, claim, version):
    if claim is not None and claim.state is ClaimState.LOST:
        claim = claim.settle(ClaimState.RELEASED)
    return take_row(self, claim, version)


def ignore_the_body(self, claim, version):
    if claim is not None:
        self.body_hash = claim.body_hash
    return take_row(self, claim, version)


def forget_the_end(self, event):
    found = end(self, event)
    if event.outcome is Outcome.UNKNOWN:
        return self.handle(NotSent())
    return found


def release_a_sent_attempt(self, claim):
    return self.mine and claim.state is ClaimState.OPEN


def send_over_any_connection(self, index):
    entry = self.entries[index]
    entry.confirmed = entry.connection
    return send(self, index)


def send_an_unconfirmed_claim(self, agent, incarnation):
    if self.claim is not None and self.may_send(self.claim):
        self.sent = self.claim.attempt
        return Dispatch(self.claim)
    return use(self, agent, incarnation)


check, fence = Ledger.check, Ledger.fence
judge, handle, use = KeyedRequest.judge, KeyedRequest.handle, KeyedRequest.use
check_row, take_row, end = (
    KeyedRequest.check_row,
    KeyedRequest.take_row,
    KeyedRequest.end,
)
send = World.send

DEFECTS = [
    (Ledger, "check", forget_fences),
    (Ledger, "check", forget_lives),
    (Ledger, "fence", promise_without_a_mark),
    (Ledger, "fence", fence_a_running_attempt),
    (Ledger, "fence", forget_what_ran),
    (KeyedRequest, "judge", trust_a_new_life),
    (KeyedRequest, "handle", resend_after_a_loss),
    (KeyedRequest, "write", write_without_comparing),
    (KeyedRequest, "check_row", trust_a_silent_table),
    (KeyedRequest, "close", say_not_run_at_the_deadline),
    (KeyedRequest, "take_row", run_a_lost_claim_again),
    (KeyedRequest, "take_row", ignore_the_body),
    (KeyedRequest, "end", forget_the_end),
    (KeyedRequest, "may_send", release_a_sent_attempt),
    (KeyedRequest, "use", send_an_unconfirmed_claim),
    (DuplicateFilter, "accept", lambda self, number: True),
    (World, "send", send_over_any_connection),
]


@pytest.mark.parametrize(
    ("owner", "name", "defect"),
    DEFECTS,
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_a_missing_guard_is_found(monkeypatch, owner, name, defect):
    monkeypatch.setattr(owner, name, defect)
    with pytest.raises(BrokenPromiseError):
        search()


def search():
    bodies = (["a", "a"], ["a", "b"], ["a", "a", "a"])
    for seed in range(WALKS):
        generator = random.Random(seed)
        world = World(bodies[seed % 3], 1 + seed % 2, 1 + seed % 4, 3)
        wander(world, generator)
    explore(World(["a", "a"], 1, 1))


def test_a_full_ledger_takes_no_new_key_and_forgets_no_running_one():
    ledger = Ledger(1, maximum_keys=2, maximum_bytes=100)
    for key in ("a", "b"):
        ledger.start(key, 1, "token", now=0)
    ledger.sweep(now=ledgers.RETENTION_SECONDS * 10)
    assert ledger.check("c", 1, 1) is Admission.FULL
    assert ledger.fence("c", 1, 1, now=0) is FenceResult.FULL
    assert ledger.fence("a", 1, 1, now=0) is FenceResult.RUNNING


def test_an_answer_nobody_has_recorded_is_kept_and_its_bytes_hold_back_new_keys():
    ledger = Ledger(1, maximum_keys=9, maximum_bytes=100)
    ledger.start("a", 1, "token", now=0, answer="answer")
    ledger.finish("a", Outcome.ANSWERED, size=100, now=0)
    ledger.sweep(now=ledgers.MARK_SECONDS)
    assert ledger.check("b", 1, 1) is Admission.FULL
    ledger.mark_recorded("a", now=ledgers.MARK_SECONDS)
    assert ledger.check("b", 1, 1) is Admission.START
    assert ledger.fence("a", 1, 1, now=0) is FenceResult.RAN
    ledger.sweep(now=ledgers.MARK_SECONDS * 2)
    assert not ledger.records


def test_what_ran_a_moment_ago_is_untaken_until_an_entry_says_to_have_it():
    ledger = Ledger(1, maximum_keys=9, maximum_bytes=100)
    for key, now in (("old", 0), ("running", 9), ("a", 10), ("unrun", 11)):
        ledger.start(key, 1, "token", now=now, answer="answer")
    ledger.finish("old", Outcome.ANSWERED, size=1, now=1)
    ledger.finish("a", Outcome.ANSWERED, size=1, now=10)
    ledger.finish("unrun", Outcome.NOT_RUN, size=0, now=11)
    assert ledger.has_unacknowledged(since=9)
    assert not ledger.has_unacknowledged(since=10.5)
    ledger.mark_recorded("a", now=12)
    assert not ledger.has_unacknowledged(since=9)
    assert ledger.has_unacknowledged(since=0)
