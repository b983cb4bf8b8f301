"""Run short soaks, and check that their checker finds violations."""

import asyncio
import functools
import random
from itertools import pairwise
from types import SimpleNamespace

import pytest
from soak.balancer import Balancer
from soak.callers import Ending, Record
from soak.conditions import (
    DEMAND,
    FAULTS,
    GROUPS,
    PARTS,
    REPEATS,
    STOPS,
    RequestKind,
    Streams,
)
from soak.demand import ORGANISATIONS
from soak.demand_callers import DemandRecord
from soak.demand_judge import DemandChecker
from soak.endpoints import Arrival, RateLimit, Run
from soak.faults import GatewayStopped, HistoryLost, PathFault, StoreFault, draw_fault
from soak.judge import RECONNECT_SECONDS, GuaranteeChecker, Reading
from soak.parts import PartArrival, PartEnd, PartsRecord
from soak.parts_judge import PartsChecker
from soak.planned import draw_work
from soak.processes import tells_of_exception
from soak.ranks import RankGroup
from soak.repeats import RepeatScenario
from soak.repeats_judge import RepeatsChecker
from soak.run import play
from soak.site import Span
from soak.store import StoreMode

SHORT_SECONDS = 8.0
SEED = 1
USUAL_SECONDS = 20.0
# One group is down and then the other slow, beside an excess and an organisation that
# repeats at once.
DEMAND_SEED = 16
DEMAND_SECONDS = 17.0
# Seeds that violated a guarantee, each with its cause.
REGRESSIONS = {
    820043039: "a reload signal ended a gateway that was still loading",
}


# The same for runs with planned work only.
STOPS_REGRESSIONS = {
    488366453: "a stopping gateway took streams that lasted longer than its time left",
}
# Two parts that are not the first ones; one that is, with answers without a length.
PARTS_SEEDS = (1, 2)
# One stream, one that breaks off late, one request without a prompt, six streams, one
# stream behind proxies.
REPEATS_SEEDS = (0, 1, 2, 5, 8)
# Endpoints end one after the other, and several at once, whatever is sent to them.
HARMLESS_SEEDS = (6, 7)
GATEWAYS = [f"gateway-{number}" for number in range(4)]
# Shortest time from the signal to the next start of a gateway.
STOP_SECONDS = 3.1


def build_record(kind=RequestKind.ONCE, ending=Ending.ANSWERED, **changes):
    values = {"request_id": "r-1", "gateway": "g-1", "began": 10.0, "ended": 10.5}
    return Record(kind=kind, ending=ending, **values | changes)


def build_run(**changes):
    values = {"request_id": "r-1", "endpoint": "i-1", "zone": "zone-1", "at": 10.1}
    return Run(**values | changes)


def find_violations(
    records=(),
    runs=(),
    readings=(),
    rate_limits=(),
    arrivals=(),
    build_checker=GuaranteeChecker,
    **site,
):
    """Return the findings on a site with only the given irregularities."""
    quiet = {
        "journal": SimpleNamespace(
            runs=list(runs), rate_limits=list(rate_limits), arrivals=list(arrivals)
        ),
        "findings": [],
        "disturbances": [],
        "stops": [],
        "zone_spans": [],
        "changes": [],
        "left": {},
    }
    return build_checker(
        SimpleNamespace(**quiet | site), list(records), readings
    ).findings()


def build_demand(count, refused=0, **changes):
    """Return records of requests over 10 s, the first of which were refused."""
    records = []
    for number in range(count):
        began = 10.0 + 10.0 * number / count
        values = {"route": "usual", "organisation": ORGANISATIONS[number % 2]}
        values |= {"request_id": f"{number} {changes}", "free_groups": ["a"]}
        values |= {"began": began, "first_at": began + 0.1, "ended": began + 0.5}
        values |= {"gateway": GATEWAYS[number % 2], "is_final": True}
        values["ending"] = Ending.NOT_RUN if number < refused else Ending.ANSWERED
        record = DemandRecord(kind=RequestKind.STREAM, **values | changes)
        record.sendings.append(record)
        records.append(record)
    return records


def build_parts_records(count, **changes):
    """Return records of answered first sendings."""
    values = {"kind": RequestKind.STREAM, "gateway": "g-1", "ended": 20.0}
    values |= {"ending": Ending.ANSWERED, "detail": "status 200"} | changes
    name = "crashing" if "crashing_part" in changes else "sound"
    return [
        PartsRecord(f"{name}-{changes['began']}-{number}", **values)
        for number in range(count)
    ]


