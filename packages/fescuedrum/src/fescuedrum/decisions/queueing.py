"""Decide whose request an endpoint takes next.

Load pattern: more work arrives than one endpoint can run, from organisations of very
different size, with long requests among short ones. In order of arrival, whoever
sends most is served most: one organisation at ten times its share makes every other
wait behind nine tenths of work that is not theirs, and one long batch holds up all.

Each organisation has a virtual counter of the service it received, in cost units
divided by its weight, and the backlogged organisation with the lowest counter goes
next. Cost is charged when a request starts, by estimate, and corrected when the true
cost is known, so guessing low gains nothing. An organisation that returns from idling
starts a burst of a few requests below the others' counter and no lower: unused share
is not saved up. Inside an organisation, classes go by rank and then by deadline.
"""

import enum
import heapq
import itertools
from collections import deque
from dataclasses import dataclass, field

FLOOR_SHARE = 0.02
OLDEST_EVERY = 8
BURST = 8.0
SMOOTHING = 1 / 32
URGENT_FROM = 7
BATCH_UP_TO = 2


class QueuePolicy(enum.StrEnum):
    """Name how a queue is served; fifo is the baseline to measure by."""

    FAIR = "fair"
    FIFO = "fifo"


class PriorityClass(enum.IntEnum):
    """Rank requests inside one organisation; never between organisations."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


def priority_class(priority):
    """Return the class of a caller's priority from 0 (lowest) to 9."""
    if priority >= URGENT_FROM:
        return PriorityClass.URGENT
    if priority <= BATCH_UP_TO:
        return PriorityClass.BATCH
    return PriorityClass.NORMAL


@dataclass(slots=True, eq=False)
class Work:
    """Hold one request that wants to run; times are loop time in seconds."""

    organisation: str
    cost: float
    deadline: float
    arrived: float = 0.0
    rank: PriorityClass = PriorityClass.NORMAL
    # Length of the run, to which its time is proportional; the cost if 0.
    size: float = 0.0
    payload: object = None
    waiting: bool = False
    order: tuple = ()

    def __post_init__(self):
        self.size = self.size or self.cost

    def charge(self, true_cost):
        """Return the difference between the true cost and the estimate."""
        return true_cost - self.cost


@dataclass(slots=True, eq=False)
class Share:
    """Hold one organisation's counter and its waiting requests."""

    name: str
    weight: float = 1.0
    counter: float = 0.0
    backlog: float = 0.0
    waiting: dict[int, Work] = field(default_factory=dict)
    by_rank: list = field(default_factory=list)
    by_age: deque = field(default_factory=deque)
    picks: int = 0

    def add(self, work):
        self.waiting[id(work)] = work
        self.backlog += work.cost
        heapq.heappush(self.by_rank, (work.order, work))
        self.by_age.append(work)

    def remove(self, work):
        del self.waiting[id(work)]
        work.waiting = False
        self.backlog = self.backlog - work.cost if self.waiting else 0.0
        if not self.waiting:
            self.by_rank.clear()
            self.by_age.clear()

    def head(self):
        """Return the request to run next; withdrawn ones are dropped on the way."""
        while not self.by_rank[0][1].waiting:
            heapq.heappop(self.by_rank)
        while not self.by_age[0].waiting:
            self.by_age.popleft()
        self.picks += 1
        if self.picks % OLDEST_EVERY == 0:
            return self.by_age[0]
        return self.by_rank[0][1]

    def cost_before(self, order):
        """Return the cost of own requests that would run before this order."""
        return sum(each.cost for each in self.waiting.values() if each.order < order)


