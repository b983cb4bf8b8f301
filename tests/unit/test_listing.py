"""Check which rows of the list of endpoints name an endpoint."""

import json

import pytest
from hypothesis import example, given
from support import odd_rows

from fescuedrum.exceptions import RowNotUnderstood
from fescuedrum.platform.interfaces import VersionedRow
from fescuedrum_platform import listing

SOUND = odd_rows.SOUND | odd_rows.OPTIONAL


@given(odd_rows.rows())
@example((SOUND, True))
@example((odd_rows.SOUND, True))
@example((SOUND | {"born": None}, False))
@example((SOUND | {"models": None}, False))
def test_a_row_names_an_endpoint_only_if_each_field_is_sound(drawn):
    """Guard against endpoints of other writers, whose rows have malformed fields."""
    fields, is_sound = drawn
    row = VersionedRow("i-1", json.dumps(fields).encode(), 1)
    if is_sound:
        assert listing.read_endpoint(row).name == "i-1"
        return
    with pytest.raises(RowNotUnderstood):
        listing.read_endpoint(row)


@pytest.mark.parametrize("field", odd_rows.SOUND)
def test_an_error_names_the_malformed_field(field):
    """Guard against a row of another writer that operators can't find by the log."""
    row = VersionedRow("i-1", odd_rows.raw_with(field, "[]"), 1)
    with pytest.raises(RowNotUnderstood, match=f"The field {field} "):
        listing.read_endpoint(row)
