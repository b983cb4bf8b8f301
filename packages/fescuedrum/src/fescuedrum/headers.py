"""Choose which HTTP headers go on from one connection to the next."""

# They describe one connection, not the message (RFC 9110, section 7.6.1).
HOP_HEADERS = frozenset(
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
    """Return the (name, value) pairs of a message that its next reader should get.

    The Connection header may name more headers that are meant for one hop only.
    """
    named = {
        name.strip().lower()
        for value in headers.getall("Connection", ())
        for name in value.split(",")
    }
    return [
        (name, value)
        for name, value in headers.items()
        if (folded := name.lower()) not in HOP_HEADERS
        and folded not in named
        and folded not in without
    ]


def is_valid_utf8(value):
    """Tell whether a header's value was valid UTF-8 and so can go on as it came."""
    if value.isascii():
        return True
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def replace_invalid_utf8(value):
    """Replace the bytes of a value that were not valid UTF-8."""
    return value if is_valid_utf8(value) else value.encode(errors="replace").decode()
