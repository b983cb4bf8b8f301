"""Check that logging neither floods nor holds up a process."""

import json
import logging
import os

from fescuedrum.logs import BoundedHandler, JsonLinesFormatter


class Clock:
    """Tell the time that a test sets."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def build_logger(descriptor, rate=10.0):
    clock = Clock()
    handler = BoundedHandler(descriptor, rate, clock)
    handler.setFormatter(JsonLinesFormatter({"instance": "g-1"}))
    logger = logging.Logger("test")
    logger.addHandler(handler)
    return logger, handler, clock


def read_lines(descriptor):
    return [json.loads(line) for line in os.read(descriptor, 1 << 20).splitlines()]


def test_routine_lines_leave_room_for_failures():
    """A request failed, and its log has no line: the load of that second filled it."""
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
    assert handler.total_left_out == 90


def test_a_reader_that_stands_still_costs_lines_and_no_time():
    """Every request of a process waits, because nobody reads its log."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    logger, handler, _ = build_logger(writer, rate=1e6)
    for _ in range(2000):
        logger.info("request sent", extra={"padding": "x" * 500})
    assert handler.total_left_out > 500
    data = b""
    while not data.endswith(b"\n") or len(data) < 60000:
        data += os.read(reader, 1 << 20)
        logger.info("request sent")
    for line in data.splitlines():
        json.loads(line)


def test_a_reader_that_is_gone_ends_nothing():
    reader, writer = os.pipe()
    os.close(reader)
    logger, handler, _ = build_logger(writer)
    logger.info("request sent")
    logger.info("request sent")
    assert handler.rest == b""
