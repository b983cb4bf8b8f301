"""Find violated guarantees about requests at which endpoints end and their repeats."""

import itertools

from soak.callers import Ending
from soak.parts_judge import PartsChecker
from soak.repeats import HARMLESS

# Endpoints that one request may end, over all gateways and its caller's repeats.
ENDS_ALLOWED = 3
# Share of the sound requests that are answered at the first sending from
# SETTLED_SECONDS after the last end that a request may cause.
LEAST_ANSWERED = 0.95
SETTLED_SECONDS = 3.0
# Phases of a run that notes tell apart.
FIRST_SECONDS = 6.0
# Begins a refusal for what endpoints ended at.
QUARANTINED = "Endpoints ended at"


class RepeatsChecker(PartsChecker):
    """Check what each request cost, and what sound requests got meanwhile."""

    def findings(self):
        return [
            *super().findings(),
            *self.check_ends(),
            *self.check_answered(),
            *self.check_blamed(),
        ]

    def check_late_arrivals(self):
        """Yield nothing; check_ends has the bound of repeated requests."""
        return ()

    def check_sound_requests(self):
        """Yield nothing; check_answered has the bound of repeated requests."""
        return ()

    def notes(self):
        span = self.site.crashing_span
        bounds = (0.0, span.began, span.began + FIRST_SECONDS, span.ended)
        shares = " ".join(
            f"{self.answered_between(since, until):.3f}"
            for since, until in itertools.pairwise(bounds)
        )
        refused = sum(QUARANTINED in each.refusal for each in self.sound())
        return [
            f"{self.site.scenario}: {len(self.site.part_ends)} endpoints ended",
            *super().notes(),
            f"sound requests answered before, first, later: {shares}; "
            f"{refused} refused by a quarantine",
        ]

    def sound(self):
        """Return the first sendings of sound requests that no gateway's end has cut."""
        return [
            each
            for each in super().sound()
            if not self.is_gateway_disturbed(each.gateway, each.began, each.ended)
        ]

    def answered_between(self, since, until):
        """Return the share of first sendings in some time that were answered."""
        records = [each for each in self.sound() if since <= each.began < until]
        answered = sum(each.ending is Ending.ANSWERED for each in records)
        return answered / max(len(records), 1)

    def check_ends(self):
        """Yield requests that ended too many endpoints or were sent on after that."""
        for part, ends in self.end_times().items():
            if not part or len(ends) < ENDS_ALLOWED:
                continue
            last_allowed = ends[ENDS_ALLOWED - 1]
            later = [
                each
                for each in self.site.part_arrivals
                if each.part == part and each.at > last_allowed
            ]
            if later:
                yield (
                    f"{part}, under which {ENDS_ALLOWED} endpoints had ended, was sent "
                    f"to endpoints {len(later)} times more; {len(ends)} ended in all"
                )

    def check_answered(self):
        """Yield a finding if too few sound requests are answered after the ends."""
        if self.site.scenario in HARMLESS:
            return
        bounds = [
            ends[:ENDS_ALLOWED][-1] for part, ends in self.end_times().items() if part
        ]
        if not bounds:
            return
        since = max(bounds) + SETTLED_SECONDS
        share = self.answered_between(since, self.site.crashing_span.ended)
        if share < LEAST_ANSWERED:
            yield f"{share:.3f} of the sound requests were answered after the ends"

    def check_blamed(self):
        """Yield a finding if sound requests are refused by a quarantine."""
        refused = [each for each in self.sound() if QUARANTINED in each.refusal]
        if refused:
            yield f"{len(refused)} sound requests were refused by a quarantine"
