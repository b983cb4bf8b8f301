"""Declare the metrics of returning callers."""

from fescuedrum.metrics import SERVICE, Label

WAIT_RESULT = Label("result", "3: served, refused, left")
WHEN = Label("when", "3: outage, room, no-room")


class ReturnMetrics:
    """Hold the metrics of callers who wait or are told when to return."""

    __slots__ = ("told", "wait_seconds", "waiting", "waits")

    def __init__(self, catalogue):
        self.waiting = catalogue.gauge(
            "fescuedrum_gateway_waiting_requests",
            "Requests of returned callers that wait for a service that is down.",
            SERVICE,
        )
        self.waits = catalogue.counter(
            "fescuedrum_gateway_waits_total",
            "Requests that waited for a service that was down.",
            SERVICE,
            WAIT_RESULT,
        )
        self.told = catalogue.counter(
            "fescuedrum_gateway_returns_told_total",
            "New callers that were refused and told when to return.",
            SERVICE,
            WHEN,
        )
        self.wait_seconds = catalogue.histogram(
            "fescuedrum_gateway_wait_seconds",
            "Time that a request waited for a service that was down.",
            SERVICE,
        )
