"""Check a change for harm that operators must ask for by an explicit word."""

import enum

from fescuedrum import checks
from fescuedrum.conf.document.model import ZoneState


class Allowance(enum.StrEnum):
    """Name the harms that a change may do when its operator says the word."""

    OUTAGE = "allow_outage"
    REMOVAL = "allow_removal"


def check_change(before, after, allowed=(), served=None):
    """List the harms of a change that its words do not allow.

    served maps each service to the zones that have endpoints of it, as seen now;
    the endpoints that the documents name are added to it.
    """
    findings = []
    if Allowance.OUTAGE not in allowed:
        findings += check_outage(before, after, served or {})
    if Allowance.REMOVAL not in allowed:
        findings += check_removal(before, after)
    return findings


def check_outage(before, after, served):
    """Report services that lose the last zone that serves them."""
    for index, service in enumerate(after.services):
        zones = {each.zone for each in after.endpoints if each.service == service.name}
        zones |= set(served.get(service.name, ()))
        if is_reachable(before, zones) and not is_reachable(after, zones):
            yield checks.error(
                "change.E001",
                f"$.services[{index}]",
                f"{service.name!r} loses the last zone that serves it.",
                f"Keep such a zone in, or say {Allowance.OUTAGE}.",
            )


def is_reachable(document, zones):
    """Tell whether a zone is in among those given, or among all if none are given."""
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
                    f"{item.name!r} would be removed, and its requests refused.",
                    f"Keep it, or say {Allowance.REMOVAL}.",
                )
