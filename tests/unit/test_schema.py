"""Check that loading reports every error with its path and remedy."""

import json

from support.builders import build_document

from fescuedrum.conf import document as documents, schema
from fescuedrum_agent.conf import AgentSettings


def test_all_errors_are_reported_at_once():
    data = {"name": 3, "port": 0, "colour": "red"}
    findings = schema.load(AgentSettings, data).unwrap_err()
    paths = {finding.path for finding in findings}
    assert {"$.name", "$.port", "$.colour", "$.zone", "$.host"} <= paths
    assert all(finding.hint for finding in findings)


def test_a_whole_number_beyond_floats_is_reported():
    """Guard against a process that ends at one number of a document."""
    data = json.loads(documents.encode_canonical(build_document()))
    data["organisations"][0]["weight"] = 10**400
    (finding,) = documents.decode(json.dumps(data)).unwrap_err()
    assert finding.path == "$.organisations[0].weight"


def test_a_document_is_unchanged_by_its_canonical_encoding():
    body = documents.encode_canonical(build_document())
    assert documents.encode_canonical(documents.parse(body).unwrap()) == body


def test_equal_documents_have_equal_hashes():
    body = documents.encode_canonical(build_document())
    shuffled = dict(reversed(json.loads(body).items()))
    again = documents.encode_canonical(documents.parse(json.dumps(shuffled)).unwrap())
    assert documents.document_hash(again) == documents.document_hash(body)


def test_a_duplicate_name_is_reported():
    zones = [documents.Zone("zone-1"), documents.Zone("zone-1")]
    body = documents.encode_canonical(build_document(zones=zones))
    (finding,) = documents.parse(body).unwrap_err()
    assert finding.path == "$.zones[1].name"
