"""Explore keyed requests under all orders of crash, loss, repetition and delay.

An order of two or three rare events can run a request twice, lose it, or report that it
did not run although it did. All orders are tried; with any guard removed, an order must
be found that breaks a guarantee.
"""

import random

import pytest
from support.claims_model import GuaranteeViolationError, World, explore, walk_randomly

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
def test_no_order_of_events_breaks_a_guarantee(bodies, agents, faults, worlds):
    assert explore(World(bodies, agents, faults)) > worlds


@pytest.mark.parametrize("seed", range(4))
def test_random_walks_of_three_callers_two_agents_and_four_faults(seed):
    generator = random.Random(seed)
    for _ in range(300):
        world = walk_randomly(World(["a", "a", "a"], 2, 4, 3), generator)
        if not world.moves():
            assert all(e.done or e.attempts >= 3 for e in world.entries)


def ignore_fences(self, key, attempt, incarnation):
    found = check(self, key, attempt, incarnation)
    return Admission.START if found is Admission.FENCED else found


def ignore_incarnations(self, key, attempt, incarnation):
    return check(self, key, attempt, self.incarnation)


def fence_without_a_record(self, key, attempt, incarnation, now):
    result = fence(self, key, attempt, incarnation, now)
    if result is FenceResult.FENCED:
        self.records[key].fenced = 0
    return result


def report_a_running_attempt_as_fenced(self, key, attempt, incarnation, now):
    record = self.records.get(key)
    if record and record.state is RecordState.RUNNING:
        return FenceResult.FENCED
    return fence(self, key, attempt, incarnation, now)


def forget_what_ran(self, key, attempt, incarnation, now):
    self.records.pop(key, None)
    return fence(self, key, attempt, incarnation, now)


def trust_another_incarnation(self, result):
    if result is FenceResult.OTHER_INCARNATION:
        result = FenceResult.FENCED
    return handle_fence_result(self, result)


def resend_after_a_loss(self, event):
    lost = type(event).__name__ == "ConnectionLost"
    return handle(self, NotSent() if lost else event)


def write_without_comparing(self, claim):
    self.pending_claim = claim
    return WriteRow(claim, None)


def trust_an_unanswered_write(self, event):
    if type(event).__name__ == "StoreSilent" and self.pending_claim:
        return self.handle_written()
    return check_row(self, event)


def report_not_run_at_the_deadline(self):
    return Tell(Outcome.NOT_RUN, "")


def run_a_lost_claim_again(self, claim, version):
    if claim is not None and claim.state is ClaimState.LOST:
        claim = claim.with_state(ClaimState.RELEASED)
    return handle_row(self, claim, version)


def ignore_the_body(self, claim, version):
    if claim is not None:
        self.body_hash = claim.body_hash
    return handle_row(self, claim, version)


def repeat_after_an_unknown_end(self, event):
    found = end(self, event)
    if event.outcome is Outcome.UNKNOWN:
        return self.handle(NotSent())
    return found


def release_a_sent_attempt(self, claim):
    return self.owns_claim and claim.state is ClaimState.OPEN


def send_over_any_connection(self, index):
    entry = self.entries[index]
    entry.confirmed = entry.connection
    return send(self, index)


def send_an_unconfirmed_claim(self, agent, incarnation):
    if self.claim is not None and self.may_send(self.claim):
        self.sent_attempt = self.claim.attempt
        return Dispatch(self.claim)
    return handle_chosen(self, agent, incarnation)


check, fence = Ledger.check, Ledger.fence
handle_fence_result, handle, handle_chosen = (
    KeyedRequest.handle_fence_result,
    KeyedRequest.handle,
    KeyedRequest.handle_chosen,
)
check_row, handle_row, end = (
    KeyedRequest.check_row,
    KeyedRequest.handle_row,
    KeyedRequest.end,
)
send = World.send

DEFECTS = [
    (Ledger, "check", ignore_fences),
    (Ledger, "check", ignore_incarnations),
    (Ledger, "fence", fence_without_a_record),
    (Ledger, "fence", report_a_running_attempt_as_fenced),
    (Ledger, "fence", forget_what_ran),
    (KeyedRequest, "handle_fence_result", trust_another_incarnation),
    (KeyedRequest, "handle", resend_after_a_loss),
    (KeyedRequest, "write", write_without_comparing),
    (KeyedRequest, "check_row", trust_an_unanswered_write),
    (KeyedRequest, "close", report_not_run_at_the_deadline),
    (KeyedRequest, "handle_row", run_a_lost_claim_again),
    (KeyedRequest, "handle_row", ignore_the_body),
    (KeyedRequest, "end", repeat_after_an_unknown_end),
    (KeyedRequest, "may_send", release_a_sent_attempt),
    (KeyedRequest, "handle_chosen", send_an_unconfirmed_claim),
    (DuplicateFilter, "accept", lambda self, number: True),
    (World, "send", send_over_any_connection),
]


@pytest.mark.parametrize(
    ("owner", "name", "defect"),
    DEFECTS,
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_the_search_finds_each_missing_guard(monkeypatch, owner, name, defect):
    monkeypatch.setattr(owner, name, defect)
    with pytest.raises(GuaranteeViolationError):
        search()


def search():
    bodies = (["a", "a"], ["a", "b"], ["a", "a", "a"])
    for seed in range(WALKS):
        generator = random.Random(seed)
        world = World(bodies[seed % 3], 1 + seed % 2, 1 + seed % 4, 3)
        walk_randomly(world, generator)
    explore(World(["a", "a"], 1, 1))


def test_a_full_ledger_accepts_no_new_key_and_keeps_running_ones():
    ledger = Ledger(1, maximum_keys=2, maximum_bytes=100)
    for key in ("a", "b"):
        ledger.start(key, 1, "token", now=0)
    ledger.sweep(now=ledgers.RETENTION_SECONDS * 10)
    assert ledger.check("c", 1, 1) is Admission.FULL
    assert ledger.fence("c", 1, 1, now=0) is FenceResult.FULL
    assert ledger.fence("a", 1, 1, now=0) is FenceResult.RUNNING


def test_an_unrecorded_answer_is_kept_and_counts_against_the_ledgers_bytes():
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


def test_an_ended_key_is_unacknowledged_until_it_is_marked_as_recorded():
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
