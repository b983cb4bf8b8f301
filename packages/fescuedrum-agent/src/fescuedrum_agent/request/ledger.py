"""Remember which keyed requests ran here, and their answers."""

from collections import OrderedDict

from fescuedrum_agent.request.answer import Answer


class Ledger:
    """Map keys to answers within a bound of bytes; a running key is never forgotten."""

    __slots__ = ("answers", "maximum_bytes")

    def __init__(self, maximum_bytes):
        self.maximum_bytes = maximum_bytes
        self.answers = OrderedDict()

    def find(self, key) -> Answer | None:
        return self.answers.get(key)

    def add(self, key, answer):
        self.answers[key] = answer
        self.evict()

    def forget(self, key, answer):
        """Drop a key whose request was given up before it ran."""
        if self.answers.get(key) is answer:
            del self.answers[key]

    def evict(self):
        held = sum(len(answer.body) for answer in self.answers.values())
        for key, answer in list(self.answers.items()):
            if held <= self.maximum_bytes:
                return
            if answer.done:
                held -= len(answer.body)
                del self.answers[key]
