"""Check how a process that was told to stop treats its requests."""

from fescuedrum.decisions.stopping import StopPlan


def test_requests_are_taken_while_an_answer_still_fits():
    """A planned stop cuts a stream in the middle of its answer.

    Most processes of a zone stop at the same time, so that the balancer goes on sending
    to all of them. One takes a stream six seconds after its signal and ends a second
    later.
    """
    plan = StopPlan(now=100.0, stop_seconds=8.0)
    assert plan.takes(102.0)
    assert plan.takes(104.3)
    assert not plan.takes(106.6)


def test_a_process_waits_for_the_balancer_and_for_what_runs():
    plan = StopPlan(now=0.0, stop_seconds=8.0)
    assert not plan.may_end(1.0, running=0)
    plan.arrived(2.5)
    assert not plan.may_end(2.7, running=0)
    assert plan.may_end(3.1, running=0)
    assert not plan.may_end(3.1, running=1)


def test_a_process_that_takes_no_more_does_not_wait_for_silence():
    plan = StopPlan(now=0.0, stop_seconds=8.0)
    plan.arrived(4.9)
    assert plan.may_end(5.0, running=0)
    assert not plan.may_end(5.0, running=2)
    assert plan.may_end(7.5, running=2)


def test_a_short_stop_ends_in_time():
    plan = StopPlan(now=0.0, stop_seconds=1.0)
    assert not plan.takes(0.0)
    assert plan.may_end(0.5, running=3)
