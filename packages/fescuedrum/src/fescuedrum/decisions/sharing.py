"""Turn weights and sharing rules into the weights that a service's queue uses.

Load pattern: a service is full and several organisations want more. Weights alone
dilute with every newcomer: whoever was promised a fifth of a service gets less with
each organisation that joins. A rule keeps a share for some together, or bounds it.

Fair queueing gives each that waits its weight's part. So a group that is promised a
share s gets its weights scaled until they are s of all, and one that is bounded
likewise; within the group they keep their proportion. With nobody else waiting there
is nothing to share, and a bounded group takes what is free.

Raising one group takes from the others, which may push another below its own rule; a
few rounds settle this, since promises of a service add up to 1 at most.
"""

ROUNDS = 20


def effective_weights(document, service):
    """Return each organisation's weight in the queues of one service."""
    weights = {each.name: each.weight for each in document.organisations}
    rules = [rule for rule in document.sharing_rules if rule.service == service]
    for _ in range(ROUNDS):
        for rule in rules:
            apply_rule(rule, weights)
    return weights


def apply_rule(rule, weights):
    inside = [name for name in rule.organisations if name in weights]
    part = sum(weights[name] for name in inside)
    rest = sum(weights.values()) - part
    # Alone, or without members, a rule has nothing to share out.
    if not part or not rest:
        return
    share = part / (part + rest)
    wanted = min(max(share, rule.minimum_share), rule.maximum_share)
    if wanted == share or not 0 < wanted < 1:
        return
    factor = wanted * rest / (1 - wanted) / part
    for name in inside:
        weights[name] *= factor
