"""Work out what a request costs, before it runs and from its answer.

Cost is what an organisation is charged: tokens of the prompt and generated ones. Size
is what the time of a run is proportional to. An engine reads a prompt at once but
generates a token at each step, so a token read takes about a hundredth of one written.
"""

import re

# Usage stands at the end of an answer; a longer search would cost more than it tells.
TAIL_BYTES = 512
BYTES_PER_TOKEN = 4
READING = 0.01
COMPLETION_TOKENS = re.compile(rb'"completion_tokens"\s*:\s*(\d+)')
EVENT = b"data: "
DONE_EVENT = b"data: [DONE]"
COMPLETIONS = "completions"


def prompt_tokens(request):
    return len(request.body or b"") / BYTES_PER_TOKEN


def size_of(request, generated):
    return max(1.0, generated + prompt_tokens(request) * READING)


def estimated_size(request):
    """Return the size that the entry's estimate of the cost implies."""
    cost = request.cost or 1.0
    if not request.path.endswith(COMPLETIONS):
        return cost
    return size_of(request, max(0.0, cost - prompt_tokens(request)))


def true_cost(request, answer, work):
    """Return (cost, size); the estimates where the answer doesn't tell."""
    if not request.path.endswith(COMPLETIONS):
        return work.cost, work.size
    generated = generated_tokens(bytes(answer.body))
    if generated is None:
        return work.cost, work.size
    cost = max(1.0, prompt_tokens(request) + generated)
    return cost, size_of(request, generated)


def generated_tokens(body):
    if found := COMPLETION_TOKENS.search(body[-TAIL_BYTES:]):
        return int(found.group(1))
    if body.startswith(EVENT):
        return body.count(EVENT) - body.count(DONE_EVENT)
    return None