def find_parts_violations(*parts, **site):
    """Return the findings about prompts at which endpoints end."""
    records = [record for part in parts for record in part]
    return find_violations(records, build_checker=PartsChecker, **site)


def find_demand_violations(*parts, **site):
    """Return the findings on a site with an endpoint in group a and none in b."""
    records = [record for part in parts for record in part]
    a, b = (SimpleNamespace(name=name, members=[]) for name in "ab")
    endpoint = SimpleNamespace(name="i-1", ranks=a)
    groups = {"rank_groups": [a, b], "endpoint": lambda _: endpoint, "down_spans": []}
    ran = [each for each in records if each.ending is Ending.ANSWERED]
    return find_violations(
        records,
        [build_run(request_id=each.request_id, at=each.began) for each in ran],
        arrivals=[Arrival(each.request_id, "i-1", each.began) for each in ran],
        build_checker=DemandChecker,
        **groups | site,
    )


def build_site():
    named = [SimpleNamespace(name=name) for name in GATEWAYS]
    endpoints = [SimpleNamespace(name=f"i-{number}") for number in range(1, 7)]
    return SimpleNamespace(gateways=named, endpoints=endpoints)


def test_a_seed_keeps_its_faults():
    """Guard regression seeds: with other faults they would pass without a fix."""
    rng, site = random.Random(820043039), build_site()
    assert [draw_fault(rng, site) for _ in range(4)] == [
        PathFault("gateway-0", "partition", 1.0940369505030207),
        StoreFault(StoreMode.SILENT, 2.734835484297725),
        HistoryLost(),
        GatewayStopped("gateway-1"),
    ]


def build_rate_limited(count, spacing, gateway="g-1"):
    """Return a limit of one request per second and the records of its arrivals."""
    arrivals = [(20.0 + spacing * number, f"n-{number}") for number in range(count)]
    rate_limit = RateLimit("i-1", 1.0, 10.0, arrivals=[(10.0, "n-0"), *arrivals])
    records = [
        build_record(request_id=request_id, gateway=gateway)
        for _, request_id in arrivals
    ]
    return rate_limit, records


def test_the_checker_finds_an_endpoint_above_its_rate_limit():
    rate_limit, records = build_rate_limited(12, 0.1)
    (finding,) = find_violations(records, rate_limits=[rate_limit])
    assert "got 12 in 4.0 s" in finding


def test_the_checker_accepts_requests_within_the_rate_limit():
    rate_limit, records = build_rate_limited(11, 0.1)
    assert find_violations(records, rate_limits=[rate_limit]) == []
    rate_limit, records = build_rate_limited(40, 0.5)
    assert find_violations(records, rate_limits=[rate_limit]) == []


def test_the_checker_ignores_rates_of_stopped_or_paused_gateways():
    rate_limit, records = build_rate_limited(12, 0.1)
    for spans in ("stops", "disturbances"):
        assert (
            find_violations(
                records, rate_limits=[rate_limit], **{spans: [Span("g-1", 15.0, 19.0)]}
            )
            == []
        )
    assert find_violations(
        records, rate_limits=[rate_limit], stops=[Span("g-2", 15.0, 19.0)]
    )


def build_arrivals(asked, *times, **changes):
    """Return the arrivals at an endpoint and their records; the first asks."""
    arrivals = [Arrival("n-0", "i-1", 10.0, **asked)]
    arrivals += [Arrival(f"n-{at}", "i-1", at) for at in times]
    records = [
        build_record(
            request_id=each.request_id, began=each.at, ended=each.at, **changes
        )
        for each in arrivals
    ]
    return {"arrivals": arrivals, "records": records}


def test_the_checker_finds_a_third_request_in_an_endpoints_rest():
    asked = {"rest": 3.0}
    assert find_violations(**build_arrivals(asked, 10.4, 10.6, 12.0, 13.0)) == []
    third = build_arrivals(asked, 10.6, 12.0, 12.9)
    assert "got 3 requests" in find_violations(**third)[0]
    spans = [Span("g-1", 11.0, 11.1)]
    assert find_violations(**third, disturbances=spans) == []


def test_the_checker_finds_requests_after_an_endpoints_leave():
    asked = {"leaving": True}
    assert find_violations(**build_arrivals(asked, 11.9)) == []
    late = build_arrivals(asked, 12.1)
    assert "which was leaving" in find_violations(**late)[0]
    assert find_violations(**late, stops=[Span("g-1", 11.0, 11.1)]) == []


