"""Check a document's names, references and sums, beyond its types."""

from collections import defaultdict

from fescuedrum import checks
from fescuedrum.conf.document.model import ServiceKind, ZoneState

NAMED_FIELDS = (
    "services",
    "organisations",
    "zones",
    "endpoints",
    "models",
    "classes",
    "sharing_rules",
    "rank_groups",
)
HTTP_METHODS = ("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE")
SHA256_LENGTH = 64
HEXADECIMAL = frozenset("0123456789abcdef")
# Sums of shares such as 0.1 + 0.2 have a rounding error.
SHARE_TOLERANCE = 1e-9


def check_document(document):
    """Return all findings, errors and warnings."""
    names = {
        field: {item.name for item in getattr(document, field)}
        for field in NAMED_FIELDS
    }
    return [
        *check_names(document),
        *check_services(document, names),
        *check_organisations(document, names),
        *check_endpoints(document, names),
        *check_models(document, names),
        *check_sharing_rules(document, names),
        *check_rank_groups(document, names),
        *check_zones(document),
    ]


def check_names(document):
    """Report names that are empty, not printable or used more than once."""
    for field in NAMED_FIELDS:
        seen = set()
        for index, item in enumerate(getattr(document, field)):
            path = f"$.{field}[{index}].name"
            if not item.name.strip() or not item.name.isprintable():
                yield checks.error(
                    "document.E003",
                    path,
                    f"{item.name!r} is not a valid name.",
                    "Use at least one character, and only printable ones.",
                )
            if item.name in seen:
                yield checks.error(
                    "document.E002",
                    path,
                    f"{item.name!r} is used more than once.",
                    "Give each item a name of its own.",
                )
            seen.add(item.name)


def check_reference(path, name, known, kind):
    """Report a reference to a name that the document does not define."""
    if name not in known:
        yield checks.error(
            "document.E004",
            path,
            f"There is no {kind} {name!r}.",
            f"Name a {kind} of the document, or add this one to it.",
        )


def check_services(document, names):
    """Report models that a service can't serve, and unknown HTTP methods."""
    owners = {}
    for index, service in enumerate(document.services):
        path = f"$.services[{index}]"
        for number, model in enumerate(service.models):
            where = f"{path}.models[{number}]"
            # Documents of earlier releases have no models.
            if document.models:
                yield from check_reference(where, model, names["models"], "model")
            if owners.setdefault(model, service.name) != service.name:
                yield checks.error(
                    "document.E005",
                    where,
                    f"{model!r} is already served by {owners[model]!r}.",
                    "Let one service serve each model.",
                )
        if service.models and service.kind is ServiceKind.PLAIN:
            yield checks.error(
                "document.E006",
                f"{path}.models",
                "A plain service serves no models.",
                "Remove the models or make its kind engine.",
            )
        yield from check_methods(path, service)


def check_methods(path, service):
    """Report idempotent methods that are not HTTP methods."""
    for index, method in enumerate(service.idempotent_methods):
        if method not in HTTP_METHODS:
            yield checks.error(
                "document.E007",
                f"{path}.idempotent_methods[{index}]",
                f"{method!r} is not an HTTP method.",
                f"Use some of {', '.join(HTTP_METHODS)}.",
            )


def check_organisations(document, names):
    """Report organisations with invalid names, keys or classes."""
    for index, organisation in enumerate(document.organisations):
        path = f"$.organisations[{index}]"
        if "." in organisation.name:
            yield checks.error(
                "document.E008",
                f"{path}.name",
                "The name contains a dot.",
                "Leave dots out: a key's name ends at its first dot.",
            )
        if not organisation.keys:
            yield checks.warning(
                "document.W001",
                f"{path}.keys",
                "The organisation has no key, so it can't send requests.",
                "Add the salted hash of a key.",
            )
        for number, key in enumerate(organisation.keys):
            hexadecimal = set(key.sha256) <= HEXADECIMAL
            if len(key.sha256) != SHA256_LENGTH or not hexadecimal:
                yield checks.error(
                    "document.E009",
                    f"{path}.keys[{number}].sha256",
                    "This is not a SHA-256.",
                    "Write 64 lower-case hexadecimal digits.",
                )
        for number, name in enumerate(organisation.classes):
            where = f"{path}.classes[{number}]"
            yield from check_reference(where, name, names["classes"], "class")


