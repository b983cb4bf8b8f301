"""Check the body of a completion request before any engine sees it.

Only what the entry itself relies on, and what every engine refuses, is checked here;
other fields go to the engine as they came.
"""

import json
import math
from dataclasses import dataclass

from fescuedrum.exceptions import BadRequest

BYTES_PER_TOKEN = 4
DEFAULT_GENERATED_TOKENS = 64
PREFIX_CHARACTERS = 256
MAXIMUM_TOKENS = 1_000_000
MAXIMUM_CHOICES = 128


@dataclass(slots=True, frozen=True)
class Completion:
    """Hold what the entry needs to know of a completion request."""

    model: str
    streamed: bool
    # Estimated tokens to read and to generate.
    cost: float
    # Start of a long prompt; empty for one too short to be worth a cache's hit.
    prefix: str = ""


def parse_completion(body, *, chat):
    """Return the Completion of a body; raise BadRequest that names the field."""
    data = decode(body)
    model = data.get("model")
    if not isinstance(model, str) or not model:
        raise fault("model", "a string that is not empty")
    streamed = data.get("stream")
    if streamed is not None and type(streamed) is not bool:
        raise fault("stream", "true or false")
    if chat:
        check_messages(data.get("messages"))
    else:
        check_prompt(data.get("prompt"))
    check_number(data, "temperature", 0, 2)
    check_number(data, "top_p", 0, 1)
    generated = read_generated(data) * read_whole(data, "n", MAXIMUM_CHOICES, 1)
    cost = len(body) / BYTES_PER_TOKEN + generated
    return Completion(model, bool(streamed), cost, prefix_of(data))


def prefix_of(data):
    """Return the start that prompts of one kind share, if there is enough of it.

    Where a conversation's first message is the application's long instructions, it is
    those that an engine has cached, and not the words of one caller behind them.
    """
    match data:
        case {"prompt": str(text)}:
            pass
        case {"messages": [{"content": str(text)}, *_]}:
            pass
        case _:
            return ""
    return text[:PREFIX_CHARACTERS] if len(text) >= PREFIX_CHARACTERS else ""


def decode(body):
    try:
        data = json.loads(body)
    # Nesting of thousands of levels ends in RecursionError, not in ValueError.
    except (ValueError, RecursionError) as error:
        raise BadRequest("The body is not JSON.", field="body") from error
    if not isinstance(data, dict):
        raise fault("body", "a JSON object")
    return data


def read_generated(data):
    newer = read_whole(data, "max_completion_tokens", MAXIMUM_TOKENS, None)
    if newer is not None:
        return newer
    return read_whole(data, "max_tokens", MAXIMUM_TOKENS, DEFAULT_GENERATED_TOKENS)


def read_whole(data, name, maximum, default):
    value = data.get(name)
    if value is None:
        return default
    if type(value) is not int or not 1 <= value <= maximum:
        raise fault(name, f"a whole number from 1 to {maximum}")
    return value


def check_number(data, name, minimum, maximum):
    value = data.get(name)
    if value is None:
        return
    if type(value) not in (int, float) or math.isnan(value):
        raise fault(name, f"a number from {minimum} to {maximum}")
    if not minimum <= value <= maximum:
        raise fault(name, f"a number from {minimum} to {maximum}")


def check_prompt(prompt):
    if prompt is not None and not isinstance(prompt, str | list):
        raise fault("prompt", "a string or a list")


def check_messages(messages):
    if not isinstance(messages, list) or not messages:
        raise fault("messages", "a list of at least one message")
    for index, message in enumerate(messages):
        where = f"messages[{index}]"
        if not isinstance(message, dict):
            raise fault(where, "an object")
        if not isinstance(message.get("role"), str):
            raise fault(f"{where}.role", "a string")
        if not isinstance(message.get("content"), str | list | None):
            raise fault(f"{where}.content", "a string, a list or null")


def fault(field, expected):
    return BadRequest(f"{field!r} must be {expected}.", field=field)
