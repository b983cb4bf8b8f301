"""Model engines that are the ranks of one group, with crashes."""

import asyncio
import json
import socket
import time

from site_parts import read_body, read_head, write_message

EXPERTS = 72
SETS = 4
PLACEMENTS = 8
STALL_S = 1.5
FORM_S = 0.6
FIRST_EVENT_S = 0.3
EVENT_GAP_S = 0.05
EVENTS = 26
QUEUE = 24


def engine_profile(slots):
    """Return the field engine of a service, with the figures of the pages."""
    return {
        "slots": slots,
        "kv_capacity": 247000,
        "kv_token_bytes": 70272,
        "link_mbps": 180000.0,
        "stride": 6,
        "models": [{"name": "m"}],
        "step_ms": 4.84,
        "per_seq_ms": 0.724,
        "context_per_k": 0.022,
        "read_per_s": 74800.0,
        "pairs_per_m": 0.232,
        "chunk": 512,
        "report_lag_ms": 200.0,
        "usual": {"prompt": 835, "answer": 159},
        "sets": SETS,
        "experts": EXPERTS,
        "placements": PLACEMENTS,
        "spare": 3,
        "expert_mb": 2200.0,
        "expert_share": 0.85,
        "form_ms": 600.0,
    }


class Group:
    """Run the passes of some ranks together; all stall when one has crashed."""

    def __init__(self, record):
        self.record = record
        self.engines = []
        self.epoch = 1
        self.began = time.monotonic()
        # When the first of the ranks that are down crashed; None while none is.
        self.broken_at = None
        # When a rank came back last.
        self.back_at = 0.0
        self.is_open = True

    @property
    def step(self):
        return int((time.monotonic() - self.began) / 0.05)

    async def until_running(self, engine):
        """Wait while the group stalls; return whether it runs on."""
        if self.is_open:
            return True
        left = self.broken_at + STALL_S - time.monotonic()
        if left > 0:
            await asyncio.sleep(left)
        return False

    def crashed(self):
        if self.broken_at is None:
            self.broken_at = time.monotonic()
        self.is_open = False

    async def reopen(self):
        """Open the group in a new epoch some time after the last rank is back."""
        back_at = self.back_at = time.monotonic()
        await asyncio.sleep(FORM_S)
        all_run = all(each.server is not None for each in self.engines)
        if all_run and back_at == self.back_at:
            self.epoch += 1
            self.began = time.monotonic()
            self.broken_at = None
            self.is_open = True
            self.record(f"engines: the group opens in epoch {self.epoch}")


class Rank:
    """Serve one rank: requests, reports and orders."""

    def __init__(self, record, group, rank, service, zone, host, port, slots=6):
        self.record = record
        self.group = group
        self.rank = rank
        self.service = service
        self.zone = zone
        self.host = host
        self.port = port
        self.slots = slots
        self.boot = 0
        self.server = None
        self.new_boot()
        group.engines.append(self)

    def new_boot(self):
        self.boot += 1
        self.name = f"i-{self.rank:02x}{self.boot:02x}"
        self.born = int(time.time() * 1000)
        self.free = asyncio.Semaphore(self.slots)
        self.writers = set()
        # Requests that wait or whose answer has no second event yet.
        self.unbegun = set()
        self.held = 0
        self.runs = 0

    async def start(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.host, self.port))
        self.server = await asyncio.start_server(self.serve, sock=listener)

    def stop(self):
        if self.server is not None:
            self.server.close()
            self.server = None

    def crash(self):
        """End as a killed process does: the port closes and all channels break."""
        self.record(
            f"engine {self.name}: crashes with {self.held} requests, "
            f"{len(self.unbegun)} of them not begun"
        )
        self.stop()
        self.group.crashed()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                first, headers = head
                body = await read_body(reader, headers)
                _method, target, _ = first.split(" ")
                if target.startswith(("/report", "/picked", "/order", "/healthz")):
                    self.answer_call(writer, target, body)
                elif not await self.run(writer, headers):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def answer_call(self, writer, target, body):
        group, status = self.group, 200
        answer = {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": 0,
            "queued": 0,
            "active": self.held,
            "kv_used": 1000 * self.held,
            "kv_total": 247000,
            "handles": 0,
            "pace": 1.0,
            "group": {
                "name": "g",
                "epoch": group.epoch,
                "rank": self.rank,
                "state": "open" if group.is_open else "broken",
            },
            "size": len(group.engines),
            "step": group.step,
            "mapping": 0,
            "prepared": None,
            "enabled": None,
            "held": None,
        }
        if target.startswith("/picked"):
            # All experts are chosen equally often.
            counts = [group.step] * (EXPERTS * SETS)
            answer = {"step": group.step, "epoch": group.epoch, "counts": counts}
        elif target.startswith("/order"):
            status, answer = 409, {}
        raw = json.dumps(answer).encode()
        head = {"Content-Type": "application/json", "Instance-Id": self.name}
        write_message(writer, f"HTTP/1.1 {status} X", head, raw)

    def refuse(self, writer, status, request):
        head = {"Attempt-Id": request, "Not-Executed": "1", "At-Server": self.name}
        write_message(writer, f"HTTP/1.1 {status} X", head)
        return True

    async def run(self, writer, headers):
        """Answer a request; return False if its channel must be closed."""
        request = headers.get("attempt-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            return self.refuse(writer, 421, request)
        group = self.group
        if not group.is_open and time.monotonic() > group.broken_at + STALL_S:
            return self.refuse(writer, 503, request)
        if self.held >= self.slots + QUEUE:
            return self.refuse(writer, 503, request)
        self.held += 1
        self.unbegun.add(request)
        try:
            async with self.free:
                await asyncio.sleep(FIRST_EVENT_S)
                if not await group.until_running(self):
                    return self.refuse(writer, 503, request)
                return await self.stream(writer, headers, request)
        finally:
            self.held -= 1
            self.unbegun.discard(request)

    async def stream(self, writer, headers, request):
        epoch = self.group.epoch
        self.runs += 1
        self.record(f"engine {self.name}: runs {request}")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\nWeight-Versions: 1\r\n"
            + f"Attempt-Id: {request}\r\n"
            f"Server-Stamp: {self.name}.{request}\r\n\r\n".encode()
        )
        first = int(headers.get("last-event-id", "0") or 0) + 1
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {request} {'x' * 40}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            if number - first == 1:
                self.unbegun.discard(request)
            await asyncio.sleep(EVENT_GAP_S)
            if self.group.epoch != epoch or not await self.group.until_running(self):
                return False
        writer.write(b"0\r\n\r\n")
        return True
