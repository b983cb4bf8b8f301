"""Check who follows the platform's store while others rest."""

from fescuedrum.decisions.following import STORE_READERS, must_read_store

HOSTS = [f"10.{zone}.0.{number}" for zone in range(1, 4) for number in range(1, 14)]


def readers(alive, answered):
    """Return who reads once all have heard whom the store answers."""
    return {
        host
        for host in alive
        if must_read_store(host, [each for each in answered if each != host])
    }


def test_as_many_read_as_are_meant_to():
    assert len(readers(HOSTS, HOSTS)) == STORE_READERS


def test_all_read_until_the_store_answers_enough():
    assert readers(HOSTS, []) == set(HOSTS)


def test_others_step_in_for_readers_that_are_turned_away():
    """A zone taken out gets work for as long as the store turns its readers away.

    The store answers everyone but the processes that read; the others rest, and
    nobody learns of a change.
    """
    turned_away = readers(HOSTS, HOSTS)
    answered = [host for host in HOSTS if host not in turned_away]
    stepped_in = readers(answered, answered)
    assert len(stepped_in) == STORE_READERS
    assert not stepped_in & turned_away


def test_each_side_of_a_cut_has_readers():
    for zone in ("10.1.", "10.2.", "10.3."):
        side = [host for host in HOSTS if host.startswith(zone)]
        assert len(readers(side, side)) == STORE_READERS


def test_readers_are_of_several_zones():
    assert len({host[:5] for host in readers(HOSTS, HOSTS)}) > 1