def test_streams_have_the_length_that_their_kind_of_run_gives_them():
    assert {Streams(1, FAULTS).event_count(f"c1-{n}") for n in range(50)} == {12}
    counts = [Streams(1, STOPS).event_count(f"c1-{number}") for number in range(500)]
    assert (min(counts), max(counts)) == (3, 40)
    assert counts == [Streams(1, STOPS).event_count(f"c1-{n}") for n in range(500)]
    assert counts != [Streams(2, STOPS).event_count(f"c1-{n}") for n in range(500)]


def test_planned_stops_overlap_and_come_in_turn_and_at_once():
    in_turn = at_once = 0
    for seed in range(20):
        work = draw_work(random.Random(seed), GATEWAYS, STOPS.seconds)
        stops = [(at, each) for at, each in work if isinstance(each, GatewayStopped)]
        assert len(stops) >= 2
        steps = [after[0] - at[0] for at, after in pairwise(stops)]
        in_turn += sum(0 < step < STOP_SECONDS for step in steps)
        at_once += steps.count(0)
        assert [at for at, _ in work] == sorted(at for at, _ in work)
    assert in_turn > 20
    assert at_once > 20


def test_the_balancer_opens_connections_where_a_recent_probe_found_a_gateway_ready():
    first, second = SimpleNamespace(name="g-1"), SimpleNamespace(name="g-2")
    balancer, rng = Balancer([first, second]), random.Random(1)

    def chosen(*probe_results):
        for gateway, answers in zip((first, second), probe_results, strict=True):
            balancer.probe_results[gateway.name].extend(answers)
        return {balancer.choose(rng).name for _ in range(50)}

    assert chosen([True, False], [True, True]) == {"g-1", "g-2"}
    assert chosen([False], [True]) == {"g-2"}
    assert chosen([False], [False, False]) == {"g-1", "g-2"}
    assert chosen([True], [False]) == {"g-1"}


def test_a_correct_request_gives_no_finding():
    assert find_violations([build_record()], [build_run()]) == []


def test_the_checker_finds_requests_that_violate_a_guarantee():
    twice = [build_run(), build_run(endpoint="i-2")]
    assert find_violations([build_record()], twice)
    assert find_violations([build_record(ending=Ending.NOT_RUN)], [build_run()])
    assert find_violations([build_record(ending=Ending.WRONG)], [build_run()])
    assert find_violations([build_record(ending=Ending.DENIED)])
    assert find_violations(
        [build_record(RequestKind.AGAIN)], [*twice, build_run(endpoint="i-3")]
    )
    assert find_violations(runs=[build_run()])


def test_a_cut_is_explained_by_a_fault_and_not_by_a_planned_stop():
    record, run = build_record(ending=Ending.CUT), build_run()
    fault = Span("i-1", 10.0, 10.2)
    stop = Span("g-1", 9.0, 12.0)
    assert find_violations([record], [run], disturbances=[fault]) == []
    assert find_violations([record], [run], stops=[stop])
    unread = build_record(ending=Ending.CUT, ended=10.01)
    assert find_violations([unread], stops=[stop]) == []
    assert find_violations([unread])


def test_the_checker_finds_runs_at_draining_endpoints_and_in_zones_out():
    record, run = build_record(began=20.0, ended=20.5), build_run(at=20.1)
    assert find_violations([record], [run], left={"i-1": 15.0})
    assert find_violations([record], [run], left={"i-1": 19.0}) == []
    assert find_violations([record], [run], zone_spans=[Span("zone-1", 12.0, 30.0)])
    assert (
        find_violations([record], [run], zone_spans=[Span("zone-2", 12.0, 30.0)]) == []
    )
    cut_off = Span("g-1", 10.0, 20.0 - RECONNECT_SECONDS + 1)
    assert (
        find_violations([record], [run], left={"i-1": 15.0}, disturbances=[cut_off])
        == []
    )


def test_the_checker_finds_a_configuration_that_is_late_or_goes_back():
    changes = [(1.0, 1), (10.0, 2)]
    late = Reading("g-1", 1, 1, 13.0)
    assert find_violations(readings=[late], changes=changes)
    assert find_violations(readings=[Reading("g-1", 1, 1, 11.0)], changes=changes) == []
    back = [Reading("g-1", 1, 2, 10.5), Reading("g-1", 1, 1, 11.0)]
    assert find_violations(readings=back, changes=changes)
    again = [Reading("g-1", 1, 2, 10.5), Reading("g-1", 2, 1, 11.0)]
    assert find_violations(readings=again, changes=changes) == []


