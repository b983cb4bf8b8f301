"""Monitor whether this entry serves its organisations alike and log findings."""

import asyncio
import logging

from fescuedrum.decisions.admitting.comparison import Observation
from fescuedrum.decisions.admitting.fairness import FairnessMonitor
from fescuedrum.decisions.admitting.queueing import priority_class
from fescuedrum.events.event import log_event
from fescuedrum.events.requests import FairnessFindingCleared, FairnessFindingReported
from fescuedrum.outcomes import Outcome

logger = logging.getLogger(__name__)

# Error codes of refusals decided by this system, not caused by the caller.
REFUSAL_CODES = frozenset(("overloaded", "unavailable", "deadline-passed"))


class FairnessReporter:
    """Feed the fairness monitor with ended requests and report its findings."""

    __slots__ = ("entry", "interval", "monitor")

    def __init__(self, entry, interval):
        self.entry = entry
        self.interval = interval
        self.monitor = FairnessMonitor()

    def configuration_changed(self):
        """Pass the organisations' weights to the monitor."""
        organisations = self.entry.configuration.organisations.values()
        self.monitor.set_weights({each.name: each.weight for each in organisations})

    def record_request(self, trace):
        """Pass an answered or refused request to the monitor, given its trace."""
        refused = trace.code in REFUSAL_CODES
        answered = trace.outcome == Outcome.ANSWERED
        if not trace.organisation or not (answered or refused):
            return
        self.monitor.observe(
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
                # A refused request that was retried elsewhere counts as refused only.
                repeated=answered and trace.attempts > 1,
                zone=trace.zone,
                endpoint=trace.endpoint,
                streamed=trace.streamed,
            )
        )

    async def run(self):
        """Evaluate every interval; yield to other tasks after each organisation."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self.interval)
            interval = self.monitor.close_interval()
            before = {(each.organisation, each.id) for each in self.monitor.findings()}
            for organisation in interval.organisations:
                for finding in self.monitor.evaluate(
                    organisation, interval, loop.time()
                ):
                    log_event(logger, FairnessFindingReported(str(finding)))
                await asyncio.sleep(0)
            self.report_cleared(before)

    def report_cleared(self, before):
        """Log the findings that existed before and don't exist any more."""
        current = {(each.organisation, each.id) for each in self.monitor.findings()}
        for organisation, name in before - current:
            log_event(logger, FairnessFindingCleared(organisation, name))

    def report(self, now):
        """Return the findings and each organisation's account as JSON values."""
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
            for each in self.monitor.findings()
        ]
        accounts = {
            name: describe_account(account)
            for name, account in sorted(self.monitor.accounts.items())
            if account.requests
        }
        return {
            "entry": self.entry.settings.name,
            "findings": findings,
            "organisations": accounts,
        }


def describe_account(account):
    """Return an organisation's account as JSON values."""
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
