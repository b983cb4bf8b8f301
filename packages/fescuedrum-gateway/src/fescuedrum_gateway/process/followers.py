"""Keep copies of the platform's tables up to date, from the store and from peers."""

import asyncio
import base64
import binascii
import logging

import aiohttp
from aiohttp import web

from fescuedrum.events import tables as events
from fescuedrum.events.event import log_event
from fescuedrum.events.processes import PeerGaveNoChanges
from fescuedrum.exceptions import HistoryLost, StoreUnavailable
from fescuedrum.platform.interfaces import Changes, VersionedRow

logger = logging.getLogger(__name__)

# Longest wait of one call for changes. A call costs; a store that takes calls of one
# machine and answers none of them is noticed when the wait is over.
WAIT_SECONDS = 10.0
# Pause after a change, so that those which follow it come with one call: engines that
# register at a start, or configurations in quick succession, would cost a call each.
GATHER_SECONDS = 0.1
# Time between looks of a gateway that rests at whether others still follow the store:
# as long as the longest time between two of their beacons.
REST_SECONDS = 0.4
# Pauses between calls to a store that does not answer: within the two seconds in which
# a configuration must be in force there is room for several.
FIRST_RETRY_SECONDS = 0.1
LONGEST_RETRY_SECONDS = 0.8
# A read that is older than what is known is tried again after this.
STALE_RETRY_SECONDS = 0.25
# How long the store has to bring what a peer already has.
PEER_GRACE_SECONDS = 0.15
# Time over which gateways that rest ask for a change, for each gateway there is.
SPREAD_SECONDS_PER_GATEWAY = 0.002
# A whole table of some hundred kilobytes comes within tenths; another peer is asked
# after this, still within the time in which a change must be in force.
PEER_TIMEOUT_SECONDS = 1.0
CHANGES_PATH = "/changes"
# Longer answers to peers are compressed.
COMPRESSED_BYTES = 4096


