"""Build rows of the list of endpoints as another writer might leave them."""

import json

from hypothesis import strategies as st

SOUND = {
    "service": "advice",
    "address": "127.0.0.1:8080",
    "zone": "zone-1",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 4,
}
HUGE = "1" + "0" * 400


def raw(**changes) -> bytes:
    """Return the bytes of a row with some fields changed."""
    return json.dumps(SOUND | changes).encode()


def raw_with(field: str, text: str, **changes) -> bytes:
    """Return the bytes of a row with the given JSON text as a field."""
    sound = SOUND | changes
    others = json.dumps({name: sound[name] for name in sound if name != field})
    return f'{others[:-1]}, "{field}": {text}}}'.encode()


def nested(depth: int) -> str:
    """Return the JSON text of lists within lists."""
    return "[" * depth + "]" * depth


ODD_ROWS = {
    "no JSON": b"\xff\x00",
    "empty": b"",
    "deep": nested(100_000).encode(),
    "deep field": raw_with("x", nested(100_000)),
    "deep state": raw_with("state", nested(900)),
    "huge time": raw_with("cold_left_ms", HUGE),
    "infinite time": raw_with("cold_left_ms", "Infinity"),
    "time that is no number": raw_with("cold_left_ms", "NaN"),
    "time beyond floats": raw_with("cold_left_ms", "1e999"),
    "huge slots": raw_with("slots", HUGE),
    "no slots": raw(slots=0),
    "negative slots": raw(slots=-6),
    "huge start": raw_with("born", HUGE),
    "number of 5,000 digits": raw_with("slots", "9" * 5000),
    "port 0": raw(address="127.0.0.1:0"),
    "port 65536": raw(address="127.0.0.1:65536"),
    "negative port": raw(address="127.0.0.1:-1"),
    "port of 5,000 digits": raw(address="127.0.0.1:" + "9" * 5000),
    "port in other digits": raw(address="127.0.0.1:٨٠٨٠"),
    "host with a blank": raw(address="a b:80"),
    "host with a line end": raw(address="a\nb:80"),
    "host with a path": raw(address="a/b:80"),
    "host with a user": raw(address="u@a:80"),
    "host of 300 characters": raw(address="a" * 300 + ":80"),
    "host without brackets": raw(address="::1:80"),
    "host that is no text": raw(address="\ud800:80"),
    "host of dots": raw(address=".:80"),
    "host that is a name": raw(address="localhost:80"),
    "host with a number above 255": raw(address="127.0.0.256:80"),
    "host of three numbers": raw(address="127.0.1:80"),
    "host of five numbers": raw(address="127.0.0.0.1:80"),
    "host of one number": raw(address="2130706433:80"),
    "host with a leading zero": raw(address="127.0.0.01:80"),
    "host in other digits": raw(address="127.0.0.١:80"),
    "host of IPv6": raw(address="[::1]:80"),
    "host of no machine": raw(address="0.0.0.0:80"),
    "host of many machines": raw(address="224.0.0.1:80"),
    "host of all machines": raw(address="255.255.255.255:80"),
    "zone that is no text": raw(zone="\ud800"),
}
# Fields that not all endpoints have, beside those of SOUND.
OPTIONAL = {"born": 17, "stage": "both", "models": [{"name": "m", "version": 1}]}
# Values by their type in JSON; a field for numbers takes whole ones as well.
VALUES_OF_TYPES = {
    "null": st.none(),
    "flag": st.booleans(),
    "text": st.text(),
    "whole number": st.integers(-(2**63) + 1, 2**63 - 1),
    "number": st.floats(allow_nan=False, allow_infinity=False),
    "list": st.lists(st.integers() | st.text(), min_size=1),
    "object": st.dictionaries(st.text(), st.integers()),
    "huge number": st.integers(2**63, 10**400) | st.integers(-(10**400), -(2**63)),
    "no number": st.sampled_from([float("nan"), float("inf"), float("-inf")]),
}
# Types of which a field may be; their values are not drawn as malformed ones.
TYPES_OF_FIELDS = {
    "service": ("text",),
    "address": ("text",),
    "zone": ("text",),
    "version": ("text",),
    "slots": ("whole number",),
    "state": ("text",),
    "cold_left_ms": ("whole number", "number"),
    "seq": ("whole number",),
    "born": ("whole number",),
    "stage": ("text",),
    "models": (),
}
# Values of the right type that a field can't have.
VALUES_OUT_OF_RANGE = {
    "address": st.sampled_from(["", "10.0.0.9", "10.0.0.256:80", "10.0.0.9:0", "a:80"]),
    "state": st.sampled_from(["", "Ready", "dreaming"]),
    "slots": st.integers(max_value=0),
}


def malformed_values(field: str):
    """Return a strategy of values that a field can't have."""
    other_types = [
        values
        for name, values in VALUES_OF_TYPES.items()
        if name not in TYPES_OF_FIELDS[field]
    ]
    return st.one_of(*other_types, VALUES_OUT_OF_RANGE.get(field, st.nothing()))


@st.composite
def rows(draw):
    """Draw a row as (its fields, whether each of them is sound)."""
    fields, is_sound = {}, True
    for name, value in (SOUND | OPTIONAL).items():
        match draw(st.sampled_from(["sound"] * 12 + ["absent", "malformed"])):
            case "sound":
                fields[name] = value
            case "absent":
                is_sound &= name in OPTIONAL
            case "malformed":
                fields[name] = draw(malformed_values(name))
                is_sound = False
    return fields, is_sound


# Keys that no request can name as its endpoint.
ODD_KEYS = {
    "empty key": "",
    "key with a line end": "i-1\nX-Odd: 1",
    "key with a control byte": "i-\x01",
    "key that is no text": "i-\ud800",
    "key of 5,000 characters": "i" * 5000,
}
