"""Declare the gateway's metrics and count the outcomes of its requests."""

from fescuedrum.answers.exceptions import AnswerRule
from fescuedrum.metrics import LOOP_DELAY_BUCKETS, SERVICE, Label, MetricCatalogue
from fescuedrum_gateway.connection.endpoints import CONTRADICTION
from fescuedrum_gateway.process.group_metrics import GroupMetrics
from fescuedrum_gateway.process.holders import Kind
from fescuedrum_gateway.process.place_metrics import PlaceMetrics
from fescuedrum_gateway.process.return_metrics import ReturnMetrics

NO_SERVICE = "none"
RESULT = Label("result", "5: answered, failed, cut, refused, left")
ATTEMPT = Label("result", "3: opened, not-run, lost")
RULES = (*AnswerRule, CONTRADICTION)
RULE = Label("rule", f"{len(RULES)}: {', '.join(RULES)}")
CODE = Label("code", "the error codes of the callers' interface")
HELD = Label("kind", "3: bodies, answers, unread")
CHANGE = Label("result", "4: switched, abandoned, epoch-ended, unsettled")


class GatewayMetrics:
    """Hold the gateway's metrics and count the events behind them."""

    __slots__ = (
        "attempts",
        "catalogue",
        "deadlines_passed",
        "endpoint_ends",
        "first_event",
        "groups",
        "held_bytes",
        "loop_delay",
        "malformed_answers",
        "map_changes",
        "places",
        "refusals",
        "requests",
        "requests_too_large",
        "returns",
        "seconds",
        "streams_ended",
    )

    def __init__(self):
        catalogue = self.catalogue = MetricCatalogue()
        self.requests = catalogue.counter(
            "fescuedrum_gateway_requests_total",
            "Requests that ended.",
            SERVICE,
            RESULT,
        )
        self.seconds = catalogue.histogram(
            "fescuedrum_gateway_request_seconds",
            "Time from a request's head to the end of its answer.",
            SERVICE,
        )
        self.first_event = catalogue.histogram(
            "fescuedrum_gateway_first_event_seconds",
            "Time from a request's head to the first event of its stream.",
            SERVICE,
        )
        self.attempts = catalogue.counter(
            "fescuedrum_gateway_sendings_total",
            "Attempts to send a request to an endpoint, retries included.",
            ATTEMPT,
        )
        self.malformed_answers = catalogue.counter(
            "fescuedrum_gateway_malformed_answers_total",
            "Answers of endpoints that HTTP does not allow or that contradict "
            "themselves; `sending failed` in the log names the endpoint.",
            RULE,
        )
        self.refusals = catalogue.counter(
            "fescuedrum_gateway_refusals_total",
            "Requests refused by the gateway itself.",
            CODE,
        )
        self.deadlines_passed = catalogue.counter(
            "fescuedrum_gateway_deadlines_passed_total",
            "Requests whose deadline passed while an endpoint had them.",
            SERVICE,
        )
        self.endpoint_ends = catalogue.counter(
            "fescuedrum_gateway_endpoint_ends_total",
            "Endpoints at whose address this gateway found nothing listening.",
            SERVICE,
        )
        self.loop_delay = catalogue.histogram(
            "fescuedrum_gateway_loop_delay_seconds",
            "Delay with which the event loop runs a timer.",
            buckets=LOOP_DELAY_BUCKETS,
        )
        self.map_changes = catalogue.counter(
            "fescuedrum_gateway_map_changes_total",
            "Changes of expert maps that this gateway led.",
            CHANGE,
        )
        self.groups = GroupMetrics(catalogue)
        self.places = PlaceMetrics(catalogue)
        self.returns = ReturnMetrics(catalogue)

        self.held_bytes = catalogue.gauge(
            "fescuedrum_gateway_held_bytes",
            "Bytes held for callers: requests' bodies, answers that are read whole, "
            "and what callers have not read.",
            HELD,
        )
        self.streams_ended = catalogue.counter(
            "fescuedrum_gateway_streams_ended_for_memory_total",
            "Answers that were cut since their callers read slowly and memory was low.",
        )
        self.requests_too_large = catalogue.counter(
            "fescuedrum_gateway_requests_too_large_total",
            "Requests that fit into the memory of no engine.",
            SERVICE,
        )

    def watch_held(self, gateway, kind):
        """Read the bytes held of one kind from a Gateway."""
        self.held_bytes.labels(kind).set_function(lambda: gateway.memory.held[kind])

    def watch(self, gateway):
        """Declare the gauges that are read from a Gateway."""
        for kind in Kind:
            self.watch_held(gateway, kind)
        gauges = (
            ("running_requests", "Requests running now.", lambda: gateway.running),
            (
                "configuration_version",
                "Version of the configuration in force; -1 for none.",
                lambda: gateway.configuration.version,
            ),
            (
                "configuration_age_seconds",
                "Time since that version came in force; -1 for none.",
                lambda: gateway.configuration_age(),
            ),
            (
                "operators_age_seconds",
                "Time since the operators' table was last confirmed; -1 for never.",
                lambda: gateway.followers[0].age,
            ),
            (
                "endpoints_age_seconds",
                "Time since the list of endpoints was last confirmed; -1 for never.",
                lambda: gateway.followers[1].age,
            ),
            (
                "retries_left",
                "Retries left to the service that has the fewest; -1 for none.",
                lambda: gateway.retries_left(),
            ),
            (
                "endpoints",
                "Endpoints known.",
                lambda: len(gateway.directory.presences.by_name),
            ),
            (
                "endpoint_rows_left_out",
                "Rows of the list of endpoints that name no endpoint, as they can't be "
                "decoded.",
                lambda: gateway.count_rows_left_out(),
            ),
            (
                "limited_endpoints",
                "Endpoints that limit the requests a second that they accept.",
                lambda: len(gateway.directory.rate_limits.limited()),
            ),
            (
                "resting_endpoints",
                "Endpoints that get no requests from this gateway, as they asked for "
                "rest.",
                lambda: gateway.directory.count_resting(),
            ),
            (
                "suspect_parts",
                "Parts of prompts that were in requests at endpoints which ended, with "
                "no answer since.",
                lambda: gateway.quarantine.quarantine.count_suspects(
                    are_requests=False
                ),
            ),
            (
                "suspect_requests",
                "Requests that were at endpoints which ended, with no whole answer "
                "since.",
                lambda: gateway.quarantine.quarantine.count_suspects(are_requests=True),
            ),
            (
                "quarantined_parts",
                "Parts of prompts at which endpoints end, so that prompts with them "
                "are refused.",
                lambda: gateway.quarantine.quarantine.count_blocking(
                    are_requests=False
                ),
            ),
            (
                "quarantined_requests",
                "Requests at which endpoints end, so that repeats of them are refused.",
                lambda: gateway.quarantine.quarantine.count_blocking(are_requests=True),
            ),
            (
                "gateways_sharing",
                "Gateways that share bounds and budgets, this one included.",
                lambda: gateway.peers.count_sharing_gateways(),
            ),
            (
                "store_answers",
                "1 while the platform's store answers this gateway; 0 also while it "
                "leaves the store to others.",
                lambda: gateway.store_answers,
            ),
            (
                "store_unanswered_seconds",
                "Longest time for which a call to the platform's store has been "
                "unanswered; 0 for no call.",
                lambda: max(
                    (each.unanswered_seconds for each in gateway.followers),
                    default=0.0,
                ),
            ),
            (
                "group_stand_still_seconds",
                "Longest time since the last pass of a group that this gateway "
                "manages; -1 if it manages none.",
                lambda: (
                    gateway.supervisor.stand_still_seconds()
                    if gateway.supervisor
                    else -1.0
                ),
            ),
            (
                "group_hold_seconds",
                "Longest time for which a group that this gateway manages has been "
                "seen to hold a pass.",
                lambda: (
                    gateway.supervisor.hold_seconds() if gateway.supervisor else 0.0
                ),
            ),
            (
                "held_bytes_bound",
                "Highest sum of the bytes held for callers; 0 for no bound.",
                lambda: gateway.memory.bound.total,
            ),
            ("leaving", "1 while the process stops.", lambda: gateway.leaving),
        )
        for name, text, read in gauges:
            self.catalogue.callback_gauge(f"fescuedrum_gateway_{name}", text, read)

    def count_request(self, service, result, seconds):
        """Count a request that ended; service is empty if it is not known."""
        self.requests.labels(service or NO_SERVICE, result).inc()
        if service:
            self.seconds.labels(service).observe(seconds)

    def count_refusal(self, code):
        """Count a request that the gateway refused."""
        self.refusals.labels(code).inc()

    def count_endpoint_end(self, service):
        """Count an endpoint at whose address nothing listens any more."""
        self.endpoint_ends.labels(service).inc()

    def count_deadline_passed(self, service):
        """Count a request whose deadline passed while an endpoint had it."""
        self.deadlines_passed.labels(service).inc()

    def count_attempt(self, result):
        """Count an attempt to send a request to an endpoint."""
        self.attempts.labels(result).inc()

    def count_malformed(self, rule):
        """Count an answer that breaks a rule."""
        self.malformed_answers.labels(rule).inc()