def check_endpoints(document, names):
    """Report endpoints with unknown references or contradictory limits."""
    for index, endpoint in enumerate(document.endpoints):
        path = f"$.endpoints[{index}]"
        yield from check_reference(
            f"{path}.service", endpoint.service, names["services"], "service"
        )
        yield from check_reference(
            f"{path}.zone", endpoint.zone, names["zones"], "zone"
        )
        cold, warm = endpoint.cold_limit, endpoint.warm_limit
        if cold is not None and warm is not None and cold > warm:
            yield checks.error(
                "document.E010",
                f"{path}.cold_limit",
                f"It is above the warm limit {warm}.",
                "Give a cold endpoint no higher limit than a warm one.",
            )


def check_models(document, names):
    """Report models with an unlisted version and adapters of unknown organisations."""
    for index, model in enumerate(document.models):
        path = f"$.models[{index}]"
        if model.versions and model.version not in model.versions:
            yield checks.error(
                "document.E011",
                f"{path}.version",
                f"{model.version!r} is not among its versions.",
                "Choose one of its versions or add this one.",
            )
        for number, adapter in enumerate(model.adapters):
            for position, name in enumerate(adapter.organisations):
                where = f"{path}.adapters[{number}].organisations[{position}]"
                known = names["organisations"]
                yield from check_reference(where, name, known, "organisation")


def check_sharing_rules(document, names):
    """Report rules with unknown references or impossible shares."""
    reserved = defaultdict(float)
    for index, rule in enumerate(document.sharing_rules):
        path = f"$.sharing_rules[{index}]"
        yield from check_reference(
            f"{path}.service", rule.service, names["services"], "service"
        )
        for number, name in enumerate(rule.organisations):
            where = f"{path}.organisations[{number}]"
            known = names["organisations"]
            yield from check_reference(where, name, known, "organisation")
        if rule.minimum_share > rule.maximum_share:
            yield checks.error(
                "document.E012",
                f"{path}.minimum_share",
                f"It is above the maximum {rule.maximum_share}.",
                "Lower the minimum or raise the maximum.",
            )
        reserved[rule.service] += rule.minimum_share
        if reserved[rule.service] > 1 + SHARE_TOLERANCE:
            yield checks.error(
                "document.E013",
                f"{path}.minimum_share",
                f"The minimum shares of {rule.service!r} add up to more than 1.",
                "Lower the minimum shares of the service to a sum of at most 1.",
            )


def check_rank_groups(document, names):
    """Report groups that can't hold their experts or whose endpoints don't fit."""
    endpoints = {each.name: each for each in document.endpoints}
    for index, group in enumerate(document.rank_groups):
        path = f"$.rank_groups[{index}]"
        yield from check_reference(
            f"{path}.service", group.service, names["services"], "service"
        )
        if group.ranks * group.slots < group.experts:
            yield checks.error(
                "document.E014",
                f"{path}.slots",
                f"{group.ranks} ranks of {group.slots} slots can't hold "
                f"{group.experts} experts.",
                "Raise the slots or the ranks.",
            )
        if group.endpoints and len(group.endpoints) != group.ranks:
            yield checks.error(
                "document.E015",
                f"{path}.endpoints",
                f"{len(group.endpoints)} endpoints are named for {group.ranks} ranks.",
                "Name one endpoint for each rank, or none.",
            )
        for number, name in enumerate(group.endpoints):
            where = f"{path}.endpoints[{number}]"
            yield from check_reference(where, name, endpoints, "endpoint")
        zones = {endpoints[name].zone for name in group.endpoints if name in endpoints}
        if len(zones) > 1:
            yield checks.warning(
                "document.W002",
                f"{path}.endpoints",
                f"The ranks are in {len(zones)} zones.",
                "Keep a group in one zone: a cut between zones stops them all.",
            )


def check_zones(document):
    """Warn when every zone is out of service."""
    if document.zones and all(zone.state is ZoneState.OUT for zone in document.zones):
        yield checks.warning(
            "document.W003",
            "$.zones",
            "Every zone is out of service, so every request is refused.",
            "Put a zone in.",
        )
