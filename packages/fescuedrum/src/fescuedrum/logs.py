"""Write logs as JSON lines at a limited rate."""

import contextvars
import datetime
import json
import logging
import os
import sys
import time

request_context = contextvars.ContextVar("request_context", default=None)

# Maps log fields of the process that change while it runs to functions that read them.
live_fields = {}

# A burst of up to this many seconds' lines is logged in full.
BURST_SECONDS = 2.0

STANDARD_ATTRIBUTES = frozenset(
    logging.LogRecord("", 0, "", 0, "", (), None).__dict__
) | {"message", "asctime", "routine", "taskName"}


class JsonLinesFormatter(logging.Formatter):
    """Format a record as a JSON object with the process's fixed fields."""

    def __init__(self, fixed):
        super().__init__()
        self.fixed = fixed

    def format(self, record):
        created = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        line = {
            "time": created.isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
            **self.fixed,
            **{name: read() for name, read in live_fields.items()},
            **(request_context.get() or {}),
        }
        for name, value in record.__dict__.items():
            if name not in STANDARD_ATTRIBUTES:
                line[name] = value
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


class LineRateLimit:
    """Limit lines per second by a token bucket."""

    __slots__ = ("filled_at", "rate", "tokens")

    def __init__(self, rate):
        self.rate = rate
        self.tokens = self.burst
        self.filled_at = 0.0

    @property
    def burst(self):
        """Return how many lines may be written at once."""
        return BURST_SECONDS * self.rate

    def try_acquire(self, now):
        """Take a token for a line; return False if there is none."""
        self.tokens = min(self.tokens + (now - self.filled_at) * self.rate, self.burst)
        self.filled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class RateLimitedHandler(logging.Handler):
    """Write lines to a descriptor at a limited rate without waiting for its reader.

    Under load a line for each request would cost as much as the request, and a reader
    that does not read would block the whole process in a write. Records with
    routine=True have a rate limit of their own, so that they don't displace lines on
    changes of state and on failed requests. Dropped lines are counted, and the count
    is logged.
    """

    def __init__(self, descriptor, rate, clock=time.monotonic):
        super().__init__()
        self.descriptor = descriptor
        self.clock = clock
        self.routine = LineRateLimit(rate)
        self.other = LineRateLimit(rate)
        # Bytes of a line that did not fit into the reader's pipe.
        self.unwritten = b""
        self.dropped = 0
        self.total_dropped = 0

    def emit(self, record):
        limit = self.routine if getattr(record, "routine", False) else self.other
        if not limit.try_acquire(self.clock()) or not self.flush_unwritten():
            self.count_dropped()
            return
        if self.dropped:
            self.log_dropped(record)
        self.write(self.format(record))

    def log_dropped(self, record):
        """Write a line with the number of lines dropped since the last such line."""
        count, self.dropped = self.dropped, 0
        summary = logging.makeLogRecord(
            {
                "name": record.name,
                "levelname": "WARNING",
                "levelno": logging.WARNING,
                "created": record.created,
                "msg": "lines left out",
                "lines": count,
            }
        )
        self.write(self.format(summary))

    def count_dropped(self):
        """Count a dropped line."""
        self.dropped += 1
        self.total_dropped += 1

    def write(self, line):
        """Write a line, or as much of it as fits."""
        self.unwritten += line.encode(errors="replace") + b"\n"
        self.flush_unwritten()

    def flush_unwritten(self):
        """Write the rest of the last line; return whether it is complete."""
        try:
            while self.unwritten:
                written = os.write(self.descriptor, self.unwritten)
                self.unwritten = self.unwritten[written:]
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed its end, so the error can't be logged.
            self.unwritten = b""
            return False
        return True


def configure_rate_limited_logging(level, rate, **fixed):
    """Log to standard output as JSON lines, at most `rate` a second on average."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = RateLimitedHandler(descriptor, rate)
    handler.setFormatter(JsonLinesFormatter(fixed))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
    return handler
