"""Validate the body of a completion request before it is sent to an engine.

Only fields that the entry itself uses, and values that every engine refuses, are
checked here; other fields are forwarded unchanged.
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
    """Hold the fields of a completion request that the entry uses."""

    model: str
    streamed: bool
    # Estimated number of prompt tokens and generated tokens.
    cost: float
    # Start of the prompt; empty when the prompt is too short for a cache hit to matter.
    prefix: str = ""


def parse_completion(body, *, chat):
    """Return the Completion of a body; raise BadRequest naming an invalid field."""
    data = parse_object(body)
    model = data.get("model")
    if not isinstance(model, str) or not model:
        raise invalid_field("model", "a string that is not empty")
    streamed = data.get("stream")
    if streamed is not None and type(streamed) is not bool:
        raise invalid_field("stream", "true or false")
    if chat:
        check_messages(data.get("messages"))
    else:
        check_prompt(data.get("prompt"))
    check_number(data, "temperature", 0, 2)
    check_number(data, "top_p", 0, 1)
    generated = read_generated_tokens(data) * read_integer(
        data, "n", MAXIMUM_CHOICES, 1
    )
    cost = len(body) / BYTES_PER_TOKEN + generated
    return Completion(model, bool(streamed), cost, extract_prefix(data))


def extract_prefix(data):
    """Return the start of the prompt, or "" for a short prompt.

    In a conversation the first message is used: it often holds an application's long
    instructions, which an engine has cached, unlike the caller's own messages after it.
    """
    match data:
        case {"prompt": str(text)}:
            pass
        case {"messages": [{"content": str(text)}, *_]}:
            pass
        case _:
            return ""
    return text[:PREFIX_CHARACTERS] if len(text) >= PREFIX_CHARACTERS else ""


def parse_object(body):
    """Return the JSON object in a body; raise BadRequest for anything else."""
    try:
        data = json.loads(body)
    # Nesting of thousands of levels raises RecursionError instead of ValueError.
    except (ValueError, RecursionError) as error:
        raise BadRequest("The body is not JSON.", field="body") from error
    if not isinstance(data, dict):
        raise invalid_field("body", "a JSON object")
    return data


def read_generated_tokens(data):
    """Return the largest number of tokens to generate for one choice."""
    newer = read_integer(data, "max_completion_tokens", MAXIMUM_TOKENS, None)
    if newer is not None:
        return newer
    return read_integer(data, "max_tokens", MAXIMUM_TOKENS, DEFAULT_GENERATED_TOKENS)


def read_integer(data, name, maximum, default):
    """Return an integer field from 1 to the maximum, or the default without one."""
    value = data.get(name)
    if value is None:
        return default
    if type(value) is not int or not 1 <= value <= maximum:
        raise invalid_field(name, f"a whole number from 1 to {maximum}")
    return value


def check_number(data, name, minimum, maximum):
    """Raise BadRequest unless a field is absent or a number within its limits."""
    value = data.get(name)
    if value is None:
        return
    if type(value) not in (int, float) or math.isnan(value):
        raise invalid_field(name, f"a number from {minimum} to {maximum}")
    if not minimum <= value <= maximum:
        raise invalid_field(name, f"a number from {minimum} to {maximum}")


def check_prompt(prompt):
    """Raise BadRequest unless the prompt is absent, a string or a list."""
    if prompt is not None and not isinstance(prompt, str | list):
        raise invalid_field("prompt", "a string or a list")


def check_messages(messages):
    """Raise BadRequest unless the messages are a list of valid messages."""
    if not isinstance(messages, list) or not messages:
        raise invalid_field("messages", "a list of at least one message")
    for index, message in enumerate(messages):
        location = f"messages[{index}]"
        if not isinstance(message, dict):
            raise invalid_field(location, "an object")
        if not isinstance(message.get("role"), str):
            raise invalid_field(f"{location}.role", "a string")
        if not isinstance(message.get("content"), str | list | None):
            raise invalid_field(f"{location}.content", "a string, a list or null")


def invalid_field(field, expected):
    """Return a BadRequest that names a field and its expected value."""
    return BadRequest(f"{field!r} must be {expected}.", field=field)
