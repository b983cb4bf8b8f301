"""Ranks of a group that take orders for expert maps and make passes together."""

import asyncio
import collections
import json
import random
import time

from ranks import EXPERTS, PLACEMENTS, SETS, Group, Rank
from site_parts import read_body, read_head, write_message

PASS_S = 0.05
REPORT_LAG_S = 0.2
SPARE = 3
# An order that is left unanswered is carried out after these seconds.
LATE_S = (2.0, 12.0)
# As in the config: 2200 MB an expert over 180000 Mbit/s.
COPY_S = 2200 * 8 / 180000
HOT_LOAD = 60
OTHER_LOAD = 3


class MapGroup(Group):
    """Begin one pass after the other while requests run and no pass is held."""

    def __init__(self, record):
        super().__init__(record)
        self.passes = 0
        # Experts that get more of the work than others.
        self.hot = set()
        # Passes that began while ranks had different maps.
        self.mixed = []

    @property
    def step(self):
        return self.passes

    async def run(self):
        """Make passes for ever."""
        while True:
            await asyncio.sleep(PASS_S)
            for rank in self.engines:
                rank.remember()
            if not any(rank.held for rank in self.engines):
                continue
            if all(rank.hold != self.passes + 1 for rank in self.engines):
                self.begin_pass()

    def begin_pass(self):
        self.passes += 1
        for rank in self.engines:
            rank.count_experts(self.hot)
            if rank.armed is not None and rank.armed[1] == self.passes:
                rank.switch()
        versions = [rank.version for rank in self.engines]
        if len(set(versions)) > 1:
            if not self.mixed:
                self.record(f"MAP: pass {self.passes} begins with maps {versions}")
            self.mixed.append(self.passes)


