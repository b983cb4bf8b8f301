"""Check that the agent's gate holds back work from a cold endpoint."""

from fescuedrum_agent.process.gate import Gate


def serve(gate, count):
    for _ in range(count):
        gate.enter()
        gate.exit(answered=True)


def test_a_cold_endpoint_stays_at_its_floor_until_it_has_answered_enough():
    gate = Gate(cold_limit=2, warm_limit=8, warm_after=3)
    serve(gate, 2)
    assert gate.limit == 2
    serve(gate, 10)
    assert gate.limit == 8


def test_a_sign_of_coldness_takes_the_limit_back_to_the_floor():
    gate = Gate(cold_limit=2, warm_limit=8, warm_after=3)
    serve(gate, 10)
    gate.collapse()
    gate.enter()
    gate.enter()
    assert gate.refusal() == "full"


def test_a_leaving_endpoint_and_a_zone_taken_out_get_no_new_work():
    gate = Gate(cold_limit=2, warm_limit=8, warm_after=3)
    gate.zone_out = True
    assert gate.refusal() == "zone-out"
    gate.leaving = True
    assert gate.refusal() == "leaving"
