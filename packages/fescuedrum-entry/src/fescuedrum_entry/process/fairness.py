"""Watch that this entry's organisations are served alike."""

import asyncio
import logging

from fescuedrum.decisions.comparison import Observation
from fescuedrum.decisions.fairness import FairnessMonitor
from fescuedrum.decisions.queueing import priority_class
from fescuedrum.events.event import log_event
from fescuedrum.events.requests import FairnessFindingCleared, FairnessFindingReported
from fescuedrum.outcomes import Outcome

logger = logging.getLogger(__name__)

# Refusals that are this system's decision, not the caller's mistake.
REFUSAL_CODES = frozenset(("overloaded", "unavailable", "deadline-passed"))


class FairnessReporter:
    """Own the watch: feed it with what requests came to, judge at an interval."""

    __slots__ = ("entry", "interval", "watch")

    def __init__(self, entry, interval):
        self.entry = entry
        self.interval = interval
        self.watch = FairnessMonitor()

    def configuration_changed(self):
        organisations = self.entry.configuration.organisations.values()
        self.watch.set_weights({each.name: each.weight for each in organisations})

    def record_request(self, trace):
        """Take a request that came to its end."""
        refused = trace.code in REFUSAL_CODES
        answered = trace.outcome == Outcome.ANSWERED
        if not trace.organisation or not (answered or refused):
            return
        self.watch.observe(
            Observation(
                organisation=trace.organisation,
                service=trace.service,
                rank=priority_class(trace.priority),
                cost=trace.cost,
                answered=answered,
                refused=refused,
                wait=trace.waited,
                first_token=trace.first_byte or 0.0,
                total=trace.seconds,
                cold=trace.cold,
                # A refusal tried elsewhere is counted as such, not as a repeat.
                repeated=answered and trace.attempts > 1,
                zone=trace.zone,
                endpoint=trace.endpoint,
                streamed=trace.streamed,
            )
        )

    async def run(self):
        """Judge each interval; other tasks get their turn after each organisation."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self.interval)
            interval = self.watch.close_interval()
            before = {(each.organisation, each.id) for each in self.watch.findings()}
            for organisation in interval.organisations:
                for finding in self.watch.evaluate(organisation, interval, loop.time()):
                    log_event(logger, FairnessFindingReported(str(finding)))
                await asyncio.sleep(0)
            self.report_cleared(before)

    def report_cleared(self, before):
        standing = {(each.organisation, each.id) for each in self.watch.findings()}
        for organisation, name in before - standing:
            log_event(logger, FairnessFindingCleared(organisation, name))

    def report(self, now):
        """Return findings and accounts as JSON values."""
        findings = [
            {
                "id": each.id,
                "organisation": each.organisation,
                "measure": each.measure.value,
                "own": each.own,
                "peers": each.peers,
                "decision": each.decision.value,
                "common": each.common,
                "seconds": round(now - each.since, 1),
                "message": str(each),
            }
            for each in self.watch.findings()
        ]
        accounts = {
            name: describe(account)
            for name, account in sorted(self.watch.accounts.items())
            if account.requests
        }
        return {
            "entry": self.entry.settings.name,
            "findings": findings,
            "organisations": accounts,
        }


def describe(account):
    answered = max(account.answered, 1)
    entitled = account.entitled
    return {
        "weight": account.weight,
        "requests": account.requests,
        "answered": account.answered,
        "refused": account.refused,
        "asked": round(account.asked, 1),
        "entitled": round(entitled, 1),
        "received": round(account.received, 1),
        "received_of_entitled": account.received / entitled if entitled else None,
        "mean_wait_ms": round(account.wait / answered * 1000, 1),
        "mean_first_token_ms": round(account.first_token / answered * 1000, 1),
        "cold": account.cold,
        "repeated": account.repeated,
        "by_class": {str(rank): n for rank, n in sorted(account.by_class.items())},
        "by_zone": dict(sorted(account.by_zone.items())),
    }
