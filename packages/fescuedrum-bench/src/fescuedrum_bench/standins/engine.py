"""Stand-in for a model engine with an OpenAI-style interface."""

import asyncio
import hashlib
import json

from aiohttp import web

from fescuedrum_bench.standins.batching import (
    BYTES_PER_TOKEN,
    BatchLoop,
    EngineShape,
    Sequence,
)
from fescuedrum_bench.standins.runner import healthz, serve

DEFAULT_TOKENS = 8


def token_text(prompt, index):
    """Return a token derived from the prompt, so that a wrong answer is detected."""
    return hashlib.sha256(f"{prompt}#{index}".encode()).hexdigest()[:6] + " "


def completion_text(prompt, count):
    """Return the text of a completion of some tokens."""
    return "".join(token_text(prompt, index) for index in range(count))


def prompt_of(data):
    """Return the prompt of a completion or chat request."""
    if "messages" in data:
        return "\n".join(str(message["content"]) for message in data["messages"])
    return str(data.get("prompt", ""))


class Engine:
    """Serve completions from one batch, beginning cold.

    A cold engine that receives more sequences than its cold limit crashes: it answers
    503 to everything that it runs or queues, and is cold again.
    """

    __slots__ = ("batch", "load_report", "model", "slow_organisations", "task")

    def __init__(self, model, shape):
        self.model = model
        self.batch = BatchLoop(shape)
        # Injected unfairness: steps per token for each organisation.
        self.slow_organisations = {}
        self.load_report = {}
        self.task = None

    def build_application(self):
        """Return the application with the routes for completions, load and faults."""
        application = web.Application()
        application.router.add_post("/v1/completions", self.complete)
        application.router.add_post("/v1/chat/completions", self.complete)
        application.router.add_get("/load", self.load)
        application.router.add_put("/faults", self.put_faults)
        application.router.add_get("/healthz", healthz)
        application.cleanup_ctx.append(self.run_batch)
        return application

    async def run_batch(self, _):
        """Run the batch as long as the application."""
        self.task = asyncio.create_task(self.batch.run())
        yield
        self.task.cancel()

    async def load(self, _):
        """Answer with the counters of the batch and its cache."""
        batch = self.batch
        return web.json_response(
            {
                "running": len(batch.running),
                "waiting": len(batch.waiting),
                "answered": batch.answered,
                "falls": batch.falls,
                "tokens": batch.tokens,
                "cold": batch.cold,
                "cache_hits": batch.cache.hits,
                "cache_misses": batch.cache.misses,
            }
        )

    async def put_faults(self, request):
        """Inject faults: cold, slow_factor, slow_organisations."""
        plan = await request.json()
        if plan.get("cold"):
            self.batch.turn_cold()
        self.batch.slow_factor = plan.get("slow_factor", self.batch.slow_factor)
        slow = plan.get("slow_organisations", self.slow_organisations)
        self.slow_organisations = slow
        return web.json_response({})

    async def complete(self, request):
        """Answer a completion request, streamed if it asks for that."""
        data = await request.json()
        prompt = prompt_of(data)
        sequence = Sequence(
            tokens=int(data.get("max_tokens", DEFAULT_TOKENS)),
            prompt=prompt,
            priority=int(data.get("priority", 0)),
            slowness=self.slow_organisations.get(data.get("user"), 1.0),
        )
        if not self.batch.submit(sequence):
            return web.json_response({"error": "fell over"}, status=503)
        try:
            if data.get("stream"):
                return await self.stream(request, prompt, sequence)
            return await self.answer(prompt, sequence)
        finally:
            # The caller may have disconnected: free its slot in the batch.
            sequence.cancelled = True

    async def answer(self, prompt, sequence):
        """Return the whole completion in one response."""
        produced = 0
        while produced < sequence.tokens:
            produced = await sequence.events.get()
            if produced is None:
                return web.json_response({"error": "fell over"}, status=503)
        text = completion_text(prompt, sequence.tokens)
        body = {
            "model": self.model,
            "choices": [{"text": text}],
            "usage": usage(prompt, sequence),
        }
        return web.json_response(body)

    async def stream(self, request, prompt, sequence):
        """Send the tokens as server-sent events while they are produced."""
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        sent = 0
        while sent < sequence.tokens:
            produced = await sequence.events.get()
            if produced is None:
                return self.cut(request, sent)
            if not sent:
                await response.prepare(request)
            events = [token_event(prompt, index) for index in range(sent, produced)]
            await response.write("".join(events).encode())
            sent = produced
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    def cut(self, request, sent):
        """Answer 503, or abort the connection if the stream has begun."""
        if not sent:
            return web.json_response({"error": "fell over"}, status=503)
        request.transport.abort()
        raise ConnectionResetError("the engine crashed in the middle of a stream")


def token_event(prompt, index):
    """Return the server-sent event of one token."""
    event = {"choices": [{"text": token_text(prompt, index)}]}
    return f"data: {json.dumps(event)}\n\n"


def usage(prompt, sequence):
    """Return the token counts of a completion."""
    prompt_tokens = int(len(prompt) / BYTES_PER_TOKEN)
    return {
        "prompt_tokens": prompt_tokens,
        "prompt_tokens_details": {"cached_tokens": sequence.cached_tokens},
        "completion_tokens": sequence.tokens,
    }


async def run(arguments):
    """Serve an engine until SIGTERM."""
    shape = EngineShape(
        step_seconds=arguments.step_seconds,
        sequence_seconds=arguments.sequence_seconds,
        batch=arguments.batch,
        prefill_rate=arguments.prefill_rate,
        cold_limit=arguments.cold_limit,
    )
    application = Engine(arguments.model, shape).build_application()
    await serve(application, arguments, cancel_on_disconnect=True)