class FairQueue:
    """Serve organisations by weight and cost; hold at most a number of requests."""

    __slots__ = (
        "active",
        "backlog",
        "heap",
        "length",
        "mean_charge",
        "numbers",
        "shares",
        "virtual",
    )

    def __init__(self):
        self.shares = {}
        # Names of organisations with waiting requests.
        self.active = {}
        self.heap = []
        self.virtual = 0.0
        # Of a request, in counter units: cost for each unit of weight.
        self.mean_charge = 0.0
        self.backlog = 0.0
        self.length = 0
        self.numbers = itertools.count()

    def share(self, organisation):
        if organisation not in self.shares:
            self.shares[organisation] = Share(organisation)
        return self.shares[organisation]

    def set_weights(self, weights):
        """Take the organisations' weights; unnamed ones count 1."""
        for name, weight in weights.items():
            self.share(name).weight = weight
        for name in [*self.shares]:
            if name not in weights and name not in self.active:
                del self.shares[name]

    def active_weight(self, joining=None):
        total = sum(share.weight for share in self.active.values())
        if joining is not None and joining.name not in self.active:
            total += joining.weight
        return total

    def effective_weight(self, share):
        """Return the weight, raised to the floor that keeps it from starving."""
        return max(share.weight, FLOOR_SHARE * self.active_weight(share))

    def push(self, work):
        share = self.share(work.organisation)
        number = next(self.numbers)
        work.order = (work.rank, work.deadline, number)
        work.waiting = True
        if not share.waiting:
            share.counter = self.joining_counter(share)
            self.active[share.name] = share
            self.enter_heap(share)
        share.add(work)
        self.backlog += work.cost
        self.length += 1

    def joining_counter(self, share):
        """Return the counter at which an organisation without a backlog joins.

        Requests of whoever keeps to its share come in small bursts. Joining at the
        others' counter, each burst would wait at the organisation's bare share while
        a backlogged one takes what the burst had left before; so a little is kept.
        """
        return max(share.counter, self.virtual - BURST * self.mean_charge)

    def charge(self, share, work):
        charge = work.cost / self.effective_weight(share)
        self.mean_charge += (charge - self.mean_charge) * SMOOTHING
        share.counter += charge

    def enter_heap(self, share):
        heapq.heappush(self.heap, (share.counter, next(self.numbers), share))

    def pop(self):
        """Return the next request to run, charged to its organisation, or None."""
        share = self.lowest()
        if share is None:
            return None
        self.virtual = max(self.virtual, share.counter)
        work = share.head()
        self.charge(share, work)
        self.remove(work)
        if share.waiting:
            self.enter_heap(share)
        return work

    def lowest(self):
        """Take the backlogged organisation with the lowest counter off the heap."""
        while self.heap:
            counter, _, share = heapq.heappop(self.heap)
            # A counter that was corrected, or an organisation that left, is stale.
            if share.waiting and counter == share.counter:
                return share
        return None

    def remove(self, work):
        """Take a request out that is not going to wait any longer."""
        if not work.waiting:
            return
        share = self.shares[work.organisation]
        share.remove(work)
        self.length -= 1
        self.backlog = self.backlog - work.cost if self.length else 0.0
        if not share.waiting:
            del self.active[share.name]

    def charge_unqueued(self, work):
        """Charge a request that found the endpoint free and never waited."""
        share = self.share(work.organisation)
        share.counter = self.joining_counter(share)
        # Service that nobody waited for is no debt: without this, whoever used an
        # idle endpoint all night would be shut out when the others arrive.
        self.virtual = max(self.virtual, share.counter)
        self.charge(share, work)
        if share.waiting:
            self.enter_heap(share)

    def correct(self, work, true_cost):
        """Replace the estimated cost that was charged by the true one."""
        share = self.share(work.organisation)
        share.counter += work.charge(true_cost) / self.effective_weight(share)
        if share.waiting:
            self.enter_heap(share)

    def cost_ahead(self, work):
        """Return the cost served before a request that would join now.

        Its organisation is served at its share of the rate, so its own backlog and
        what it received beyond the others count by the inverse of that share; the
        whole backlog is the most that can ever go first.
        """
        share = self.share(work.organisation)
        weight = self.effective_weight(share)
        order = (work.rank, work.deadline, float("inf"))
        own = share.cost_before(order) + self.debt(share) * weight
        portion = weight / max(self.active_weight(share), weight)
        return min(max(0.0, own) / portion, self.backlog)

    def debt(self, share):
        """Return what an organisation received beyond the others; below 0, less."""
        if not self.active:
            return 0.0
        if not share.waiting:
            return self.joining_counter(share) - self.virtual
        return share.counter - self.virtual

    def next_to_shed(self):
        """Return whom to refuse when the queue is full.

        It is the lowest in rank and the latest due of the organisation that waits
        with most work for its weight, so equals are shed evenly and a small
        organisation never pays for a large one.
        """
        if not self.active:
            return None
        share = max(
            self.active.values(),
            key=lambda each: (each.backlog / self.effective_weight(each), each.name),
        )
        return max(share.waiting.values(), key=lambda each: each.order)

    def waiting_requests(self):
        """Return all waiting requests."""
        return [
            work for share in self.active.values() for work in share.waiting.values()
        ]


class FifoQueue:
    """Serve in order of arrival: the baseline that experiments compare with."""

    __slots__ = ("backlog", "waiting")

    def __init__(self):
        self.waiting = {}
        self.backlog = 0.0

    @property
    def length(self):
        return len(self.waiting)

    def set_weights(self, weights):
        """Ignore weights."""

    def push(self, work):
        work.waiting = True
        self.waiting[id(work)] = work
        self.backlog += work.cost

    def pop(self):
        if not self.waiting:
            return None
        work = next(iter(self.waiting.values()))
        self.remove(work)
        return work

    def remove(self, work):
        if self.waiting.pop(id(work), None) is not None:
            work.waiting = False
            self.backlog -= work.cost

    def charge_unqueued(self, work):
        """Charge nothing: order of arrival keeps no account."""

    def correct(self, work, true_cost):
        """Correct nothing."""

    def cost_ahead(self, work):
        return self.backlog

    def next_to_shed(self):
        return next(reversed(self.waiting.values())) if self.waiting else None

    def waiting_requests(self):
        return list(self.waiting.values())


def build_queue(policy):
    """Return an empty queue that follows a policy."""
    match policy:
        case QueuePolicy.FAIR:
            return FairQueue()
        case QueuePolicy.FIFO:
            return FifoQueue()
