"""Stand in for a model engine with an OpenAI-style interface."""

import asyncio
import hashlib
import json

from aiohttp import web

from fescuedrum_bench.standins.runner import healthz, serve

WARM_AFTER_REQUESTS = 10
DEFAULT_TOKENS = 8


def token_text(prompt, index):
    """Derive a token from the prompt, so that a checker can tell a wrong answer."""
    return hashlib.sha256(f"{prompt}#{index}".encode()).hexdigest()[:6] + " "


def completion_text(prompt, count):
    return "".join(token_text(prompt, index) for index in range(count))


def prompt_of(data):
    if "messages" in data:
        return "\n".join(str(message["content"]) for message in data["messages"])
    return str(data.get("prompt", ""))


class Engine:
    """Generate a token for each running request at every step; cold at its start.

    A cold engine that is given more than it can carry falls over: it answers 503 to
    everything it runs and is cold again.
    """

    __slots__ = ("answered", "cold_limit", "falls", "model", "running", "step_seconds")

    def __init__(self, model, step_seconds, cold_limit):
        self.model = model
        self.step_seconds = step_seconds
        self.cold_limit = cold_limit
        self.running = 0
        self.answered = 0
        self.falls = 0

    def build_application(self):
        application = web.Application()
        application.router.add_post("/v1/completions", self.complete)
        application.router.add_post("/v1/chat/completions", self.complete)
        application.router.add_get("/load", self.load)
        application.router.add_get("/healthz", healthz)
        return application

    async def load(self, _):
        return web.json_response(
            {"running": self.running, "answered": self.answered, "falls": self.falls}
        )

    async def complete(self, request):
        data = await request.json()
        if self.answered < WARM_AFTER_REQUESTS and self.running >= self.cold_limit:
            self.falls += 1
            self.answered = 0
            return web.json_response({"error": "fell over"}, status=503)
        self.running += 1
        try:
            return await self.generate(request, data)
        finally:
            self.running -= 1
            self.answered += 1

    async def generate(self, request, data):
        prompt = prompt_of(data)
        count = int(data.get("max_tokens", DEFAULT_TOKENS))
        if data.get("stream"):
            return await self.stream(request, prompt, count)
        await asyncio.sleep(self.step_seconds * count)
        text = completion_text(prompt, count)
        usage = {"completion_tokens": count}
        body = {"model": self.model, "choices": [{"text": text}], "usage": usage}
        return web.json_response(body)

    async def stream(self, request, prompt, count):
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        for index in range(count):
            await asyncio.sleep(self.step_seconds)
            event = {"choices": [{"text": token_text(prompt, index)}]}
            await response.write(f"data: {json.dumps(event)}\n\n".encode())
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response


async def run(arguments):
    """Serve an engine until SIGTERM."""
    engine = Engine(arguments.model, arguments.step_seconds, arguments.cold_limit)
    await serve(engine.build_application(), arguments)
