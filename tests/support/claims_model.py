"""Check keyed requests, agents' ledgers and a table under every order of events.

A world holds objects of the classes that the processes run. A move is one event that
can happen next. Worlds are copied by pickle, and compared by their pickled bytes.
"""

import pickle

from fescuedrum.claims.frames import DuplicateFilter
from fescuedrum.claims.keyed import KeyedRequest
from fescuedrum.claims.ledger import Admission, Ledger, RecordState
from fescuedrum.claims.record import RecordedAnswer
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

KEY = "order-1"
FINAL_STEPS = (Tell, Replay, Record, RefuseBody)


class GuaranteeViolationError(AssertionError):
    """Report a violated guarantee."""


class Agent:
    """Hold the state of one agent: its ledger and the frames that it accepted."""

    def __init__(self, name):
        self.name = name
        self.incarnation = 1
        self.ledger = Ledger(1, 10, 10_000)
        self.numbers = {}

    def restart(self):
        """Begin a new incarnation with an empty ledger."""
        self.incarnation += 1
        self.ledger = Ledger(self.incarnation, 10, 10_000)


class Entry:
    """Hold the state of one entry that handles one keyed request."""

    def __init__(self, token, body):
        self.request = KeyedRequest(token, body)
        self.body = body
        self.step = None
        self.connection = 0
        # Number of the connection that was open at the last call to the table.
        self.confirmed = 0
        self.number = 0
        self.deadline_passed = False
        self.executed_before = ()
        self.crashed = False

    @property
    def attempts(self):
        """Return the number of attempts after which the entry would start another."""
        claim = self.request.claim
        if claim is None or self.request.may_send(claim):
            return 0
        return claim.attempt

    @property
    def done(self):
        """Return whether the entry has crashed or answered its caller."""
        return self.crashed or isinstance(self.step, FINAL_STEPS)


