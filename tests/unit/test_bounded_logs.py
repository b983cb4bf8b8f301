"""Check that logging is limited in rate and never blocks a process."""

import json
import logging
import os

from fescuedrum.logs import JsonLinesFormatter, RateLimitedHandler


class Clock:
    """Return the time that a test sets."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def build_logger(descriptor, rate=10.0):
    clock = Clock()
    handler = RateLimitedHandler(descriptor, rate, clock)
    handler.setFormatter(JsonLinesFormatter({"instance": "g-1"}))
    logger = logging.Logger("test")
    logger.addHandler(handler)
    return logger, handler, clock


def read_lines(descriptor):
    return [json.loads(line) for line in os.read(descriptor, 1 << 20).splitlines()]


def test_routine_lines_do_not_displace_failures():
    """Guard against routine lines that use up the rate and displace a refusal."""
    reader, writer = os.pipe()
    logger, handler, clock = build_logger(writer)
    for number in range(100):
        logger.info("request sent", extra={"request": number, "routine": True})
    logger.info("request refused", extra={"request": "r-1"})
    lines = read_lines(reader)
    assert lines[-1]["request"] == "r-1"
    assert lines[-2] | {"lines": 80} == lines[-2]
    assert len(lines) == 22
    assert "routine" not in lines[0]
    clock.now = 1.0
    for _ in range(20):
        logger.info("request sent", extra={"routine": True})
    assert len(read_lines(reader)) == 10
    assert handler.total_dropped == 90


def test_a_reader_that_does_not_read_costs_lines_and_blocks_nothing():
    """Guard against a full log pipe that blocks all requests of the process."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    logger, handler, _ = build_logger(writer, rate=1e6)
    for _ in range(2000):
        logger.info("request sent", extra={"padding": "x" * 500})
    assert handler.total_dropped > 500
    data = b""
    while not data.endswith(b"\n") or len(data) < 60000:
        data += os.read(reader, 1 << 20)
        logger.info("request sent")
    for line in data.splitlines():
        json.loads(line)


def test_a_closed_reader_raises_no_error():
    reader, writer = os.pipe()
    os.close(reader)
    logger, handler, _ = build_logger(writer)
    logger.info("request sent")
    logger.info("request sent")
    assert handler.unwritten == b""
