"""Find violated guarantees about prompts at which endpoints end."""

import collections

from soak.callers import Ending
from soak.judge import GuaranteeChecker

# The bounds apply from the end of this many endpoints on, and to gateways that have
# been undisturbed for CONTACT_SECONDS.
ENDS_ALLOWED = 5
CONTACT_SECONDS = 3.0
LATE_ARRIVALS_ALLOWED = 3
# From 2 * CONTACT_SECONDS after that end on, the share of sound requests that begin at
# the first sending is at least this share of what it was without a fault.
LEAST_BEGUN_RATIO = 0.5
LEAST_COMPARED = 20


class PartsChecker(GuaranteeChecker):
    """Check what endpoints lost and what sound requests got, too."""

    def findings(self):
        return [
            *super().findings(),
            *self.check_late_arrivals(),
            *self.check_sound_requests(),
        ]

    def notes(self):
        ends = self.end_times()
        arrivals = collections.Counter(each.part for each in self.site.part_arrivals)
        return [
            f"{part}: {len(ends[part])} endpoints ended, {arrivals[part]} requests "
            "with it reached endpoints"
            for part in self.site.crashes.parts
        ]

    def check_failure(self, record, runs):
        """Yield a sound request's failure that no fault explains."""
        if not record.crashing_part:
            yield from super().check_failure(record, runs)

    def answered_share(self, since):
        """Return the share of the sound requests since a time that were answered."""
        late = [
            each
            for each in self.records
            if each.ended and each.began >= since and not each.crashing_part
        ]
        answered = sum(each.ending is Ending.ANSWERED for each in late)
        return answered / max(len(late), 1)

    def end_times(self):
        """Return the times of the ends of endpoints by part."""
        ends = collections.defaultdict(list)
        for each in self.site.part_ends:
            ends[each.part].append(each.at)
        return ends

    def is_in_touch(self, gateway, at):
        """Return whether a gateway was undisturbed for CONTACT_SECONDS."""
        return not self.is_gateway_disturbed(gateway, at - CONTACT_SECONDS, at)

    def check_late_arrivals(self):
        """Yield parts with which too many requests reached endpoints too late."""
        for part, ends in self.end_times().items():
            if len(ends) < ENDS_ALLOWED:
                continue
            since = ends[ENDS_ALLOWED - 1] + CONTACT_SECONDS
            late = [
                each
                for each in self.site.part_arrivals
                if each.part == part
                and each.at > since
                and self.is_in_touch(self.by_id[each.request_id].gateway, each.at)
            ]
            if len(late) > LATE_ARRIVALS_ALLOWED:
                yield (
                    f"{len(late)} requests with {part} reached endpoints later than "
                    f"{CONTACT_SECONDS} s after the end of {ENDS_ALLOWED}; "
                    f"{len(ends)} ended in all"
                )

    def check_sound_requests(self):
        """Yield a finding if too few sound requests begin while crashing ones come."""
        span, ends = (
            self.site.crashing_span,
            sorted(at for times in self.end_times().values() for at in times),
        )
        if not ends:
            return
        since = ends[:ENDS_ALLOWED][-1] + 2 * CONTACT_SECONDS
        calm = self.begun([each for each in self.sound() if each.began < span.began])
        later = self.begun(
            [each for each in self.sound() if since <= each.began <= span.ended]
        )
        if min(len(calm), len(later)) < LEAST_COMPARED:
            return
        shares = [sum(each) / len(each) for each in (calm, later)]
        if shares[1] < LEAST_BEGUN_RATIO * shares[0]:
            yield (
                f"{shares[1]:.3f} of the sound requests began at the first sending "
                f"while crashing ones came, {shares[0]:.3f} before"
            )

    def sound(self):
        """Return the first sendings of sound requests at gateways in touch."""
        return [
            each
            for each in self.records
            if each.ended
            and not each.crashing_part
            and each.number == 0
            and self.is_in_touch(each.gateway, each.began)
        ]

    def begun(self, records):
        """Return whether each of some requests began at an endpoint's answer."""
        return [each.detail.startswith("status 200") for each in records]
