"""Count a request at its endpoint from before it is sent until it ends."""

from fescuedrum.decisions.placing.placement import Load


class Reservation:
    """Count one request and its tokens at an endpoint until its release."""

    __slots__ = ("directory", "held_tokens", "load", "tokens", "zone")

    def __init__(
        self, directory, zone: str, load: Load, tokens: int, held_tokens: int = 0
    ) -> None:
        self.directory = directory
        # Availability zone of the endpoint.
        self.zone = zone
        self.load = load
        # Tokens of the prompt until the endpoint has read it.
        self.tokens = tokens
        # Tokens that it holds there or may still generate.
        self.held_tokens = held_tokens
        load.requests += 1
        load.unread_tokens += tokens
        load.tokens += held_tokens
        directory.announce_change(zone)

    def mark_prompt_read(self):
        """Subtract the prompt's tokens, as the endpoint has begun its answer."""
        self.load.unread_tokens -= self.tokens
        self.tokens = 0

    def release(self):
        """Subtract the request, and its prompt's tokens if they still count."""
        self.mark_prompt_read()
        self.load.requests -= 1
        self.load.tokens -= self.held_tokens
        self.directory.announce_change(self.zone)
