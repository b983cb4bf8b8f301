"""Simulate the continuous batching of a model engine."""

import asyncio
import hashlib
import heapq
import itertools
from collections import OrderedDict
from dataclasses import dataclass, field

BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 16


@dataclass(slots=True)
class EngineShape:
    """Hold the speed and the limits of an engine, which determine its capacity."""

    step_seconds: float = 0.01
    # Added to a step for each sequence in the batch.
    sequence_seconds: float = 0.0
    batch: int = 256
    # Prompt tokens processed per second; cached tokens take no time.
    prefill_rate: float = 200_000.0
    cache_blocks: int = 4096
    cold_limit: int = 2
    warm_after: int = 10
    cold_factor: float = 3.0

    @property
    def tokens_per_second(self):
        """Return the tokens that a full batch generates per second."""
        return self.batch / (self.step_seconds + self.batch * self.sequence_seconds)


@dataclass(slots=True, eq=False)
class Sequence:
    """Hold one completion and the queue that reports its progress."""

    tokens: int
    prompt: str
    priority: int = 0
    # Steps per token: above 1 for an injected slowdown.
    slowness: float = 1.0
    progress: float = 0.0
    produced: int = 0
    cached_tokens: int = 0
    prefilled: bool = False
    cancelled: bool = False
    # Total of tokens produced after each step; None when the engine crashed.
    events: asyncio.Queue = field(default_factory=asyncio.Queue)


class PrefixCache:
    """Hold blocks of prompts and evict the least recently used."""

    __slots__ = ("blocks", "hits", "limit", "misses")

    def __init__(self, limit):
        self.limit = limit
        self.blocks = OrderedDict()
        self.hits = 0
        self.misses = 0

    def read(self, prompt):
        """Return the number of cached tokens of a prompt and cache all its blocks."""
        size = BLOCK_TOKENS * BYTES_PER_TOKEN
        digest = hashlib.sha256()
        cached = 0
        all_cached = True
        for start in range(0, len(prompt) - size + 1, size):
            digest.update(prompt[start : start + size].encode())
            key = digest.digest()
            all_cached = all_cached and key in self.blocks
            cached += BLOCK_TOKENS if all_cached else 0
            self.hits += all_cached
            self.misses += not all_cached
            self.blocks[key] = None
            self.blocks.move_to_end(key)
        while len(self.blocks) > self.limit:
            self.blocks.popitem(last=False)
        return cached


class BatchLoop:
    """Run the batch and hold the sequences that wait for a slot in it."""

    __slots__ = (
        "answered",
        "cache",
        "falls",
        "numbers",
        "running",
        "shape",
        "since_cold",
        "slow_factor",
        "tokens",
        "waiting",
        "work",
    )

    def __init__(self, shape):
        self.shape = shape
        self.running = []
        self.waiting = []
        self.numbers = itertools.count()
        self.work = asyncio.Event()
        self.cache = PrefixCache(shape.cache_blocks)
        self.answered = 0
        self.since_cold = 0
        self.falls = 0
        self.tokens = 0
        # Injected fault: factor by which the engine is slower than its shape.
        self.slow_factor = 1.0

    @property
    def cold(self):
        """Return whether too few completions have ended since the last restart."""
        return self.since_cold < self.shape.warm_after

    def turn_cold(self):
        """Simulate a restart: abort all sequences and begin cold."""
        self.since_cold = 0
        for sequence in [*self.running, *(each for *_, each in self.waiting)]:
            sequence.events.put_nowait(None)
        self.running.clear()
        self.waiting.clear()

    def submit(self, sequence):
        """Queue a sequence; return False if it crashed the cold engine."""
        load = len(self.running) + sum(not each.cancelled for *_, each in self.waiting)
        if self.cold and load >= self.shape.cold_limit:
            self.falls += 1
            self.turn_cold()
            return False
        entry = (-sequence.priority, next(self.numbers), sequence)
        heapq.heappush(self.waiting, entry)
        self.work.set()
        return True

    async def run(self):
        """Run steps while there are sequences, until cancelled.

        Each step is due at a time that follows from the one before, so that late
        wake-ups of the event loop don't lower the capacity.
        """
        loop = asyncio.get_running_loop()
        while True:
            await self.work.wait()
            due = loop.time()
            while prefill := self.fill_batch():
                due += self.step_time(prefill)
                await asyncio.sleep(max(0.0, due - loop.time()))
                self.step()
            self.work.clear()

    def fill_batch(self):
        """Fill the batch; return the seconds of prefill, or None if it is empty."""
        self.running = [each for each in self.running if not each.cancelled]
        while self.waiting and len(self.running) < self.shape.batch:
            *_, sequence = heapq.heappop(self.waiting)
            if not sequence.cancelled:
                self.running.append(sequence)
        if not self.running:
            return None
        return max(self.prefill_time(), 1e-9)

    def prefill_time(self):
        """Return the seconds that the new sequences of the batch need for prefill."""
        tokens = 0
        for sequence in self.running:
            if not sequence.prefilled:
                sequence.prefilled = True
                sequence.cached_tokens = self.cache.read(sequence.prompt)
                prompt_tokens = len(sequence.prompt) / BYTES_PER_TOKEN
                tokens += max(0.0, prompt_tokens - sequence.cached_tokens)
        return tokens / self.shape.prefill_rate

    def step_time(self, prefill):
        """Return the seconds of the next step, prefill included."""
        shape = self.shape
        seconds = shape.step_seconds + len(self.running) * shape.sequence_seconds
        factor = self.slow_factor * (shape.cold_factor if self.cold else 1.0)
        return (seconds + prefill) * factor

    def step(self):
        """Advance every sequence by one step and remove the completed ones."""
        for sequence in self.running:
            sequence.progress += 1 / sequence.slowness
            count = min(int(sequence.progress + 1e-9), sequence.tokens)
            if count > sequence.produced:
                self.tokens += count - sequence.produced
                sequence.produced = count
                sequence.events.put_nowait(count)
        completed = [each for each in self.running if each.produced >= each.tokens]
        self.answered += len(completed)
        self.since_cold += len(completed)
        self.running = [each for each in self.running if each.produced < each.tokens]
