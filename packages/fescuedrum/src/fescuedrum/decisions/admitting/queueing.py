"""Choose which waiting request an endpoint runs next (weighted fair queueing).

Load pattern: more work arrives than one endpoint can run, from organisations of very
different size, with long requests among short ones. In order of arrival, an
organisation is served in proportion to what it sends: one at ten times its share makes
the others wait while nine tenths of the work done is not theirs, and one long batch
delays everyone.

Each organisation has a virtual counter of the service it has received, in units of
cost divided by its weight, and the backlogged organisation with the lowest counter is
served next. The estimated cost is charged when a request starts and corrected when the
true cost is known, so low estimates gain nothing. An organisation that returns after
idling starts at most a burst of a few requests below the others' counter: an unused
share is not saved up. Within an organisation, requests are ordered by priority class
and then by deadline.
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
    """Queueing policies; FIFO is the baseline that experiments compare with."""

    FAIR = "fair"
    FIFO = "fifo"


class PriorityClass(enum.IntEnum):
    """Priority classes of requests within one organisation, never across them."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


def priority_class(priority):
    """Return the class of a caller's priority, which is 0 (lowest) to 9."""
    if priority >= URGENT_FROM:
        return PriorityClass.URGENT
    if priority <= BATCH_UP_TO:
        return PriorityClass.BATCH
    return PriorityClass.NORMAL


@dataclass(slots=True, eq=False)
class Work:
    """A request to be run at an endpoint; times are loop time in seconds."""

    organisation: str
    cost: float
    deadline: float
    arrived: float = 0.0
    rank: PriorityClass = PriorityClass.NORMAL
    # Quantity to which the run time is proportional; the cost if 0.
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
class OrganisationShare:
    """One organisation's service counter and waiting requests."""

    name: str
    weight: float = 1.0
    counter: float = 0.0
    backlog: float = 0.0
    waiting: dict[int, Work] = field(default_factory=dict)
    by_rank: list = field(default_factory=list)
    by_age: deque = field(default_factory=deque)
    picks: int = 0

    def add(self, work):
        """Add a waiting request."""
        self.waiting[id(work)] = work
        self.backlog += work.cost
        heapq.heappush(self.by_rank, (work.order, work))
        self.by_age.append(work)

    def remove(self, work):
        """Remove a request that no longer waits."""
        del self.waiting[id(work)]
        work.waiting = False
        self.backlog = self.backlog - work.cost if self.waiting else 0.0
        if not self.waiting:
            self.by_rank.clear()
            self.by_age.clear()

    def head(self):
        """Return the request to run next; drop those that no longer wait.

        One in OLDEST_EVERY is the oldest request, so that no class starves.
        """
        while not self.by_rank[0][1].waiting:
            heapq.heappop(self.by_rank)
        while not self.by_age[0].waiting:
            self.by_age.popleft()
        self.picks += 1
        if self.picks % OLDEST_EVERY == 0:
            return self.by_age[0]
        return self.by_rank[0][1]

    def cost_before(self, order):
        """Return the cost of waiting requests that come before this order."""
        return sum(each.cost for each in self.waiting.values() if each.order < order)


