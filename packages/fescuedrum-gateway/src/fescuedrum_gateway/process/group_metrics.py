"""Declare the metrics of groups of ranks."""

from fescuedrum.metrics import SERVICE, Label, MetricCatalogue

GROUP = Label("group", "1, 2, ...: the groups of a service in order of name")


class GroupMetrics:
    """Hold the metrics of groups; the gauges show services with several groups."""

    __slots__ = ("groups", "out", "pass_ratio", "probes")

    def __init__(self, catalogue: MetricCatalogue) -> None:
        self.groups = catalogue.gauge(
            "fescuedrum_gateway_groups",
            "Groups known of a service that has several.",
            SERVICE,
        )
        self.out = catalogue.gauge(
            "fescuedrum_gateway_groups_out",
            "Groups that get no requests from this gateway, except probes.",
            SERVICE,
        )
        self.probes = catalogue.counter(
            "fescuedrum_gateway_group_probes_total",
            "Requests sent to a group to find out whether it answers again.",
            SERVICE,
        )
        self.pass_ratio = catalogue.gauge(
            "fescuedrum_gateway_group_pass_ratio",
            "Length of a group's passes over the pause that callers allow; 0 if "
            "unknown.",
            SERVICE,
            GROUP,
        )

    def count_probe(self, service: str) -> None:
        """Count a request that is sent as a probe."""
        self.probes.labels(service).inc()

    def refresh(self, directory) -> None:
        """Set the gauges from an EndpointDirectory."""
        for gauge in (self.groups, self.out, self.pass_ratio):
            gauge.clear()
        for service in directory.groups.membership.split_services():
            states = directory.group_states(service)
            self.groups.labels(service).set(len(states))
            out = sum(state.breaker.is_out for state in states.values())
            self.out.labels(service).set(out)
            for number, name in enumerate(states, 1):
                ratio = directory.pass_ratio(service, name)
                self.pass_ratio.labels(service, str(number)).set(ratio)
