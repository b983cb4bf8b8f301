"""Compute the cost and size of a request, before it runs and from its answer.

The cost is what an organisation is charged: prompt tokens and generated tokens. The
size is what the run time is proportional to. An engine reads a whole prompt at once but
generates one token a step, so a prompt token takes about a hundredth of the time of a
generated one.
"""

import re

# The usage object is at the end of an answer. Searching more of it would cost more
# time than an exact cost is worth.
USAGE_SEARCH_BYTES = 512
BYTES_PER_TOKEN = 4
PROMPT_TOKEN_SIZE = 0.01
COMPLETION_TOKENS = re.compile(rb'"completion_tokens"\s*:\s*(\d+)')
EVENT = b"data: "
DONE_EVENT = b"data: [DONE]"
COMPLETIONS_SUFFIX = "completions"


def estimate_prompt_tokens(request):
    """Return the estimated number of prompt tokens from the size of the body."""
    return len(request.body or b"") / BYTES_PER_TOKEN


def compute_size(request, generated):
    """Return the size of a request that generates so many tokens."""
    return max(1.0, generated + estimate_prompt_tokens(request) * PROMPT_TOKEN_SIZE)


def estimate_size(request):
    """Return the size that the entry's estimate of the cost implies."""
    cost = request.cost or 1.0
    if not request.path.endswith(COMPLETIONS_SUFFIX):
        return cost
    return compute_size(request, max(0.0, cost - estimate_prompt_tokens(request)))


def measure_cost(request, answer, work):
    """Return (cost, size) from an answer, or the estimates where it has no usage."""
    if not request.path.endswith(COMPLETIONS_SUFFIX):
        return work.cost, work.size
    generated = count_generated_tokens(bytes(answer.body))
    if generated is None:
        return work.cost, work.size
    cost = max(1.0, estimate_prompt_tokens(request) + generated)
    return cost, compute_size(request, generated)


def count_generated_tokens(body):
    """Return the number of generated tokens, or None if the body doesn't show it.

    Without a usage object, each event of a stream counts as one token.
    """
    if found := COMPLETION_TOKENS.search(body[-USAGE_SEARCH_BYTES:]):
        return int(found.group(1))
    if body.startswith(EVENT):
        return body.count(EVENT) - body.count(DONE_EVENT)
    return None
