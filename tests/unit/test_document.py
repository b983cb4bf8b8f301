"""Check the document's validation, schema, compatibility and guarded changes."""

import copy
import json
import pathlib

import jsonschema
import pytest
from support.builders import build_document, build_full_document

from fescuedrum.checks import Level
from fescuedrum.conf import document as documents, safety
from fescuedrum.conf.document import ZoneState

DOCS = pathlib.Path(__file__).parents[2] / "docs"


def test_published_schema_accepts_valid_and_rejects_invalid_documents():
    schema = json.loads((DOCS / "document.schema.json").read_text())
    jsonschema.Draft202012Validator.check_schema(schema)
    data = json.loads(documents.encode_canonical(build_full_document()))
    jsonschema.validate(data, schema)
    data["zones"][0]["state"] = "sideways"
    with pytest.raises(jsonschema.ValidationError):
        jsonschema.validate(data, schema)


def test_valid_document_has_no_findings():
    assert documents.check_document(build_full_document()) == []


def test_document_of_the_first_release_is_still_understood():
    first_release = {
        "services": [{"name": "s", "kind": "plain", "models": []}],
        "organisations": [{"name": "club", "keys": [], "weight": 1.0}],
        "zones": [{"name": "z", "state": "in"}],
    }
    loaded = documents.parse(json.dumps(first_release)).unwrap()
    assert loaded.rank_groups == []
    assert b"rank_groups" not in documents.encode_canonical(loaded)


FAULTS = [
    ("services[0].models", ["x"], "document.E004", "services[0].models[0]"),
    ("services[0].kind", documents.ServiceKind.PLAIN, "document.E006", "models"),
    ("services[0].idempotent_methods", ["FETCH"], "document.E007", "methods[0]"),
    ("organisations[0].name", "a.b", "document.E008", "organisations[0].name"),
    ("organisations[0].name", " ", "document.E003", "organisations[0].name"),
    ("organisations[0].classes", ["x"], "document.E004", "classes[0]"),
    (
        "organisations[0].keys",
        [documents.KeyHash("s", "x")],
        "document.E009",
        "keys[0].sha256",
    ),
    ("organisations[0].keys", [], "document.W001", "organisations[0].keys"),
    ("endpoints[0].service", "x", "document.E004", "endpoints[0].service"),
    ("endpoints[0].zone", "x", "document.E004", "endpoints[0].zone"),
    ("endpoints[0].zone", "zone-2", "document.W002", "rank_groups[0].endpoints"),
    ("models[0].version", "3", "document.E011", "models[0].version"),
    (
        "sharing_rules[0].organisations",
        ["x"],
        "document.E004",
        "sharing_rules[0].organisations[0]",
    ),
    ("sharing_rules[0].maximum_share", 0.1, "document.E012", "minimum_share"),
    ("rank_groups[0].experts", 11, "document.E014", "rank_groups[0].slots"),
    ("rank_groups[0].endpoints", ["e-0"], "document.E015", "rank_groups[0].endpoints"),
    ("rank_groups[0].endpoints", ["e-0", "x"], "document.E004", "endpoints[1]"),
]


@pytest.mark.parametrize(("place", "value", "id", "where"), FAULTS)
def test_each_fault_is_reported_with_path_and_hint(place, value, id, where):
    document = build_full_document()
    section, _, field = place.partition("[0].")
    setattr(getattr(document, section)[0], field, value)
    findings = documents.check_document(document)
    paths = [each.path for each in findings if each.id == id]
    assert paths and all(path.endswith(where) for path in paths), findings
    assert all(each.hint for each in findings)


def test_minimum_shares_that_exceed_a_service_are_reported():
    rules = [
        documents.SharingRule(f"r{n}", "advice", ["club"], minimum_share=0.4)
        for n in range(3)
    ]
    (finding,) = documents.check_document(build_full_document(sharing_rules=rules))
    assert (finding.id, finding.level) == ("document.E013", Level.ERROR)


def take_out(document, *names):
    """Return a copy of a document in which some zones are out of service."""
    changed = copy.deepcopy(document)
    for zone in changed.zones:
        if zone.name in names:
            zone.state = ZoneState.OUT
    return changed


def test_taking_out_the_only_zone_of_a_service_needs_an_allowance():
    """Taking a zone out stops a service whose endpoints are all in that zone.

    The other zone is still in service, so nothing else warns the operator.
    """
    before = build_document()
    served = {"advice": {"zone-1"}}
    (finding,) = safety.check_change(before, take_out(before, "zone-1"), (), served)
    assert finding.id == "change.E001"
    allowed = (safety.Allowance.OUTAGE,)
    assert (
        safety.check_change(before, take_out(before, "zone-1"), allowed, served) == []
    )
    assert safety.check_change(before, take_out(before, "zone-2"), (), served) == []
    all_out = take_out(before, "zone-1", "zone-2")
    assert safety.check_change(before, all_out)
    # A zone that is already out is not reported for the next change.
    assert safety.check_change(all_out, copy.deepcopy(all_out)) == []


def test_removals_need_an_allowance():
    before = build_document()
    after = build_document(organisations=[])
    assert [each.id for each in safety.check_change(before, after)] == ["change.E002"]
    assert safety.check_change(before, after, (safety.Allowance.REMOVAL,)) == []
