"""Measure the demand for experts from the counts of some ranks of a group."""

import asyncio
import logging

from fescuedrum.decisions.experts.demand import Demand
from fescuedrum.events.event import log_event
from fescuedrum.events.groups import CountsNotRead

logger = logging.getLogger(__name__)

# Each rank counts the experts of its own requests. Over a quarter of a second, counts
# of three of a dozen ranks differ from the demand by 9%, those of one rank by 13%. The
# cost of a read grows with the number of counts.
MAX_SAMPLED_RANKS = 3
# A read also stops the group, half a millisecond for every 400 counts, at a time when
# passes are long. With 2,016 counts per rank, reading three ranks makes more passes
# longer than the pause that streams allow.
MAX_SAMPLED_COUNTS = 4500
MIN_SAMPLED_RANKS = 2
# Time between the two reads of a measurement.
MEASURE_INTERVAL_SECONDS = 0.25


class DemandSample:
    """Hold the measured demand of one group and which ranks it is measured at.

    Times are loop time in seconds.
    """

    __slots__ = ("demand", "first_rank", "has_unexplained_slowdown", "read_at")

    def __init__(self):
        self.demand = Demand()
        # Whether passes were slow although the latest measurement showed no reason.
        self.has_unexplained_slowdown = False
        # First of the ranks that are read.
        self.first_rank = 0
        self.read_at = float("-inf")

    def ranks_to_read(self, size, counts_per_rank):
        """Return the ranks to read in a group of the given size.

        They are spread out, because adjacent ranks are often in the same zone.
        """
        count = min(
            MAX_SAMPLED_RANKS,
            max(MAX_SAMPLED_COUNTS // counts_per_rank, MIN_SAMPLED_RANKS),
            size,
        )
        return [
            (self.first_rank + size * index // count) % size for index in range(count)
        ]

    def rotate_ranks(self, size):
        """Continue with the counts of other ranks.

        A rank whose zone is out of service gets no requests, and its counts don't
        change. Demand would seem never to shift, and the map would not be changed.
        """
        self.first_rank = (self.first_rank + 1) % size
        self.demand.reset_counts()


class DemandReader:
    """Read the counts of a service's groups."""

    __slots__ = ("counts_per_rank", "engines", "layers", "loop")

    def __init__(self, engines, profile):
        self.engines = engines
        self.layers = profile.layers
        # Number of counts that a rank reports.
        self.counts_per_rank = profile.layers * profile.experts
        self.loop = asyncio.get_running_loop()

    async def remeasure(self, group):
        """Discard a group's demand and measure it again; return whether that worked."""
        group.sample.demand.reset()
        await self.read(group)
        await asyncio.sleep(MEASURE_INTERVAL_SECONDS)
        if await self.read(group):
            return True
        group.sample.rotate_ranks(group.ranks)
        return False

    async def read(self, group):
        """Update a group's demand with the counts since the last read.

        Return whether it was updated.
        """
        sample = group.sample
        sample.read_at = self.loop.time()
        answers = await asyncio.gather(
            *(
                self.engines.read_counts(group.addresses[rank])
                for rank in sample.ranks_to_read(group.ranks, self.counts_per_rank)
            )
        )
        usable = [
            each
            for each in answers
            if each
            and each.epoch == group.epoch
            and len(each.counts) == self.counts_per_rank
        ]
        if len(usable) < len(answers):
            log_event(logger, CountsNotRead(group.name, len(answers), len(usable)))
            sample.demand.reset_counts()
            return False
        counts = add_elementwise([each.counts for each in usable])
        return sample.demand.observe(counts, self.layers)


def add_elementwise(count_lists):
    """Return the sums of the elements at the same index of several lists."""
    return [sum(counts) for counts in zip(*count_lists, strict=False)]
