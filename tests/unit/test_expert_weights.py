"""Check the comparison of sources for the weights of a lost rank."""

from fescuedrum_bench.experiments import expert_weights


def test_plain_copies_read_less_than_a_code_in_the_same_memory():
    for ranks in expert_weights.GROUPS:
        result = expert_weights.recover(ranks, seed=1)
        assert 0 < result.from_peers <= 1
        assert result.copied_seconds < result.coded_seconds < result.store_seconds
        assert result.peer_seconds < result.store_seconds
