"""Read which experts are in demand from some ranks of a group."""

import asyncio
import logging

from fescuedrum.decisions.experts.demand import Demand
from fescuedrum.events.event import log_event
from fescuedrum.events.groups import CountsNotRead

logger = logging.getLogger(__name__)

# Each rank counts the experts of its own requests. The counts of three of a dozen ranks
# over a quarter of a second missed the demand by 9%, those of one by 13%; a read is
# paid by its numbers.
MAX_SAMPLED_RANKS = 3
# A read also stops the group, for half a millisecond for every 400 numbers, and passes
# are long just then: with 2,016 numbers a rank, reads of three ranks made more passes
# longer than the pause that streams allow. Two plays of a heavy day had a worth of 0.46
# with three ranks and 0.48 with two.
MAX_SAMPLED_COUNTS = 4500
MIN_SAMPLED_RANKS = 2
# Time between the two reads of a measurement.
MEASURE_INTERVAL_SECONDS = 0.25


class DemandSample:
    """Follow one group's demand; times are loop time in seconds."""

    __slots__ = ("demand", "first_rank", "has_unexplained_slowdown", "read_at")

    def __init__(self):
        self.demand = Demand()
        # Whether passes were slow and the newest measure showed no reason for it.
        self.has_unexplained_slowdown = False
        # The first of the ranks that are read.
        self.first_rank = 0
        self.read_at = float("-inf")

    def ranks(self, size, counts_per_rank):
        """Return the ranks to read: spread, as neighbours often share a zone.

        numbers is how many counts each of them tells.
        """
        count = min(
            MAX_SAMPLED_RANKS,
            max(MAX_SAMPLED_COUNTS // counts_per_rank, MIN_SAMPLED_RANKS),
            size,
        )
        return [
            (self.first_rank + size * place // count) % size for place in range(count)
        ]

    def rotate_ranks(self, size):
        """Go on with the counts of other ranks.

        A rank whose zone is out of service gets no requests, and its counts stand
        still. Demand would seem never to move, and the map would stay as it is.
        """
        self.first_rank = (self.first_rank + 1) % size
        self.demand.reset_counts()


class DemandReader:
    """Read counts of a service's groups."""

    __slots__ = ("counts_per_rank", "engines", "layers", "loop")

    def __init__(self, engines, profile):
        self.engines = engines
        self.layers = profile.layers
        # How many counts a rank tells.
        self.counts_per_rank = profile.layers * profile.experts
        self.loop = asyncio.get_running_loop()

    async def remeasure(self, group):
        """Learn the demand of the next moment, whatever it was; tell whether."""
        group.sample.demand.reset()
        await self.read(group)
        await asyncio.sleep(MEASURE_INTERVAL_SECONDS)
        if await self.read(group):
            return True
        group.sample.rotate_ranks(group.ranks)
        return False

    async def read(self, group):
        """Take the demand since the last read into what is known; tell whether."""
        sample = group.sample
        sample.read_at = self.loop.time()
        answers = await asyncio.gather(
            *(
                self.engines.read_counts(group.addresses[rank])
                for rank in sample.ranks(group.ranks, self.counts_per_rank)
            )
        )
        usable = [each for each in answers if each and each.epoch == group.epoch]
        if len(usable) < len(answers):
            log_event(logger, CountsNotRead(group.name, len(answers), len(usable)))
            sample.demand.reset_counts()
            return False
        counts = add_elementwise([each.counts for each in usable])
        return sample.demand.observe(counts, self.layers)


def add_elementwise(count_lists):
    """Add up lists of the same length, place by place."""
    return [sum(places) for places in zip(*count_lists, strict=False)]
