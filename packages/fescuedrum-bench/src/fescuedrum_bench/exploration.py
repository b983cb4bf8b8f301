"""Explore the orders of events in which a small group may change its expert map.

The classes of the agents and the entries run here with stand-in engines and a network
that reorders, loses and repeats messages. States are stored as pickles and each is
visited once. A budget limits the faults of one exploration.
"""

import pickle
import random
import zlib
from dataclasses import dataclass, field

from fescuedrum.groups.arbiter import ARM_TIMEOUT_SECONDS, Arbiter
from fescuedrum.groups.holder import Holder, HolderPhase
from fescuedrum.groups.member import Participant
from fescuedrum.groups.messages import (
    Fetch,
    HoldAfter,
    ToArbiter,
    ToEngine,
    ToHolder,
    ToRank,
)
from fescuedrum_bench.standins.lockstep import LockStepEngine

# The shortest lead reaches all orders of holds and steps within the fewest states.
HOLD_LEAD_STEPS = 1
LAST_STEP = 5
# Rounds of delivering all messages within which a group must step again.
FAIR_ROUNDS = 12
WALK_EVENTS = 40
# One state in this many gets the check of progress, the most expensive check.
FAIR_SAMPLE = 8


class Violation(Exception):  # noqa: N818 - the model checker's term
    """A promise was broken; the message lists the events that led to it."""


@dataclass(slots=True)
class Faults:
    """Hold the budget of faults of one exploration."""

    losses: int = 0
    repeats: int = 0
    timeouts: int = 0
    new_holders: int = 0
    wakings: int = 0
    # Ranks whose agents may be killed, once for each entry of the rank.
    kills: tuple[int, ...] = ()


@dataclass(slots=True)
class Classes:
    """Hold the classes under test, one of which a test may replace by a faulty one."""

    arbiter: type = Arbiter
    member: type = Participant
    holder: type = Holder
    engine: type = LockStepEngine


@dataclass(slots=True)
class Scenario:
    """Describe an exploration: the group, its faults and the limits."""

    ranks: int = 2
    faults: Faults = field(default_factory=Faults)
    fenced: bool = True
    # Whether orders to engines pass through the network or take effect at once.
    slow_orders: bool = False
    classes: Classes = field(default_factory=Classes)
    limit: int = 20_000
    seed: int = 1
    # Begin before any rank has loaded; otherwise all but `unloaded` have loaded.
    loading: bool = False
    unloaded: tuple[int, ...] = ()


class World:
    """Hold one state: the processes, the engines and the messages in flight."""

    __slots__ = (
        "arbiter",
        "engines",
        "faults",
        "fence",
        "holder",
        "members",
        "network",
        "now",
        "sleeping",
        "starts",
        "told",
    )

    def __init__(self, scenario):
        ranks = range(scenario.ranks)
        classes = scenario.classes
        self.faults = scenario.faults
        self.now = 0.0
        self.starts = 1
        self.fence = 1
        self.engines = [classes.engine(fenced=scenario.fenced) for _ in ranks]
        self.network = []
        self.sleeping = None
        self.told = {}
        self.members = [self.new_member(rank, classes) for rank in ranks]
        self.arbiter = classes.arbiter(ranks, self.starts)
        self.holder = classes.holder(ranks, self.fence)

    def new_member(self, rank, classes):
        """Return a participant that starts with its engine's current state."""
        state = self.engines[rank].state()
        return classes.member(rank, self.starts, state, hold_lead_steps=HOLD_LEAD_STEPS)

    def order(self):
        """Sort the messages in flight, so that equal states have equal pickles."""
        self.network.sort(key=repr)