class World:
    """Hold the state of all entries, agents, frames and the table.

    `faults` bounds the faults that are still possible. Two entries can fence each
    other's attempts endlessly, so `attempts` is bounded, too.
    """

    def __init__(self, bodies, agents, faults, attempts=2):
        self.entries = [
            Entry(f"token-{index}", body) for index, body in enumerate(bodies)
        ]
        self.agents = [Agent(f"agent-{index}") for index in range(agents)]
        self.row, self.version = None, 0
        self.late_writes = []
        self.frames = []
        self.executions = []
        self.faults = faults
        self.attempts = attempts

    def moves(self):
        """Return the possible moves as (method name, arguments, number of faults)."""
        found = []
        for index, entry in enumerate(self.entries):
            if not entry.done:
                found += self.entry_moves(index, entry)
        for index, agent in enumerate(self.agents):
            found.append(("restart", (index,), 1))
            record = agent.ledger.records.get(KEY)
            if record and record.state is RecordState.RUNNING:
                found.append(("finish", (index, Outcome.ANSWERED), 0))
                found.append(("finish", (index, Outcome.NOT_RUN), 1))
                found.append(("finish", (index, Outcome.UNKNOWN), 1))
            # Delayed frames arrive or are lost long before a ledger forgets its mark.
            if record and record.recorded and not self.frames:
                found.append(("forget", (index,), 0))
        for index in range(len(self.frames)):
            found.append(("deliver", (index, False, False), 0))
            found.append(("deliver", (index, True, False), 1))
            found.append(("deliver", (index, False, True), 1))
            found.append(("deliver", (index, True, True), 1))
        found += [("land", (index,), 0) for index in range(len(self.late_writes))]
        return [move for move in found if move[2] <= self.faults]

    def entry_moves(self, index, entry):
        """Return the possible moves of one entry."""
        if entry.step is None:
            return [("begin", (index,), 0)]
        found = [("crash", (index,), 1)]
        if not entry.deadline_passed:
            found.append(("deadline", (index,), 1))
        match entry.step:
            case ChooseAgent() if entry.attempts < self.attempts:
                for agent in self.agents:
                    found.append(("choose", (index, agent.name, agent.incarnation), 0))
                    if agent.incarnation > 1:
                        found.append(("choose", (index, agent.name, 1), 1))
            case ReadRow():
                found += [("read", (index, True), 0), ("read", (index, False), 1)]
            case WriteRow():
                found.append(("write", (index, "answered"), 0))
                for fault in ("lost", "answer-lost", "late"):
                    found.append(("write", (index, fault), 1))
            case Dispatch():
                found += [("send", (index,), 0), ("not_sent", (index,), 1)]
            case Ask():
                found += [("ask", (index, True), 0), ("ask", (index, False), 1)]
            case ("sent", claim) | Follow(claim):
                if self.answer_at(claim) is not None:
                    found.append(("receive", (index,), 0))
                found.append(
                    ("lose", (index,), int(self.can_answer_come(index, claim)))
                )
        return found

    def agent(self, claim):
        """Return the agent that a claim names."""
        return next(agent for agent in self.agents if agent.name == claim.agent)

    def answer_at(self, claim):
        """Return the agent's record of a claim if it holds an answer, else None."""
        agent = self.agent(claim)
        record = agent.ledger.records.get(KEY)
        same_life = agent.incarnation == claim.incarnation
        ended = record is not None and record.state is RecordState.RAN
        return record if same_life and ended and record.answer else None

    def can_answer_come(self, index, claim):
        """Return whether an answer is possible; if not, the agent reports so."""
        agent = self.agent(claim)
        record = agent.ledger.records.get(KEY)
        here = agent.incarnation == claim.incarnation
        runs = record is not None and record.state is RecordState.RUNNING
        on_the_way = any(frame[0] == index for frame in self.frames)
        return here and (on_the_way or runs or self.answer_at(claim) is not None)

    def tell(self, index, event):
        """Let an entry handle an event, and check the step that follows."""
        entry = self.entries[index]
        entry.step = entry.request.handle(event)
        match entry.step:
            case Tell(outcome=Outcome.NOT_RUN, key_checked=checked):
                if checked and set(entry.executed_before) & set(self.executions):
                    raise GuaranteeViolationError(
                        "told not run, but it ran before it was asked for"
                    )
            case Replay(answer):
                self.check_answer(entry, answer.body)
            case Record(claim, version):
                self.check_answer(entry, claim.answer.body)
                if self.version == version:
                    self.row, self.version = claim, version + 1
                    self.agent(claim).ledger.mark_recorded(KEY, 0)
        self.check()

    def check_answer(self, entry, body):
        """Raise unless the request ran once and the answer is that to its body."""
        if len(self.executions) != 1:
            raise GuaranteeViolationError("told answered, but it did not run")
        if body != entry.body:
            raise GuaranteeViolationError("got the answer to another request")

    def check(self):
        """Raise if a request ran twice, or ran though its caller was told otherwise."""
        if len(self.executions) > 1:
            raise GuaranteeViolationError(f"ran twice: {self.executions}")
        for entry in self.entries:
            match entry.step:
                case Tell(outcome=Outcome.NOT_RUN):
                    if entry.request.token in self.executions:
                        raise GuaranteeViolationError("told not run, but it ran")

    def begin(self, index):
        """Start a request."""
        self.entries[index].executed_before = tuple(self.executions)
        self.entries[index].step = self.entries[index].request.start()

    def crash(self, index):
        """End an entry."""
        self.entries[index].crashed = True

    def deadline(self, index):
        """Let the deadline of a request approach."""
        entry = self.entries[index]
        entry.deadline_passed = True
        if isinstance(entry.step, WriteRow):
            # The wait for the table ends; the write itself may still take effect.
            self.late_writes.append(entry.step)
        self.tell(index, DeadlineNear())

    def choose(self, index, name, incarnation):
        """Choose an agent for a request."""
        self.tell(index, Chosen(name, incarnation))

    def read(self, index, answered):
        """Read the row of the key."""
        self.entries[index].confirmed = self.entries[index].connection
        event = RowRead(self.row, self.version) if answered else StoreSilent()
        self.tell(index, event)

    def write(self, index, fate):
        """Write the row of the key; fate is answered, answer-lost, lost or late."""
        step = self.entries[index].step
        self.entries[index].confirmed = self.entries[index].connection
        applied = fate in ("answered", "answer-lost") and self.apply(step)
        if fate == "late":
            self.late_writes.append(step)
        self.tell(index, WriteDone(applied) if fate == "answered" else StoreSilent())

    def apply(self, write):
        """Apply a write if the version is the expected one; return whether it is."""
        if write.expected_version not in (self.version, None):
            return False
        self.row, self.version = write.claim, self.version + 1
        return True

    def land(self, index):
        """Apply a late write."""
        self.apply(self.late_writes.pop(index))

    def send(self, index):
        """Send a request to its agent."""
        entry = self.entries[index]
        if entry.confirmed != entry.connection:
            return self.tell(index, NotSent())
        entry.number += 1
        claim = entry.step.claim
        self.frames.append((index, entry.connection, entry.number, claim))
        entry.step = ("sent", claim)
        return None

    def not_sent(self, index):
        """Report that a request could not be sent."""
        self.tell(index, NotSent())

    def ask(self, index, answered):
        """Ask an agent to fence an attempt."""
        claim = self.entries[index].step.claim
        if not answered:
            return self.tell(index, CannotAsk())
        ledger = self.agent(claim).ledger
        verdict = ledger.fence(KEY, claim.attempt, claim.incarnation, 0)
        return self.tell(index, Answered(verdict))

    def receive(self, index):
        """Deliver an agent's answer."""
        claim = claim_of(self.entries[index].step)
        record = self.answer_at(claim)
        outcome, body = record.answer
        answer = RecordedAnswer(outcome, 201, (), body)
        self.tell(index, Ended(outcome, answer))

    def lose(self, index):
        """Close the connection of an entry."""
        self.entries[index].connection += 1
        self.tell(index, ConnectionLost())

    def restart(self, index):
        """Restart an agent."""
        self.agents[index].restart()
        agent = self.agents[index]
        # Frames to the earlier incarnation are lost with its connections.
        self.frames = [f for f in self.frames if f[3].agent != agent.name]

    def finish(self, index, outcome):
        """End the execution of the request at an agent."""
        ledger = self.agents[index].ledger
        record = ledger.records[KEY]
        token, _ = record.token, ledger.finish(KEY, outcome, 1, 0)
        if outcome is Outcome.NOT_RUN:
            self.executions.remove(token)
            return self.tell_sender(token, Ended(outcome))
        record.answer = (outcome, record.answer)
        return None

    def tell_sender(self, token, event):
        """Deliver an event to the entries that wait for an attempt."""
        for index, entry in enumerate(self.entries):
            waits = isinstance(entry.step, tuple | Follow)
            if waits and not entry.done and claim_of(entry.step).token == token:
                self.tell(index, event)

    def forget(self, index):
        """Let an agent's ledger forget its marks."""
        ledger = self.agents[index].ledger
        ledger.sweep(ledger.mark_seconds)
        # An entry that delays a request for so long was suspended and silent, so its
        # connection was closed.
        for entry in self.entries:
            entry.connection += isinstance(entry.step, Dispatch)

    def deliver(self, index, again, full):
        """Deliver a frame; it stays in flight if again is set, as a duplicate."""
        sender, connection, number, claim = self.frames[index]
        if not again:
            self.frames.pop(index)
        agent = self.agent(claim)
        numbers = agent.numbers.setdefault((sender, connection), DuplicateFilter())
        if not numbers.accept(number):
            return
        admission = agent.ledger.check(KEY, claim.attempt, claim.incarnation)
        if full and admission is Admission.START:
            admission = "full"
        if admission is Admission.START:
            self.executions.append(claim.token)
            body = claim.body_hash
            agent.ledger.start(KEY, claim.attempt, claim.token, 0, body)
            self.check()
            return
        entry = self.entries[sender]
        waits = isinstance(entry.step, tuple) and not entry.done
        here = (entry.connection, entry.number) == (connection, number)
        if waits and here and admission is not Admission.ATTACH:
            self.tell(sender, Refused(str(admission)))