class FairQueue:
    """Queue that serves organisations in proportion to their weights, by cost."""

    __slots__ = (
        "active",
        "backlog",
        "heap",
        "length",
        "mean_charge",
        "numbers",
        "shares",
        "virtual_time",
    )

    def __init__(self):
        self.shares = {}
        # Names of organisations with waiting requests.
        self.active = {}
        self.heap = []
        self.virtual_time = 0.0
        # Mean charge of a request in counter units (cost per unit of weight).
        self.mean_charge = 0.0
        self.backlog = 0.0
        self.length = 0
        self.numbers = itertools.count()

    def share(self, organisation):
        """Return an organisation's share, created if new."""
        if organisation not in self.shares:
            self.shares[organisation] = OrganisationShare(organisation)
        return self.shares[organisation]

    def set_weights(self, weights):
        """Set the organisations' weights; organisations not named have weight 1."""
        for name, weight in weights.items():
            self.share(name).weight = weight
        for name in [*self.shares]:
            if name not in weights and name not in self.active:
                del self.shares[name]

    def active_weight(self, joining=None):
        """Return the sum of the weights of backlogged organisations and joining."""
        total = sum(share.weight for share in self.active.values())
        if joining is not None and joining.name not in self.active:
            total += joining.weight
        return total

    def effective_weight(self, share):
        """Return the weight, raised to a floor that prevents starvation."""
        return max(share.weight, FLOOR_SHARE * self.active_weight(share))

    def push(self, work):
        """Add a request to wait."""
        share = self.share(work.organisation)
        number = next(self.numbers)
        work.order = (work.rank, work.deadline, number)
        work.waiting = True
        if not share.waiting:
            share.counter = self.joining_counter(share)
            self.active[share.name] = share
            self.push_share(share)
        share.add(work)
        self.backlog += work.cost
        self.length += 1

    def joining_counter(self, share):
        """Return the counter at which an organisation without a backlog joins.

        Requests of an organisation within its share come in small bursts. If it joined
        at the others' counter, each burst would be served at only its share of the
        rate, while a backlogged organisation has used the capacity left over before the
        burst. So a credit of BURST requests is kept.
        """
        return max(share.counter, self.virtual_time - BURST * self.mean_charge)

    def charge(self, share, work):
        """Charge a request's estimated cost to its organisation's counter."""
        charge = work.cost / self.effective_weight(share)
        self.mean_charge += (charge - self.mean_charge) * SMOOTHING
        share.counter += charge

    def push_share(self, share):
        """Put a backlogged organisation on the heap at its current counter."""
        heapq.heappush(self.heap, (share.counter, next(self.numbers), share))

    def pop(self):
        """Remove and return the next request to run, or None.

        Its estimated cost is charged to its organisation.
        """
        share = self.pop_lowest()
        if share is None:
            return None
        self.virtual_time = max(self.virtual_time, share.counter)
        work = share.head()
        self.charge(share, work)
        self.remove(work)
        if share.waiting:
            self.push_share(share)
        return work

    def pop_lowest(self):
        """Pop the backlogged organisation with the lowest counter off the heap."""
        while self.heap:
            counter, _, share = heapq.heappop(self.heap)
            # Skip stale items: the counter was corrected or the backlog is empty.
            if share.waiting and counter == share.counter:
                return share
        return None

    def remove(self, work):
        """Remove a request that no longer waits; do nothing if it isn't queued."""
        if not work.waiting:
            return
        share = self.shares[work.organisation]
        share.remove(work)
        self.length -= 1
        self.backlog = self.backlog - work.cost if self.length else 0.0
        if not share.waiting:
            del self.active[share.name]

    def charge_unqueued(self, work):
        """Charge a request that started at once, without queueing."""
        share = self.share(work.organisation)
        share.counter = self.joining_counter(share)
        # Service that delayed nobody must not count against an organisation: otherwise
        # one that used an idle endpoint all night would be shut out when others arrive.
        self.virtual_time = max(self.virtual_time, share.counter)
        self.charge(share, work)
        if share.waiting:
            self.push_share(share)

    def correct(self, work, true_cost):
        """Replace the charged estimate of a request's cost by the true cost."""
        share = self.share(work.organisation)
        share.counter += work.charge(true_cost) / self.effective_weight(share)
        if share.waiting:
            self.push_share(share)

    def cost_ahead(self, work):
        """Return the cost that would be served before a request that joins now.

        Its organisation is served at its share of the rate, so the organisation's own
        backlog and its lead over the others are divided by that share. The result is at
        most the whole backlog.
        """
        share = self.share(work.organisation)
        weight = self.effective_weight(share)
        order = (work.rank, work.deadline, float("inf"))
        own = share.cost_before(order) + self.lead(share) * weight
        rate_share = weight / max(self.active_weight(share), weight)
        return min(max(0.0, own) / rate_share, self.backlog)

    def lead(self, share):
        """Return an organisation's lead in service over the others, in counter units.

        It is negative if the organisation received less than the others.
        """
        if not self.active:
            return 0.0
        if not share.waiting:
            return self.joining_counter(share) - self.virtual_time
        return share.counter - self.virtual_time

    def next_to_shed(self):
        """Return the waiting request to refuse when the queue is full, or None.

        It is the request of lowest class and latest deadline of the organisation with
        the largest backlog for its weight, so that equal organisations are shed evenly
        and a small organisation never loses requests because of a large one.
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
    """Queue that serves in order of arrival, as a baseline for experiments."""

    __slots__ = ("backlog", "waiting")

    def __init__(self):
        self.waiting = {}
        self.backlog = 0.0

    @property
    def length(self):
        return len(self.waiting)

    def set_weights(self, weights):
        """Do nothing: weights have no effect on the order of arrival."""

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
        """Do nothing: the order of arrival needs no accounting."""

    def correct(self, work, true_cost):
        """Do nothing: no cost was charged."""

    def cost_ahead(self, work):
        """Return the cost of all waiting requests."""
        return self.backlog

    def next_to_shed(self):
        """Return the newest waiting request, or None."""
        return next(reversed(self.waiting.values())) if self.waiting else None

    def waiting_requests(self):
        return list(self.waiting.values())


def build_queue(policy):
    """Return an empty queue with this policy."""
    match policy:
        case QueuePolicy.FAIR:
            return FairQueue()
        case QueuePolicy.FIFO:
            return FifoQueue()
