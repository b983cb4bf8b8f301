"""Check the document: faults, safety, the published schema and older documents."""

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


def test_the_published_schema_takes_documents_and_refuses_faults():
    schema = json.loads((DOCS / "document.schema.json").read_text())
    jsonschema.Draft202012Validator.check_schema(schema)
    data = json.loads(documents.encode_canonical(build_full_document()))
    jsonschema.validate(data, schema)
    data["zones"][0]["state"] = "sideways"
    with pytest.raises(jsonschema.ValidationError):
        jsonschema.validate(data, schema)


def test_a_document_without_faults_has_no_findings():
    assert documents.check_document(build_full_document()) == []


def test_a_document_of_the_first_release_keeps_its_meaning():
    first = {
        "services": [{"name": "s", "kind": "plain", "models": []}],
        "organisations": [{"name": "club", "keys": [], "weight": 1.0}],
        "zones": [{"name": "z", "state": "in"}],
    }
    loaded = documents.parse(json.dumps(first)).unwrap()
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
def test_each_fault_is_found_with_its_place_and_remedy(place, value, id, where):
    document = build_full_document()
    part, _, field = place.partition("[0].")
    setattr(getattr(document, part)[0], field, value)
    findings = documents.check_document(document)
    paths = [each.path for each in findings if each.id == id]
    assert paths and all(path.endswith(where) for path in paths), findings
    assert all(each.hint for each in findings)


def test_shares_over_the_whole_of_a_service_are_found():
    rules = [
        documents.SharingRule(f"r{n}", "advice", ["club"], minimum_share=0.4)
        for n in range(3)
    ]
    (finding,) = documents.check_document(build_full_document(sharing_rules=rules))
    assert (finding.id, finding.level) == ("document.E013", Level.ERROR)


def take_out(document, *names):
    changed = copy.deepcopy(document)
    for zone in changed.zones:
        if zone.name in names:
            zone.state = ZoneState.OUT
    return changed


def test_the_last_zone_of_a_service_goes_out_only_with_the_word():
    """Every booking is refused minutes after a zone is taken out for repairs.

    Only that zone had endpoints of the bookings; the other zone was in, so nothing
    warned the operator.
    """
    before = build_document()
    served = {"advice": {"zone-1"}}
    (finding,) = safety.check_change(before, take_out(before, "zone-1"), (), served)
    assert finding.id == "change.E001"
    words = (safety.Allowance.OUTAGE,)
    assert safety.check_change(before, take_out(before, "zone-1"), words, served) == []
    assert safety.check_change(before, take_out(before, "zone-2"), (), served) == []
    every = take_out(before, "zone-1", "zone-2")
    assert safety.check_change(before, every)
    # What is already out is no harm of the next change.
    assert safety.check_change(every, copy.deepcopy(every)) == []


def test_removals_need_the_word():
    before = build_document()
    after = build_document(organisations=[])
    assert [each.id for each in safety.check_change(before, after)] == ["change.E002"]
    assert safety.check_change(before, after, (safety.Allowance.REMOVAL,)) == []
