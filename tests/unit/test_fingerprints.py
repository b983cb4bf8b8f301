"""Check which requests count as repeats of each other."""

import pytest

from fescuedrum.decisions.admitting.fingerprints import fingerprint, is_fingerprint

REQUEST = {
    "organisation": "club",
    "own_part": "",
    "method": "POST",
    "target": "/orders/?a=1",
    "body": b"{}",
}


def test_a_repeat_has_the_same_fingerprint_at_any_gateway():
    assert fingerprint(**REQUEST) == "request:d3587415e30fd514"
    assert is_fingerprint(fingerprint(**REQUEST))


@pytest.mark.parametrize(
    "change",
    [
        {"organisation": "clu", "method": "bPOST"},
        {"method": "PUT"},
        {"target": "/orders/"},
        {"body": b"{ }"},
        {"own_part": "e1"},
    ],
)
def test_a_different_request_has_another_fingerprint(change):
    assert fingerprint(**REQUEST | change) != fingerprint(**REQUEST)


def test_the_own_part_of_a_prompt_identifies_a_request_within_its_organisation():
    """Guard against a repeat that counts as new as its body has another time."""
    prompt = REQUEST | {"own_part": "e1"}
    assert fingerprint(**prompt | {"body": b"1"}) == fingerprint(**prompt)
    assert fingerprint(**prompt | {"organisation": "shop"}) != fingerprint(**prompt)