class MapRank(Rank):
    """Serve one rank; keep its map and what it was ordered."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.version = 0
        # Experts by set of the map in use.
        self.experts = [self.initial_experts() for _ in range(SETS)]
        self.highest = 0
        # (version, experts by set, time at which their copies are complete).
        self.prepared = None
        # (version, step).
        self.armed = None
        self.hold = None
        self.counts = [0] * (EXPERTS * SETS)
        self.reports = collections.deque(maxlen=100)
        # Kinds of order whose next answer comes a second time, late.
        self.doubled = set()
        # Kinds of order of which the next one is left unanswered, and carried out
        # after these seconds.
        self.late = {}
        self.tasks = set()
        # Chances that an answer comes a second time, and that an order is left
        # unanswered.
        self.double_chance = self.late_chance = 0.0

    def initial_experts(self):
        return list(range(self.rank, EXPERTS, 12))

    def count_experts(self, hot):
        for index in range(EXPERTS * SETS):
            self.counts[index] += HOT_LOAD if index % EXPERTS in hot else OTHER_LOAD

    def switch(self):
        self.version, self.experts, _ = self.prepared
        self.record(
            f"engine {self.name}: pass {self.group.step} uses map {self.version}"
        )
        self.armed = self.prepared = None

    # Reports

    def remember(self):
        self.reports.append((time.monotonic(), self.report()))

    def report(self):
        ready = self.prepared is not None and time.monotonic() >= self.prepared[2]
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self.prepared is not None and not ready,
            "seq": 0,
            "queued": 0,
            "active": self.held,
            "kv_used": 1000 * self.held,
            "kv_total": 247000,
            "handles": 0,
            "pace": 1.0,
            "group": {
                "name": "g",
                "epoch": self.group.epoch,
                "rank": self.rank,
                "state": "open",
            },
            "size": len(self.group.engines),
            "step": self.group.step,
            "mapping": self.version,
            "prepared": self.prepared[0] if ready else None,
            "enabled": None if self.armed is None else self.armed[0],
            "held": self.hold,
        }

    def lagging_report(self):
        until = time.monotonic() - REPORT_LAG_S
        past = [report for at, report in self.reports if at <= until]
        return past[-1] if past else self.report()

    def answer_get(self, target):
        if target.startswith("/report"):
            return self.lagging_report()
        answer = {"step": self.group.step, "epoch": self.group.epoch}
        if "lists" not in target:
            return answer | {"counts": self.counts}
        prepared = None
        if self.prepared is not None:
            prepared = {"version": self.prepared[0], "experts": self.prepared[1]}
        mapping = {"version": self.version, "experts": self.experts}
        return answer | {"mapping": mapping, "prepared": prepared}

    # Orders

    def carry_out(self, order):
        """Carry out an order; return the status of its answer."""
        if order.get("epoch", self.group.epoch) != self.group.epoch:
            return 409
        match order["op"]:
            case "prepare":
                return self.prepare(order["version"], order["mapping"])
            case "arm":
                return self.arm(order["version"], order["step"])
            case "disarm":
                return self.disarm(order["version"])
            case "retention":
                return self.retain(order["step"])
            case "go":
                was_held = self.hold == order["step"]
                self.hold = None if was_held else self.hold
                return 202 if was_held else 200
        return 400

    def prepare(self, version, mapping):
        experts = [each[self.rank] for each in mapping]
        if self.prepared is not None and self.prepared[:2] == (version, experts):
            return 200
        added = [
            len(set(new) - set(old))
            for new, old in zip(experts, self.experts, strict=True)
        ]
        too_many = max(added) > SPARE or max(map(len, experts)) > PLACEMENTS
        if version <= self.highest or self.armed is not None or too_many:
            return 409
        self.highest = version
        self.prepared = (version, experts, time.monotonic() + sum(added) * COPY_S)
        return 202

    def arm(self, version, step):
        if self.armed == (version, step):
            return 200
        is_ready = (
            self.prepared is not None
            and self.prepared[0] == version
            and time.monotonic() >= self.prepared[2]
        )
        if not is_ready or step <= self.group.step:
            return 409
        self.armed = (version, step)
        return 202

    def disarm(self, version):
        if self.version == version:
            return 409
        if self.armed is None or self.armed[0] != version:
            return 200
        self.armed = None
        return 202

    def retain(self, step):
        if self.hold == step:
            return 200
        if self.hold is not None or step <= self.group.step:
            return 409
        self.hold = step
        return 202

    async def carry_out_late(self, order, seconds):
        await asyncio.sleep(seconds)
        status = self.carry_out(order)
        self.record(f"engine {self.name}: {order['op']} {seconds} s late: {status}")

    # Channels

    async def serve(self, reader, writer):
        """Answer one call after the other on a channel."""
        # A second copy of an answer, which comes where the next answer is expected.
        extra = None
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                first, headers = head
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                if extra is not None:
                    self.record(f"engine {self.name}: a second answer, {extra[0]}")
                    self.write_answer(writer, *extra)
                    extra = None
                if method == "GET":
                    answer = self.answer_get(target)
                    self.write_answer(writer, 200, answer, headers)
                    if random.random() < self.double_chance:
                        extra = 200, answer, headers
                elif target == "/order":
                    extra = self.take_order(writer, json.loads(body), headers)
                elif not await self.run(writer, headers):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def take_order(self, writer, order, headers):
        """Carry out an order and answer it; return the answer that comes once more."""
        kind = order["op"]
        shown = {name: value for name, value in order.items() if name != "mapping"}
        if kind in self.late or random.random() < self.late_chance:
            seconds = self.late.pop(kind, random.uniform(*LATE_S))
            self.record(f"engine {self.name}: leaves unanswered: {shown}")
            task = asyncio.create_task(self.carry_out_late(order, seconds))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            return None
        status = self.carry_out(order)
        self.record(f"engine {self.name}: {status} to {shown}")
        self.write_answer(writer, status, {}, headers)
        if kind not in self.doubled and random.random() >= self.double_chance:
            return None
        self.doubled.discard(kind)
        return status, {}, headers

    def write_answer(self, writer, status, answer, headers):
        """Write an answer; it has the id of a call that has one."""
        head = {"Content-Type": "application/json", "Instance-Id": self.name}
        if request := headers.get("attempt-id"):
            head["Attempt-Id"] = request
        raw = json.dumps(answer).encode()
        write_message(writer, f"HTTP/1.1 {status} X", head, raw)