def test_the_checker_finds_an_urgent_kind_that_is_served_less_often():
    later = build_demand(100, route="later")
    refused = build_demand(100, refused=6, route="urgent")
    (finding,) = find_demand_violations(refused, later)
    assert "0.940 of urgent" in finding
    allowed = build_demand(100, refused=5, route="urgent")
    assert find_demand_violations(allowed, later) == []
    assert find_demand_violations(refused[:99], later) == []
    touched = [Span(gateway, 0.0, 30.0) for gateway in GATEWAYS]
    assert find_demand_violations(refused, later, disturbances=touched) == []


def test_the_checker_finds_a_starving_organisation_or_kind():
    many = build_demand(500)
    for changes in ({"organisation": ORGANISATIONS[9]}, {"route": "later"}):
        allowed = build_demand(50, refused=38, **changes)
        assert find_demand_violations(many, allowed) == []
        starved = build_demand(50, refused=40, **changes)
        (finding,) = find_demand_violations(many, starved)
        assert "0.200 of 50" in finding


def test_the_checker_finds_refusals_while_the_other_group_has_free_places():
    down = {"down_spans": [Span("b", 8.0, 20.0)]}
    (finding,) = find_demand_violations(build_demand(100, refused=16), **down)
    assert "16 of 30 refused" in finding
    assert find_demand_violations(build_demand(100, refused=15), **down) == []
    other_fault = {"disturbances": [Span("a", 0.0, 11.0)]}
    brief = {"down_spans": [Span("b", 8.0, 13.0)]}
    refused = build_demand(100, refused=30)
    assert find_demand_violations(refused, **brief, **other_fault)
    for changes in ({"free_groups": []}, {"is_excess": True}):
        explained = build_demand(100, refused=16, **changes)
        assert find_demand_violations(explained, **down) == []


def test_the_checker_finds_requests_that_a_slow_caller_makes_late():
    slow = build_demand(1, read_seconds=0.1, ended=30.0)
    records = build_demand(300)
    assert find_demand_violations(slow, records) == []
    for record in records[::12]:
        record.longest_pause = 0.2
    (finding,) = find_demand_violations(slow, records)
    assert "late by slow callers" in finding


def test_the_checker_finds_a_slow_caller_without_an_answer_or_a_break():
    slow = {"read_seconds": 0.1, "ending": Ending.CUT}
    assert find_demand_violations(build_demand(1, **slow)) == []
    hanging = build_demand(1, detail=repr(TimeoutError()), **slow)
    (finding,) = find_demand_violations(hanging)
    assert "neither its whole answer nor a break" in finding


def test_the_checker_finds_unhandled_exceptions_in_a_log():
    assert not tells_of_exception('{"message": "request refused", "level": "info"}')
    assert tells_of_exception('{"message": "Exception in callback", "exception": "x"}')
    assert tells_of_exception("Traceback (most recent call last):")


@pytest.mark.parametrize("seed", REGRESSIONS)
async def test_regression_seeds_have_no_findings(seed, tmp_path):
    result = await asyncio.wait_for(play(seed, USUAL_SECONDS, tmp_path), 100)
    assert result.findings == []


@pytest.mark.parametrize("seed", STOPS_REGRESSIONS)
async def test_regression_seeds_of_planned_stops_have_no_findings(seed, tmp_path):
    """Guard against a stopping gateway that closes a stream before its end."""
    run = play(seed, STOPS.seconds, tmp_path, STOPS)
    result = await asyncio.wait_for(run, 100)
    assert result.findings == []


async def test_a_short_run_of_planned_stops_truncates_no_response(tmp_path):
    run = play(SEED, SHORT_SECONDS, tmp_path, STOPS)
    result = await asyncio.wait_for(run, 60)
    assert result.findings == []
    assert result.endings["answered"] > 100
    assert result.while_stopping["answered"] > 10


async def test_a_short_run_of_random_faults_violates_no_guarantee(tmp_path):
    result = await asyncio.wait_for(play(SEED, SHORT_SECONDS, tmp_path), 60)
    assert result.findings == []
    assert result.endings["answered"] > 100


async def test_a_group_of_ranks_goes_on_although_its_leader_is_suspended():
    result = await play(SEED, SHORT_SECONDS, conditions=GROUPS)
    assert result.findings == []
    assert result.endings["answered"] > 0


