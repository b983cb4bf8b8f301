"""Build answers byte by byte, also ones that HTTP does not allow."""

SOUND_FIELDS = (b"Request-Id: r-1", b"Signed: yes")


def head(
    status_line: bytes = b"HTTP/1.1 200 OK",
    *fields: bytes,
    before: bytes = b"",
    framing: bytes = b"Content-Length: 4",
) -> bytes:
    """Return the bytes of a head; before stands between its first two lines."""
    lines = [*SOUND_FIELDS, *fields, *([framing] if framing else [])]
    return status_line + b"\r\n" + before + b"\r\n".join(lines) + b"\r\n\r\n"


def sending(raw: bytes):
    """Return an answer function that sends bytes and closes the connection."""

    async def answer(seen):
        seen.writer.write(raw)
        await seen.writer.drain()

    return answer
