"""Send orders to the ranks of one group and read their reports."""

import asyncio

from fescuedrum.groups.engines import EngineClient, Order, OrderResult, RankReport

# Attempts for an order that gets no answer. If a third of the orders are lost, one in a
# hundred changes of a dozen ranks fails because of that.
ORDER_ATTEMPTS = 8
# Pause before an order is repeated.
RETRY_SECONDS = 0.02

ExpertMap = list[list[list[int]]]


class GroupOrders:
    """Address the ranks of one group in one epoch; addresses are keyed by rank."""

    __slots__ = ("addresses", "engines", "epoch")

    def __init__(
        self,
        engines: EngineClient,
        addresses: dict[int, tuple[str, int]],
        epoch: int,
    ) -> None:
        self.engines = engines
        self.addresses = addresses
        self.epoch = epoch

    @property
    def ranks(self) -> list[int]:
        return sorted(self.addresses)

    async def send(self, rank: int, order: Order) -> OrderResult:
        """Send an order up to ORDER_ATTEMPTS times until it is answered."""
        for attempt in range(ORDER_ATTEMPTS):
            if attempt:
                await asyncio.sleep(RETRY_SECONDS)
            result = await self.engines.send_order(
                self.addresses[rank], self.epoch, order
            )
            if result is not OrderResult.UNANSWERED:
                return result
        return OrderResult.UNANSWERED

    async def send_to_all(self, order: Order) -> dict[int, OrderResult]:
        """Send an order to all ranks and return the results by rank."""
        results = await asyncio.gather(*(self.send(rank, order) for rank in self.ranks))
        return dict(zip(self.ranks, results, strict=True))

    async def read_report(self, rank: int) -> RankReport | None:
        """Return a rank's report, or None if it gives no usable answer."""
        return await self.engines.read_report(self.addresses[rank])

    async def read_reports(self) -> dict[int, RankReport]:
        """Return the reports of all ranks that give a usable answer, by rank."""
        reports = await asyncio.gather(*(self.read_report(rank) for rank in self.ranks))
        by_rank = zip(self.ranks, reports, strict=True)
        return {rank: report for rank, report in by_rank if report is not None}

    async def read_map(self, version: int) -> ExpertMap | None:
        """Return the map in force, or None if a rank uses another version or size."""
        parts = await asyncio.gather(
            *(self.engines.read_map(self.addresses[rank]) for rank in self.ranks)
        )
        read = [part.held for part in parts if part and part.version == version]
        if len(read) < len(parts) or len({len(held) for held in read}) > 1:
            return None
        return [list(layer) for layer in zip(*read, strict=True)]
