"""Compute the weights of a service's queue from weights and sharing rules.

Load pattern: a service is full and several organisations want more of it. With weights
alone, each new organisation lowers the share of all others: one that was promised a
fifth of a service gets less with each organisation that joins. A rule guarantees a
minimum share to some organisations together, or limits their share.

Fair queueing gives each waiting organisation a share in proportion to its weight. So
the weights of organisations that are promised a share s are scaled until they make up
s of the total, and likewise for a maximum; among themselves they keep their
proportions. When no others wait, there is nothing to share, and organisations with a
maximum share use the idle capacity.

Raising some organisations lowers the others, possibly below their own rules; a few
rounds converge, since the promised shares of a service add up to at most 1.
"""

CONVERGENCE_ROUNDS = 20


def effective_weights(document, service):
    """Return each organisation's weight in the queues of one service."""
    weights = {each.name: each.weight for each in document.organisations}
    rules = [rule for rule in document.sharing_rules if rule.service == service]
    for _ in range(CONVERGENCE_ROUNDS):
        for rule in rules:
            apply_rule(rule, weights)
    return weights


def apply_rule(rule, weights):
    """Scale the weights of a rule's organisations to bring their share into bounds."""
    members = [name for name in rule.organisations if name in weights]
    own_weight = sum(weights[name] for name in members)
    other_weight = sum(weights.values()) - own_weight
    # Without members, or without other organisations, there is nothing to share.
    if not own_weight or not other_weight:
        return
    share = own_weight / (own_weight + other_weight)
    target_share = min(max(share, rule.minimum_share), rule.maximum_share)
    if target_share == share or not 0 < target_share < 1:
        return
    factor = target_share * other_weight / (1 - target_share) / own_weight
    for name in members:
        weights[name] *= factor
