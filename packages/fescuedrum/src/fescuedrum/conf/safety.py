"""Check a change for harmful effects that operators must allow explicitly."""

import enum

from fescuedrum import checks
from fescuedrum.conf.document.model import ZoneState


class Allowance(enum.StrEnum):
    """Name the harmful effects that an operator can allow for a change."""

    OUTAGE = "allow_outage"
    REMOVAL = "allow_removal"


def check_change(before, after, allowed=(), served=None):
    """Return findings for the harmful effects of a change that are not allowed.

    served maps each service to the zones in which its endpoints are known; the zones
    of the endpoints in the document are added.
    """
    findings = []
    if Allowance.OUTAGE not in allowed:
        findings += check_outage(before, after, served or {})
    if Allowance.REMOVAL not in allowed:
        findings += check_removal(before, after)
    return findings


def check_outage(before, after, served):
    """Report services of which the change takes out the last serving zone."""
    for index, service in enumerate(after.services):
        zones = {each.zone for each in after.endpoints if each.service == service.name}
        zones |= set(served.get(service.name, ()))
        if is_reachable(before, zones) and not is_reachable(after, zones):
            yield checks.error(
                "change.E001",
                f"$.services[{index}]",
                f"{service.name!r} loses the last zone that serves it.",
                f"Keep such a zone in service, or specify {Allowance.OUTAGE}.",
            )


def is_reachable(document, zones):
    """Return whether one of the zones, or of all if none are given, is in service."""
    return any(
        zone.state is ZoneState.IN and (not zones or zone.name in zones)
        for zone in document.zones
    )


def check_removal(before, after):
    """Report services, organisations and zones that the change removes."""
    for field in ("services", "organisations", "zones"):
        kept = {item.name for item in getattr(after, field)}
        for item in getattr(before, field):
            if item.name not in kept:
                yield checks.error(
                    "change.E002",
                    f"$.{field}",
                    f"{item.name!r} would be removed and its requests refused.",
                    f"Keep it, or specify {Allowance.REMOVAL}.",
                )