class Explorer:
    """Visit the states of one scenario; `complete` is set if all were visited."""

    __slots__ = ("checked", "complete", "parents", "random", "scenario", "seen")

    def __init__(self, scenario):
        self.scenario = scenario
        self.seen = set()
        self.parents = {}
        self.checked = 0
        self.complete = False
        self.random = random.Random(scenario.seed)

    def run(self):
        """Visit all states up to the limit; return the number of states."""
        frontier = [self.remember(self.first(), None, "start")]
        while frontier and len(self.seen) < self.scenario.limit:
            state = frontier.pop()
            if zlib.crc32(state) % FAIR_SAMPLE == 0:
                self.check_fair(state)
            events = list(self.events(pickle.loads(state)))
            # Depth first in a random order reaches deep states long before the limit.
            self.random.shuffle(events)
            for event in events:
                world = pickle.loads(state)
                try:
                    self.perform(world, event)
                    check_steps(world)
                except Violation as violation:
                    raise Violation(self.story(state, event, violation)) from None
                after = self.remember(world, state, event)
                if after is not None:
                    frontier.append(after)
        self.complete = not frontier
        return len(self.seen)

    def walk(self, count):
        """Check a number of random sequences of events from the first state.

        Faults that need a dozen events in one order are beyond the limit of visiting
        all states; random walks find them within some thousand walks.
        """
        first = pickle.dumps(self.first())
        for _ in range(count):
            world = pickle.loads(first)
            events = []
            try:
                self.follow_one(world, events)
                self.follow_fair(world)
            except Violation as violation:
                story = "\n".join([*map(repr, events), str(violation)])
                raise Violation(story) from None
            self.checked += 1

    def follow_one(self, world, events):
        """Perform random events, append them to the list and check each state."""
        for _ in range(WALK_EVENTS):
            possible = list(self.events(world))
            if not possible:
                break
            event = self.random.choice(possible)
            events.append(event)
            self.perform(world, event)
            world.order()
            check_steps(world)

    def first(self):
        """Return the first state, in which a change has begun."""
        world = World(self.scenario)
        self.send(world, world.arbiter.start())
        self.send(world, world.holder.start())
        self.deliver_all(world)
        self.send(world, world.holder.tick(0.0))
        self.deliver_all(world)
        assert world.holder.phase is HolderPhase.IDLE
        change, effects = world.holder.propose(0.0)
        if not self.scenario.loading:
            for rank in set(range(self.scenario.ranks)) - set(self.scenario.unloaded):
                world.engines[rank].take(Fetch(change, 0.0))
                world.members[rank].fetched(change)
            world.holder.phase = HolderPhase.DECIDING
            effects = world.holder.tick(0.0)
        self.send(world, effects)
        return world

    def remember(self, world, parent, event):
        """Store a state with its origin; return its pickle, or None if it is known."""
        world.order()
        state = pickle.dumps(world)
        if state in self.seen:
            return None
        self.seen.add(state)
        self.parents[state] = (parent, event)
        return state

    def story(self, state, event, violation):
        """Return the events from the first state to a violation, one per line."""
        lines = [str(violation), repr(event)]
        while state is not None:
            state, event = self.parents[state]
            lines.append(repr(event))
        return "\n".join(reversed(lines))

    def events(self, world):
        """Yield the events that are possible in a state."""
        faults = world.faults
        for index in range(len(world.network)):
            if index and world.network[index] == world.network[index - 1]:
                continue
            yield ("deliver", index)
            if faults.losses:
                yield ("lose", index)
            if faults.repeats:
                yield ("repeat", index)
        lowest = min(engine.step for engine in world.engines)
        for rank, engine in enumerate(world.engines):
            # In lock-step a rank waits after getting one step ahead of the others.
            if engine.step == lowest < LAST_STEP and engine.may_start():
                yield ("step", rank)
        if not world.network:
            yield ("tick", 0)
        if faults.timeouts and world.arbiter.round is not None:
            yield ("timeout", 0)
        if faults.new_holders:
            yield ("new-holder", 0)
        if faults.wakings and world.sleeping is not None:
            yield ("wake", 0)
        for rank in sorted(set(faults.kills)):
            yield ("kill", rank)

    def perform(self, world, event):
        """Change a state by one event and deduct a fault from the budget."""
        match event:
            case ("deliver", index):
                self.deliver(world, world.network.pop(index))
            case ("lose", index):
                world.faults.losses -= 1
                world.network.pop(index)
            case ("repeat", index):
                world.faults.repeats -= 1
                world.network.append(world.network[index])
            case ("step", rank):
                world.engines[rank].start_step()
            case ("tick", _):
                self.tick(world)
            case ("timeout", _):
                world.faults.timeouts -= 1
                late = world.now + ARM_TIMEOUT_SECONDS
                self.send(world, world.arbiter.tick(late))
            case ("new-holder", _):
                self.replace_holder(world)
            case ("wake", _):
                world.faults.wakings -= 1
                self.send(world, world.sleeping.tick(world.now))
            case ("kill", rank):
                self.kill(world, rank)

    def tick(self, world):
        """Run the timers of all processes."""
        for rank, member in enumerate(world.members):
            self.send_from(world, rank, member.tick())
            self.report(world, rank)
        self.send(world, world.arbiter.tick(world.now))
        self.send(world, world.holder.tick(world.now))

    def report(self, world, rank):
        """Report an engine's hold to its agent."""
        state = world.engines[rank].state()
        if state.held:
            effects = world.members[rank].held(state.held, state.hold_step)
            self.send_from(world, rank, effects)

    def replace_holder(self, world):
        """Start a holder with a higher fence; the old one can wake up later."""
        world.faults.new_holders -= 1
        world.sleeping = world.holder
        world.fence += 1
        ranks = range(self.scenario.ranks)
        world.holder = self.scenario.classes.holder(ranks, world.fence)
        self.send(world, world.holder.start())

    def kill(self, world, rank):
        """Restart the agent of a rank, and the arbiter with that of rank 0."""
        kills = list(world.faults.kills)
        kills.remove(rank)
        world.faults.kills = tuple(kills)
        world.starts += 1
        world.members[rank] = world.new_member(rank, self.scenario.classes)
        if rank == 0:
            ranks = range(self.scenario.ranks)
            world.arbiter = self.scenario.classes.arbiter(ranks, world.starts)
            self.send(world, world.arbiter.start())

    def send(self, world, effects):
        """Put messages into the network."""
        for effect in effects:
            if isinstance(effect, ToEngine):
                raise AssertionError("an order to an engine must be sent with its rank")
            world.network.append(effect)

    def send_from(self, world, rank, effects):
        """Put a rank's messages into the network and pass orders to its engine."""
        for effect in effects:
            match effect:
                case ToEngine(order) if self.scenario.slow_orders:
                    world.network.append((rank, order))
                case ToEngine(order):
                    self.carry_out(world, rank, order)
                case _:
                    world.network.append(effect)

    def carry_out(self, world, rank, order):
        """Pass an order to an engine and its result to the agent."""
        engine, member = world.engines[rank], world.members[rank]
        taken = engine.take(order)
        match order:
            case Fetch(change) if taken:
                self.send_from(world, rank, member.fetched(change))
            case HoldAfter() if engine.held:
                effects = member.held(engine.held, engine.hold_step)
                self.send_from(world, rank, effects)

    def deliver(self, world, item):
        """Deliver one message or order and send what follows from it."""
        match item:
            case ToRank(rank, message):
                self.send_from(world, rank, world.members[rank].handle(message))
            case ToArbiter(message):
                self.send(world, world.arbiter.handle(message, world.now))
            case ToHolder(message):
                self.send(world, world.holder.handle(message))
                self.note_outcome(world)
            case (rank, order):
                self.carry_out(world, rank, order)

    def note_outcome(self, world):
        """Record the outcome that a holder received; a switch must never be revoked.

        The outcome "no switch" may be: if the arbiter that sent it is killed before
        any rank knows, its successor finds all ranks armed. A change names the change
        that it is based on for this reason.
        """
        outcome = world.holder.outcome
        if outcome is None or outcome.busy or not outcome.change:
            return
        before = world.told.setdefault(outcome.change, outcome.committed)
        if before and not outcome.committed:
            raise Violation(
                "a holder got the outcome of no switch after that of a switch"
            )
        world.told[outcome.change] = outcome.committed

    def deliver_all(self, world):
        """Deliver messages in order until none is in flight."""
        while world.network:
            self.deliver(world, world.network.pop(0))

    def check_fair(self, state):
        """Check that the group steps again under one complete map without faults."""
        world = pickle.loads(state)
        self.checked += 1
        try:
            self.follow_fair(world)
        except Violation as violation:
            raise Violation(self.story(state, ("flow",), violation)) from None

    def follow_fair(self, world):
        """Deliver all messages for some rounds and check the final state."""
        for _ in range(FAIR_ROUNDS):
            self.deliver_all(world)
            step_while_possible(world)
            world.now += ARM_TIMEOUT_SECONDS
            self.tick(world)
        self.deliver_all(world)
        step_while_possible(world)
        check_steps(world)
        self.check_end(world)

    def check_end(self, world):
        """Check that all ranks can step under the map that the holders know."""
        if any(not engine.may_start() for engine in world.engines):
            raise Violation("a rank cannot step although all messages are delivered")
        in_force = {engine.state().change for engine in world.engines}
        if len(in_force) > 1:
            raise Violation(f"maps differ at the end: {sorted(in_force)}")
        (change,) = in_force
        for engine in world.engines:
            if change not in engine.loaded:
                raise Violation("the map in force is not loaded on every rank")
        for told, committed in world.told.items():
            if committed and told > change:
                raise Violation(
                    "a holder got the outcome of a switch that is not in force"
                )


def check_steps(world):
    """Check that no step used two maps or a map that is not loaded."""
    highest = max(engine.step for engine in world.engines)
    for step in range(highest):
        maps = {
            engine.history[step]
            for engine in world.engines
            if step < len(engine.history)
        }
        if len(maps) > 1:
            raise Violation(f"step {step} ran under the maps {sorted(maps)}")
    for engine in world.engines:
        if engine.change not in engine.loaded:
            raise Violation("a map is in force whose weights are not loaded")


def step_while_possible(world):
    """Step the ranks until none may start, or beyond any step of a hold."""
    limit = max(engine.step for engine in world.engines) + HOLD_LEAD_STEPS + 1
    while True:
        lowest = min(engine.step for engine in world.engines)
        ready = [
            engine
            for engine in world.engines
            if engine.step == lowest and engine.may_start()
        ]
        if lowest >= limit or not ready:
            return
        for engine in ready:
            engine.start_step()
