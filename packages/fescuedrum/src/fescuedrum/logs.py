"""Write logs as JSON lines."""

import contextvars
import datetime
import json
import logging
import os
import sys
import time

request_context = contextvars.ContextVar("request_context", default=None)

# Fields of the process that change while it runs, each with a function that reads it.
live_fields = {}

# A burst of requests is told of in full before lines are left out.
BURST_SECONDS = 2.0

STANDARD_ATTRIBUTES = frozenset(
    logging.LogRecord("", 0, "", 0, "", (), None).__dict__
) | {"message", "asctime", "routine", "taskName"}


class JsonLinesFormatter(logging.Formatter):
    """Format a record as one JSON object with the process's fixed fields."""

    def __init__(self, fixed):
        super().__init__()
        self.fixed = fixed

    def format(self, record):
        moment = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        line = {
            "time": moment.isoformat(timespec="milliseconds"),
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


class LineBudget:
    """Allow so many lines a second on average, and a burst of two seconds' worth."""

    __slots__ = ("at", "left", "rate")

    def __init__(self, rate):
        self.rate = rate
        self.left = self.burst
        self.at = 0.0

    @property
    def burst(self):
        return BURST_SECONDS * self.rate

    def take(self, now):
        """Take one line from the budget; False when there is none."""
        self.left = min(self.left + (now - self.at) * self.rate, self.burst)
        self.at = now
        if self.left < 1:
            return False
        self.left -= 1
        return True


class BoundedHandler(logging.Handler):
    """Write lines to a descriptor without ever waiting for its reader.

    Under load a line for each request would cost as much as the request, and a reader
    that stands still would hold up the whole process in a write. Routine lines, marked
    routine=True, have a budget of their own, so that they leave room for changes of
    what the process believes and for requests that fail. What is left out is counted,
    and the count logged.
    """

    def __init__(self, descriptor, rate, clock=time.monotonic):
        super().__init__()
        self.descriptor = descriptor
        self.clock = clock
        self.routine = LineBudget(rate)
        self.others = LineBudget(rate)
        # Bytes of a line that the reader's pipe had no room for.
        self.rest = b""
        self.left_out = 0
        self.total_left_out = 0

    def emit(self, record):
        budget = self.routine if getattr(record, "routine", False) else self.others
        if not budget.take(self.clock()) or not self.flush_rest():
            self.leave_out()
            return
        if self.left_out:
            self.tell_left_out(record)
        self.write(self.format(record))

    def tell_left_out(self, record):
        count, self.left_out = self.left_out, 0
        told = logging.makeLogRecord(
            {
                "name": record.name,
                "levelname": "WARNING",
                "levelno": logging.WARNING,
                "created": record.created,
                "msg": "lines left out",
                "lines": count,
            }
        )
        self.write(self.format(told))

    def leave_out(self):
        self.left_out += 1
        self.total_left_out += 1

    def write(self, line):
        self.rest += line.encode(errors="replace") + b"\n"
        self.flush_rest()

    def flush_rest(self):
        """Write what is left of the last line; tell whether all of it is gone."""
        try:
            while self.rest:
                written = os.write(self.descriptor, self.rest)
                self.rest = self.rest[written:]
        except BlockingIOError:
            return False
        except OSError:
            # The reader is gone for good; there is nobody to tell.
            self.rest = b""
            return False
        return True


def configure_rate_limited_logging(level, rate, **fixed):
    """Send records to standard output as JSON lines, so many a second at most."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = BoundedHandler(descriptor, rate)
    handler.setFormatter(JsonLinesFormatter(fixed))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
    return handler
