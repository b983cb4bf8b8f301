"""Work out what a request really cost, from its answer."""

import re

# Usage stands at the end of an answer; a longer search would cost more than it tells.
TAIL_BYTES = 512
BYTES_PER_TOKEN = 4
COMPLETION_TOKENS = re.compile(rb'"completion_tokens"\s*:\s*(\d+)')
EVENT = b"data: "
DONE_EVENT = b"data: [DONE]"
COMPLETIONS = "completions"


def true_cost(request, answer, estimate):
    """Return prompt and generated tokens; the estimate where the answer tells none."""
    if not request.path.endswith(COMPLETIONS):
        return estimate
    generated = generated_tokens(bytes(answer.body))
    if generated is None:
        return estimate
    return max(1.0, len(request.body or b"") / BYTES_PER_TOKEN + generated)


def generated_tokens(body):
    if found := COMPLETION_TOKENS.search(body[-TAIL_BYTES:]):
        return int(found.group(1))
    if body.startswith(EVENT):
        return body.count(EVENT) - body.count(DONE_EVENT)
    return None