class TableFollower:
    """Own the copy of one table; take(rows) is called with rows that are new."""

    __slots__ = (
        "confirmed_at",
        "loop",
        "name",
        "peers",
        "pulling",
        "random",
        "replica",
        "session",
        "settings",
        "store",
        "store_answers",
        "store_changed",
        "take",
    )

    def __init__(self, name, replica, store, peers, session, settings, random):
        self.name = name
        self.replica = replica
        self.store = store
        self.peers = peers
        self.session = session
        self.settings = settings
        self.random = random
        self.loop = asyncio.get_running_loop()
        # Whether the store's last call was answered; None while others follow it.
        self.store_answers = None
        # When the store, or a gateway that it answers, last told what the copy has.
        self.confirmed_at = None
        self.pulling = None
        self.take = lambda rows: None
        # Called before rows are taken when the store falls silent or answers again.
        self.store_changed = lambda: None

    async def run(self):
        """Follow the store for ever, but while enough others do so."""
        pause = FIRST_RETRY_SECONDS
        whole = True
        while True:
            if self.replica.loaded and not self.peers.must_follow_store():
                self.rest()
                whole = False
                await asyncio.sleep(REST_SECONDS)
                continue
            try:
                whole = await self.step(whole)
                pause = FIRST_RETRY_SECONDS
            except HistoryLost:
                log_event(logger, events.HistoryLost(self.name))
                whole = True
            except StoreUnavailable as error:
                self.note_answers(False, error.detail)
                await asyncio.sleep(pause)
                pause = min(pause * 2, LONGEST_RETRY_SECONDS)

    async def step(self, whole):
        """Make one call to the store; return whether the next must read all."""
        if not whole:
            changes = await self.store.wait_for_changes(
                self.replica.table, self.replica.version, WAIT_SECONDS
            )
            self.note_answers(True)
            self.apply(changes, "store")
            if changes.rows:
                await asyncio.sleep(GATHER_SECONDS)
            return False
        changes = await self.store.read_table(self.replica.table)
        self.note_answers(True)
        if changes.version < self.replica.version:
            # The store answers from behind: what is in force here is newer.
            known = self.replica.version
            log_event(logger, events.StaleRead(self.name, changes.version, known))
            await asyncio.sleep(STALE_RETRY_SECONDS)
            return True
        self.apply(changes, "store")
        return False

    def rest(self):
        """Leave the store to others."""
        if self.store_answers is not None:
            log_event(logger, events.StoreLeftToOthers(self.name))
            self.store_answers = None

    def note_answers(self, answers, detail=""):
        if answers == self.store_answers:
            return
        self.store_answers = answers
        if answers:
            log_event(logger, events.StoreAnswers(self.name))
        else:
            log_event(logger, events.StoreLost(self.name, detail))
        self.store_changed()

    @property
    def age(self):
        """Return the seconds since the copy was last confirmed; -1 for never."""
        if self.confirmed_at is None:
            return -1.0
        return self.loop.time() - self.confirmed_at

    def apply(self, changes, source):
        self.confirmed_at = self.loop.time()
        before = self.replica.version
        rows = self.replica.apply(changes)
        if not rows:
            return
        event = events.RowsTaken(
            table=self.name,
            rows=len(rows),
            from_version=before,
            to_version=self.replica.version,
            source=source,
        )
        log_event(logger, event)
        self.take(rows)

    # From peers

    def peer_heard(self, peer):
        """Learn from a peer that is ahead, unless the store brings it at once."""
        told = peer.versions.get(self.name, -1)
        if told > self.replica.version:
            if self.pulling is None:
                self.pulling = asyncio.create_task(self.pull())
        elif told == self.replica.version and peer.store_answers:
            self.confirmed_at = self.loop.time()

    async def pull(self):
        try:
            await asyncio.sleep(self.pause_before_pull())
            ahead = self.peers.peers_ahead_of(self.name, self.replica.version)
            # Those of the own zone are nearer, and most of its gateways learn what is
            # new from each other.
            self.random.shuffle(ahead)
            ahead.sort(key=lambda peer: peer.zone != self.settings.zone)
            for peer in ahead:
                if await self.pull_from(peer):
                    return
        finally:
            self.pulling = None

    def pause_before_pull(self) -> float:
        """Return the seconds to wait before a change is asked of peers.

        All gateways that leave the store to others hear of a change from the same one,
        at the same moment. A hundred of them share its link, and none has the change
        before it gives up; a little later several have it to give.
        """
        if self.store_answers:
            return PEER_GRACE_SECONDS
        spread = self.peers.count_sharing_gateways() * SPREAD_SECONDS_PER_GATEWAY
        return self.random.uniform(0.0, spread)

    async def pull_from(self, peer):
        """Take what a peer has; tell whether it answered."""
        url = f"http://{peer.host}:{self.settings.peer_port}{CHANGES_PATH}"
        params = {"table": self.name, "after": str(self.replica.version)}
        timeout = aiohttp.ClientTimeout(total=PEER_TIMEOUT_SECONDS)
        try:
            async with self.session.get(url, params=params, timeout=timeout) as answer:
                changes = load_changes(await answer.json())
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            log_event(logger, PeerGaveNoChanges(self.name, peer.host, repr(error)))
            return False
        self.apply(changes, peer.host)
        return True

    def dump_changes_after(self, after):
        """Return what a peer at a version lacks, as JSON."""
        return dump_changes(self.replica.changes_after(after))


def add_routes(application, followers):
    """Let peers ask for changes."""
    by_name = {each.name: each for each in followers}

    async def get_changes(request):
        follower = by_name.get(request.query.get("table", ""))
        after = request.query.get("after", "")
        if follower is None or not after.lstrip("-").isdigit():
            return web.Response(status=400, text="Name a table and a version.")
        response = web.json_response(follower.dump_changes_after(int(after)))
        if len(response.body) > COMPRESSED_BYTES:
            # A configuration of a thousand routes is half a megabyte; where a hundred
            # gateways ask six for it over narrow links, none has it in time.
            response.enable_compression()
        return response

    application.router.add_get(CHANGES_PATH, get_changes)


def dump_changes(changes):
    return {
        "version": changes.version,
        "whole": changes.whole,
        "rows": [
            {
                "key": row.key,
                "version": row.version,
                "value": None
                if row.value is None
                else base64.b64encode(row.value).decode(),
            }
            for row in changes.rows
        ],
    }


def load_changes(data):
    """Build changes from a peer's JSON; raise ValueError when it is malformed."""
    try:
        rows = [load_row(row) for row in data["rows"]]
        return Changes(rows, int(data["version"]), bool(data["whole"]))
    except (KeyError, TypeError, binascii.Error) as error:
        raise ValueError(f"The peer's changes are malformed: {error!r}.") from error


def load_row(data):
    value = data["value"]
    decoded = None if value is None else base64.b64decode(value)
    return VersionedRow(data["key"], decoded, int(data["version"]))
