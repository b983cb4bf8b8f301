"""Decide each step of a request that may run at most once under its key.

The row of the key in the platform's table names one attempt at one incarnation of one
agent. Its number only rises, by compare-and-set, and only the entry that wrote an
attempt sends it. Another attempt may follow only if this one is proven never to run:
the entry that wrote it never sent it, its agent received and refused it, or its agent
has recorded in its ledger that it will never start it. In any other case the outcome
is unknown.
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

# For these reasons an agent refuses the same attempt every time.
FINAL_REFUSALS = frozenset((Admission.FENCED, Admission.OTHER_INCARNATION))


class KeyedRequest:
    """Hold the state of one keyed request and return the next step for each event.

    The last step is Replay, Record, Tell or RefuseBody. Attempt numbers of one key are
    never written twice, so a number alone identifies the attempt that was sent and the
    one that is known never to run.
    """

    __slots__ = (
        "body_hash",
        "claim",
        "closing",
        "following",
        "has_read_row",
        "never_run_attempt",
        "pending_claim",
        "sent_attempt",
        "token",
        "version",
    )

    def __init__(self, token, body_hash):
        self.token = token
        self.body_hash = body_hash
        self.claim = None
        self.version = 0
        self.pending_claim = None
        self.sent_attempt = 0
        self.never_run_attempt = 0
        self.has_read_row = False
        self.closing = False
        self.following = False

    def start(self):
        """Return the first step."""
        return ChooseAgent()

    def handle(self, event):
        """Return the next step after an event."""
        match event:
            case Chosen():
                return self.handle_chosen(event.agent, event.incarnation)
            case RowRead():
                return self.handle_row(event.claim, event.version)
            case WriteDone(applied=True):
                return self.handle_written()
            case WriteDone(applied=False) | StoreSilent():
                return self.check_row(event)
            case NotSent():
                self.sent_attempt = 0
                return ChooseAgent()
            case Refused():
                return self.handle_refusal(event.reason)
            case ConnectionLost() if self.following:
                # The agent may have dropped the answer because the row has it by now.
                return ReadRow()
            case ConnectionLost() | CannotAsk():
                return Ask(self.claim)
            case Answered():
                return self.handle_fence_result(event.verdict)
            case Ended():
                return self.end(event)
            case DeadlineNear():
                return self.close()

    @property
    def owns_claim(self):
        """Return whether this request wrote the claim that the row holds."""
        return self.claim is not None and self.claim.token == self.token

    def handle_chosen(self, agent, incarnation):
        """Send the current attempt to the chosen agent, or claim the next attempt."""
        claim = self.claim
        is_same_target = claim is not None and claim.target == (agent, incarnation)
        if is_same_target and self.may_send(claim):
            # While this request waited for an agent, another entry may have fenced
            # this attempt and run the next, and the agent may have forgotten both.
            return ReadRow()
        attempt = claim.attempt + 1 if claim is not None else 1
        return self.write(
            Claim(attempt, agent, incarnation, self.token, self.body_hash)
        )

    def may_send(self, claim):
        """Return whether the claim's attempt is this request's own and still unused."""
        is_open = claim.state is ClaimState.OPEN
        is_unused = claim.attempt not in (self.sent_attempt, self.never_run_attempt)
        return is_open and self.owns_claim and is_unused

    def write(self, claim):
        """Return the step that writes a claim to the key's row."""
        self.pending_claim = claim
        return WriteRow(claim, self.version)

    def dispatch(self):
        """Return the step that sends the claim's attempt."""
        self.sent_attempt = self.claim.attempt
        self.following = False
        return Dispatch(self.claim)

    def handle_written(self):
        """Return the step after the pending claim was written."""
        self.claim, self.pending_claim = self.pending_claim, None
        self.version += 1
        self.has_read_row = True
        match self.claim.state:
            case ClaimState.RELEASED:
                return Tell(
                    Outcome.NOT_RUN, "No endpoint could accept the request in time."
                )
            case ClaimState.LOST:
                return self.end_unknown("The agent has restarted and lost its ledger.")
        return self.dispatch()

    def check_row(self, event):
        """Return the step after a failed write or a table that did not respond.

        Another request may have changed the row, or the write may have taken effect.
        """
        if not self.closing:
            return self.ask_agent(event) or ReadRow()
        if self.claim is None and isinstance(event, StoreSilent):
            # Nothing was sent. If a write of this request takes effect later, it names
            # an attempt that is never sent, and the next repeat has it fenced.
            return Tell(Outcome.NOT_RUN, "The key can't be checked.", False)
        return self.end_unknown("The claim of the key can't be released.")

    def ask_agent(self, event):
        """Return the step that asks the agent if only the table does not respond.

        Return None unless this request sent the claim's attempt to the agent.
        """
        unread = isinstance(event, StoreSilent) and self.pending_claim is None
        if (
            unread
            and self.claim is not None
            and self.claim.attempt == self.sent_attempt
        ):
            return Ask(self.claim)
        return None

    def handle_row(self, claim, version):
        """Return the step after the key's row was read."""
        self.claim = claim
        self.version = version
        self.has_read_row = True
        self.pending_claim = None
        if claim is None:
            if self.closing:
                return Tell(
                    Outcome.NOT_RUN, "No endpoint could accept the request in time."
                )
            return ChooseAgent()
        if claim.body_hash != self.body_hash:
            return RefuseBody()
        match claim.state:
            case ClaimState.FINISHED if claim.answer is not None:
                return Replay(claim.answer)
            case ClaimState.LOST:
                return self.end_unknown("An earlier attempt may have run.")
        if self.closing:
            return self.close()
        match claim.state:
            case ClaimState.FINISHED:
                return self.follow()
            case ClaimState.RELEASED:
                return ChooseAgent()
        if claim.attempt == self.never_run_attempt:
            return ChooseAgent()
        return self.dispatch() if self.may_send(claim) else Ask(claim)

    def follow(self):
        """Return the step that reads the answer from the claim's agent."""
        self.following = True
        return Follow(self.claim)

    def handle_refusal(self, reason):
        """Return the step after the agent received the request and did not run it."""
        if reason in FINAL_REFUSALS:
            self.never_run_attempt = self.claim.attempt
            return ReadRow()
        self.sent_attempt = 0
        return ChooseAgent()

    def handle_fence_result(self, result):
        """Return the step after the agent answered a fence request."""
        match result:
            case FenceResult.FENCED if self.claim.state is ClaimState.FINISHED:
                # The agent forgets a recorded key after some time, although it ran.
                return self.end_unknown("The request ran; its answer is not kept.")
            case FenceResult.FENCED:
                self.never_run_attempt = self.claim.attempt
                return ChooseAgent()
            case FenceResult.RUNNING | FenceResult.RAN:
                return self.follow()
            case FenceResult.OTHER_INCARNATION:
                # The agent has restarted and lost its ledger; it may have run the key.
                if self.claim.state is ClaimState.FINISHED:
                    return self.end_unknown("The request ran; its answer is not kept.")
                return self.write(self.claim.with_state(ClaimState.LOST))
        return Ask(self.claim)

    def end(self, event):
        """Return the step after the attempt ended."""
        match event.outcome:
            case Outcome.NOT_RUN:
                # The agent fenced the attempt in its ledger before it reported this.
                self.never_run_attempt = self.claim.attempt
                return ChooseAgent()
            case Outcome.UNKNOWN if self.claim.state is ClaimState.OPEN:
                return self.write(self.claim.with_state(ClaimState.LOST))
            case Outcome.UNKNOWN:
                return self.end_unknown(event.reason)
        finished = self.claim.with_state(ClaimState.FINISHED, event.answer)
        return Record(finished, self.version)

    def close(self):
        """Return the step towards the most certain outcome in the remaining time."""
        claim = self.claim
        self.closing = True
        if claim is None:
            if self.has_read_row and self.pending_claim is None:
                return Tell(
                    Outcome.NOT_RUN, "No endpoint could accept the request in time."
                )
            return ReadRow()
        if claim.state is ClaimState.RELEASED:
            return Tell(
                Outcome.NOT_RUN, "No endpoint could accept the request in time."
            )
        if claim.attempt == self.never_run_attempt or self.may_send(claim):
            # Another entry may have claimed the next attempt already. If the release
            # is written, none had, and the caller can be told "not run".
            return self.write(claim.with_state(ClaimState.RELEASED))
        return self.end_unknown("The request may be running.")

    def end_unknown(self, reason):
        """Return the step that ends the request with an unknown outcome."""
        return Tell(Outcome.UNKNOWN, reason)
