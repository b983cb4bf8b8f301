"""Write logs as JSON lines."""

import contextvars
import datetime
import json
import logging
import sys

request_context = contextvars.ContextVar("request_context", default=None)

# Fields of the process that change while it runs, each with a function that reads it.
live_fields = {}

STANDARD_ATTRIBUTES = frozenset(
    logging.LogRecord("", 0, "", 0, "", (), None).__dict__
) | {"message", "asctime", "taskName"}


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


def configure_logging(level, **fixed):
    """Send the root logger's records to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonLinesFormatter(fixed))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
