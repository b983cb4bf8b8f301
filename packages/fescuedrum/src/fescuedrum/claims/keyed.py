"""Decide each step of a request that may run at most once under its key.

The row of the key in the platform's table names one attempt at one life of one agent.
Its number only rises, by compare-and-set, and only the writer of an attempt sends it.
An attempt is followed by another only when it can be shown never to run: its own
writer never sent it, its agent took it and refused it, or its agent has promised in
its ledger never to start it. Everything else is unknown.
"""

from fescuedrum.claims.ledger import Admission, FenceResult
from fescuedrum.claims.record import Claim, ClaimState
from fescuedrum.claims.steps import (
    Answered,
    Ask,
    CannotAsk,
    ChooseAgent,
    Chosen,
    ConnectionLost,
    DeadlineNear,
    Dispatch,
    Ended,
    Follow,
    NotSent,
    ReadRow,
    Record,
    RefuseBody,
    Refused,
    Replay,
    RowRead,
    StoreSilent,
    Tell,
    WriteDone,
    WriteRow,
)
from fescuedrum.outcomes import Outcome

# The same frame would meet the same refusal at the same agent for ever.
FINAL_REFUSALS = frozenset((Admission.FENCED, Admission.OTHER_INCARNATION))


class KeyedRequest:
    """Turn each event into the next step; ends with Replay, Record, Tell or a refusal.

    Attempt numbers of one key are never written twice, so a number alone says which
    attempt was sent or is known never to run.
    """

    __slots__ = (
        "body_hash",
        "checked",
        "claim",
        "closing",
        "following",
        "never_runs",
        "pending",
        "sent",
        "token",
        "version",
    )

    def __init__(self, token, body_hash):
        self.token = token
        self.body_hash = body_hash
        self.claim = None
        self.version = 0
        self.pending = None
        self.sent = 0
        self.never_runs = 0
        self.checked = False
        self.closing = False
        self.following = False

    def start(self):
        return ChooseAgent()

    def handle(self, event):
        """Return the next step."""
        match event:
            case Chosen():
                return self.use(event.agent, event.incarnation)
            case RowRead():
                return self.take_row(event.claim, event.version)
            case WriteDone(applied=True):
                return self.written()
            case WriteDone(applied=False) | StoreSilent():
                return self.check_row(event)
            case NotSent():
                self.sent = 0
                return ChooseAgent()
            case Refused():
                return self.refused(event.reason)
            case ConnectionLost() if self.following:
                # The agent may have let the answer go because the row has it by now.
                return ReadRow()
            case ConnectionLost() | CannotAsk():
                return Ask(self.claim)
            case Answered():
                return self.judge(event.verdict)
            case Ended():
                return self.end(event)
            case DeadlineNear():
                return self.close()

    @property
    def mine(self):
        return self.claim is not None and self.claim.token == self.token

    def use(self, agent, incarnation):
        """Send the attempt that stands, or claim the next one."""
        claim = self.claim
        same = claim is not None and claim.target == (agent, incarnation)
        if same and self.may_send(claim):
            # The wait for an agent may have been long enough for another entry to
            # fence this attempt, run the next and have the agent forget both.
            return ReadRow()
        attempt = claim.attempt + 1 if claim is not None else 1
        return self.write(
            Claim(attempt, agent, incarnation, self.token, self.body_hash)
        )

    def may_send(self, claim):
        unsettled = claim.state is ClaimState.OPEN
        untouched = claim.attempt not in (self.sent, self.never_runs)
        return unsettled and self.mine and untouched

    def write(self, claim):
        self.pending = claim
        return WriteRow(claim, self.version)

    def dispatch(self):
        self.sent = self.claim.attempt
        self.following = False
        return Dispatch(self.claim)

    def written(self):
        self.claim, self.pending = self.pending, None
        self.version += 1
        self.checked = True
        match self.claim.state:
            case ClaimState.RELEASED:
                return Tell(Outcome.NOT_RUN, "No endpoint could take it in time.")
            case ClaimState.LOST:
                return self.unknown("Its agent has restarted and can't know.")
        return self.dispatch()

    def check_row(self, event):
        """Read the row: another may have changed it, or this write may be in it."""
        if not self.closing:
            return self.ask_meanwhile(event) or ReadRow()
        if self.claim is None and isinstance(event, StoreSilent):
            # Nothing was sent. A write of this request that takes effect later names
            # an attempt that is never sent, which the next repeat finds fenced.
            return Tell(Outcome.NOT_RUN, "Its key can't be checked.", False)
        return self.unknown("It can't be released.")

    def ask_meanwhile(self, event):
        """Ask the agent while the table is silent, if the answer may stand there."""
        unread = isinstance(event, StoreSilent) and self.pending is None
        if unread and self.claim is not None and self.claim.attempt == self.sent:
            return Ask(self.claim)
        return None

    def take_row(self, claim, version):
        self.claim = claim
        self.version = version
        self.checked = True
        self.pending = None
        if claim is None:
            if self.closing:
                return Tell(Outcome.NOT_RUN, "No endpoint could take it in time.")
            return ChooseAgent()
        if claim.body_hash != self.body_hash:
            return RefuseBody()
        match claim.state:
            case ClaimState.FINISHED if claim.answer is not None:
                return Replay(claim.answer)
            case ClaimState.LOST:
                return self.unknown("An earlier attempt may have run.")
        if self.closing:
            return self.close()
        match claim.state:
            case ClaimState.FINISHED:
                return self.follow()
            case ClaimState.RELEASED:
                return ChooseAgent()
        if claim.attempt == self.never_runs:
            return ChooseAgent()
        return self.dispatch() if self.may_send(claim) else Ask(claim)

    def follow(self):
        self.following = True
        return Follow(self.claim)

    def refused(self, reason):
        """Go on after a refusal: the only copy of the frame was taken and not run."""
        if reason in FINAL_REFUSALS:
            self.never_runs = self.claim.attempt
            return ReadRow()
        self.sent = 0
        return ChooseAgent()

    def judge(self, verdict):
        match verdict:
            case FenceResult.FENCED if self.claim.state is ClaimState.FINISHED:
                # The agent forgets a recorded key in time; that is no leave to run it.
                return self.unknown("It ran; its answer is no longer kept.")
            case FenceResult.FENCED:
                self.never_runs = self.claim.attempt
                return ChooseAgent()
            case FenceResult.RUNNING | FenceResult.RAN:
                return self.follow()
            case FenceResult.OTHER_INCARNATION:
                # The agent's memory went with its earlier life, which may have run it.
                if self.claim.state is ClaimState.FINISHED:
                    return self.unknown("It ran; its answer is no longer kept.")
                return self.write(self.claim.settle(ClaimState.LOST))
        return Ask(self.claim)

    def end(self, event):
        match event.outcome:
            case Outcome.NOT_RUN:
                # The agent has fenced it in its ledger before it said so.
                self.never_runs = self.claim.attempt
                return ChooseAgent()
            case Outcome.UNKNOWN if self.claim.state is ClaimState.OPEN:
                return self.write(self.claim.settle(ClaimState.LOST))
            case Outcome.UNKNOWN:
                return self.unknown(event.reason)
        finished = self.claim.settle(ClaimState.FINISHED, event.answer)
        return Record(finished, self.version)

    def close(self):
        """Find the strongest true thing to say while there is time."""
        claim = self.claim
        self.closing = True
        if claim is None:
            if self.checked and self.pending is None:
                return Tell(Outcome.NOT_RUN, "No endpoint could take it in time.")
            return ReadRow()
        if claim.state is ClaimState.RELEASED:
            return Tell(Outcome.NOT_RUN, "No endpoint could take it in time.")
        if claim.attempt == self.never_runs or self.may_send(claim):
            # Another entry could still claim the next attempt while the caller reads
            # "not run"; the release shows that none had when it was written.
            return self.write(claim.settle(ClaimState.RELEASED))
        return self.unknown("It may be running.")

    def unknown(self, reason):
        return Tell(Outcome.UNKNOWN, reason)
