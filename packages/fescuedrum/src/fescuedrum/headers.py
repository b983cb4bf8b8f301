"""Select the HTTP headers that are forwarded to the next hop."""

# Hop-by-hop headers describe a connection, not the message (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


def end_to_end_headers(headers, *, without=frozenset()):
    """Return the (name, value) pairs of the headers to forward.

    Hop-by-hop headers are left out, as are those that the Connection header names and
    those in without, in lower case.
    """
    hop_by_hop = {
        name.strip().lower()
        for value in headers.getall("Connection", ())
        for name in value.split(",")
    }
    return [
        (name, value)
        for name, value in headers.items()
        if (lowered := name.lower()) not in HOP_BY_HOP_HEADERS
        and lowered not in hop_by_hop
        and lowered not in without
    ]


def is_valid_utf8(value):
    """Return whether a header's value is valid UTF-8 and can be forwarded unchanged."""
    if value.isascii():
        return True
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def replace_invalid_utf8(value):
    """Return a value in which bytes that were not valid UTF-8 are replaced."""
    return value if is_valid_utf8(value) else value.encode(errors="replace").decode()