async def test_a_short_run_of_competing_demand_violates_no_guarantee(tmp_path):
    """Guard against kinds that are served out of order and refusals beside room."""
    run = play(DEMAND_SEED, DEMAND_SECONDS, tmp_path, DEMAND)
    result = await asyncio.wait_for(run, 60)
    assert result.findings == []
    assert result.endings["answered"] > 100


@pytest.mark.parametrize("seed", PARTS_SEEDS)
async def test_a_part_of_a_prompt_does_not_end_one_endpoint_after_the_other(
    seed, tmp_path
):
    """Guard against sending more requests with a part at which endpoints end."""
    run = play(seed, PARTS.seconds, tmp_path, PARTS)
    result = await asyncio.wait_for(run, 80)
    assert result.findings == []
    assert result.endings["answered"] > 100


@pytest.mark.parametrize("seed", REPEATS_SEEDS)
async def test_a_repeated_request_does_not_end_one_endpoint_after_the_other(
    seed, tmp_path
):
    """Guard against repeats that gateways can't tell from new requests."""
    run = play(seed, REPEATS.seconds, tmp_path, REPEATS)
    result = await asyncio.wait_for(run, 80)
    assert result.findings == [], "\n".join(result.faults)


@pytest.mark.parametrize("seed", HARMLESS_SEEDS)
async def test_a_release_and_a_rack_make_gateways_refuse_no_request(seed, tmp_path):
    """Guard against blaming requests that were only at the endpoints that ended."""
    run = play(seed, REPEATS.seconds, tmp_path, REPEATS)
    result = await asyncio.wait_for(run, 80)
    assert result.findings == [], "\n".join(result.faults)


def test_the_checker_finds_requests_that_are_sent_after_the_third_end():
    ends = [PartEnd(f"i-{number}", "p", 10.0 + number) for number in range(3)]
    site = {"part_ends": ends, "crashing_span": Span("requests", 9.0, 30.0)}
    site["scenario"] = RepeatScenario.STREAM
    late = [PartArrival("r", "p", 12.1)]
    violations = functools.partial(find_violations, build_checker=RepeatsChecker)
    answered = build_parts_records(20, began=20.0)
    (finding,) = violations(answered, part_arrivals=late, **site)
    assert "p, under which 3 endpoints had ended, was sent to endpoints 1 " in finding
    allowed = [PartArrival("r", "p", 12.0)]
    assert not violations(answered, part_arrivals=allowed, **site)
    for record in answered[:2]:
        record.ending, record.refusal = Ending.NOT_RUN, "Endpoints ended at it."
    lost, blamed = violations(answered, part_arrivals=allowed, **site)
    assert "0.900 of the sound requests were answered" in lost
    assert "2 sound requests were refused" in blamed
    site["disturbances"] = [Span("g-2", 20.0, 20.5)]
    for record in answered[:2]:
        record.gateway = "g-2"
    assert not violations(answered, part_arrivals=allowed, **site)


def test_the_checker_finds_requests_with_a_part_at_which_endpoints_end():
    ends = [PartEnd(f"i-{number}", "p", 10.0 + number) for number in range(5)]
    crashing = build_parts_records(4, began=18.0, crashing_part="p")
    late = [PartArrival(each.request_id, "p", 17.1) for each in crashing]
    site = {"part_ends": ends, "crashing_span": Span("prompts", 9.0, 30.0)}
    (finding,) = find_parts_violations(crashing, part_arrivals=late, **site)
    assert "4 requests with p" in finding
    for allowed in (late[:3], [PartArrival(late[0].request_id, "p", 17.0)] * 4):
        assert not find_parts_violations(crashing, part_arrivals=allowed, **site)
    site["part_ends"] = ends[:4]
    assert not find_parts_violations(crashing, part_arrivals=late, **site)


def test_the_checker_finds_sound_requests_that_do_not_begin():
    calm = build_parts_records(20, began=5.0)
    later = build_parts_records(20, began=17.0)
    site = {"part_ends": [PartEnd("i-1", "p", 10.0)], "part_arrivals": []}
    site["crashing_span"] = Span("prompts", 9.0, 30.0)
    assert not find_parts_violations(calm, later, **site)
    for record in later[:11]:
        record.ending, record.detail = Ending.NOT_RUN, "status 503"
    (finding,) = find_parts_violations(calm, later, **site)
    assert "0.450 of the sound requests" in finding


def test_a_pass_with_two_maps_is_found():
    ranks = RankGroup(SEED)
    assert ranks.findings() == []
    ranks.group.ranks[1].map_version = 5
    ranks.group.begin_pass()
    assert ranks.findings() == ["pass 1 of the group began with two maps"]