def claim_of(step):
    """Return the claim of a step."""
    return step[1] if isinstance(step, tuple) else step.claim


def apply_move(packed, move):
    """Return the world that follows from a pickled world by a move."""
    world = pickle.loads(packed)
    name, arguments, cost = move
    world.faults -= cost
    getattr(world, name)(*arguments)
    return world


def explore(world, maximum=10_000_000):
    """Visit every reachable world; return their number."""
    first = pickle.dumps(world)
    seen, waiting = {hash(first)}, [first]
    while waiting and len(seen) < maximum:
        packed = waiting.pop()
        moves = pickle.loads(packed).moves()
        for move in moves:
            found = pickle.dumps(apply_move(packed, move))
            if hash(found) not in seen:
                seen.add(hash(found))
                waiting.append(found)
    return len(seen)


def walk_randomly(world, random, steps=80):
    """Make random moves until the steps are used up or no move is possible.

    Return the last world; if it has no moves, every caller must have been answered.
    """
    packed = pickle.dumps(world)
    for _ in range(steps):
        world = pickle.loads(packed)
        moves = world.moves()
        if not moves:
            break
        # Without this preference, most walks use up their faults in the first steps.
        plain = [move for move in moves if not move[2]]
        chosen = plain if plain and random.random() < 0.8 else moves
        packed = pickle.dumps(apply_move(packed, random.choice(chosen)))
    return pickle.loads(packed)
