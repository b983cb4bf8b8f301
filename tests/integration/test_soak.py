"""Play the soak for a short while, and check that its judge can find faults."""

import asyncio
from types import SimpleNamespace

import pytest
from soak.callers import Ending, Kind, Record
from soak.endpoints import Run
from soak.judge import CONTACT_SECONDS, Judge, Reading
from soak.run import play
from soak.site import Span

SHORT_SECONDS = 8.0
SEED = 1
USUAL_SECONDS = 20.0
# Seeds that broke a promise, each with its cause.
REGRESSIONS = {
    820043039: "a reload signal ended a gateway that was still loading",
}


def build_record(kind=Kind.ONCE, ending=Ending.ANSWERED, **changes):
    values = {"request_id": "r-1", "gateway": "g-1", "began": 10.0, "ended": 10.5}
    return Record(kind=kind, ending=ending, **values | changes)


def build_run(**changes):
    values = {"request_id": "r-1", "endpoint": "i-1", "zone": "zone-1", "at": 10.1}
    return Run(**values | changes)


def judge(records=(), runs=(), readings=(), **site):
    """Return the findings on a site that was calm but for what is given."""
    quiet = {
        "journal": SimpleNamespace(runs=list(runs)),
        "findings": [],
        "disturbances": [],
        "stops": [],
        "zone_spans": [],
        "changes": [],
        "left": {},
    }
    return Judge(SimpleNamespace(**quiet | site), list(records), readings).findings()


def test_what_is_right_is_no_finding():
    assert judge([build_record()], [build_run()]) == []


def test_the_judge_sees_requests_that_broke_a_promise():
    twice = [build_run(), build_run(endpoint="i-2")]
    assert judge([build_record()], twice)
    assert judge([build_record(ending=Ending.NOT_RUN)], [build_run()])
    assert judge([build_record(ending=Ending.WRONG)], [build_run()])
    assert judge([build_record(ending=Ending.DENIED)])
    assert judge([build_record(Kind.AGAIN)], [*twice, build_run(endpoint="i-3")])
    assert judge(runs=[build_run()])


def test_a_cut_is_explained_by_a_fault_and_not_by_a_planned_stop():
    record, run = build_record(ending=Ending.CUT), build_run()
    fault = Span("i-1", 10.0, 10.2)
    stop = Span("g-1", 9.0, 12.0)
    assert judge([record], [run], disturbances=[fault]) == []
    assert judge([record], [run], stops=[stop])
    unread = build_record(ending=Ending.CUT, ended=10.01)
    assert judge([unread], stops=[stop]) == []
    assert judge([unread])


def test_the_judge_sees_work_where_none_may_be():
    record, run = build_record(began=20.0, ended=20.5), build_run(at=20.1)
    assert judge([record], [run], left={"i-1": 15.0})
    assert judge([record], [run], left={"i-1": 19.0}) == []
    assert judge([record], [run], zone_spans=[Span("zone-1", 12.0, 30.0)])
    assert judge([record], [run], zone_spans=[Span("zone-2", 12.0, 30.0)]) == []
    cut_off = Span("g-1", 10.0, 20.0 - CONTACT_SECONDS + 1)
    assert judge([record], [run], left={"i-1": 15.0}, disturbances=[cut_off]) == []


def test_the_judge_sees_a_configuration_that_is_late_or_goes_back():
    changes = [(1.0, 1), (10.0, 2)]
    late = Reading("g-1", 1, 1, 13.0)
    assert judge(readings=[late], changes=changes)
    assert judge(readings=[Reading("g-1", 1, 1, 11.0)], changes=changes) == []
    back = [Reading("g-1", 1, 2, 10.5), Reading("g-1", 1, 1, 11.0)]
    assert judge(readings=back, changes=changes)
    again = [Reading("g-1", 1, 2, 10.5), Reading("g-1", 2, 1, 11.0)]
    assert judge(readings=again, changes=changes) == []


@pytest.mark.parametrize("seed", REGRESSIONS)
async def test_seeds_that_broke_a_promise_do_so_no_more(seed, tmp_path):
    result = await asyncio.wait_for(play(seed, USUAL_SECONDS, tmp_path), 100)
    assert result.findings == []


async def test_a_short_run_of_random_faults_breaks_no_promise(tmp_path):
    result = await asyncio.wait_for(play(SEED, SHORT_SECONDS, tmp_path), 60)
    assert result.findings == []
    assert result.endings["answered"] > 100
