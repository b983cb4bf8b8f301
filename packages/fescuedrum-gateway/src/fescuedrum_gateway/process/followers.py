"""Keep copies of the platform's tables up to date, from the store and from peers.

Only a few gateways follow the store themselves; the others pull changes from those
(fescuedrum.decisions.duties.following).
"""

import asyncio
import base64
import binascii
import json
import logging

import aiohttp
from aiohttp import web

from fescuedrum.answers.connection import read_success
from fescuedrum.events import tables as events
from fescuedrum.events.event import log_event
from fescuedrum.events.processes import PeerGaveNoChanges
from fescuedrum.exceptions import HistoryLost, RowsUnreadable, StoreUnavailable
from fescuedrum.platform.interfaces import Changes, VersionedRow

logger = logging.getLogger(__name__)

# Longest wait of one call for changes. Each call costs money, so a long wait saves
# calls; but a call that the store has taken and never answers is given up only after
# this time and ANSWER_SECONDS. All readers may have such a call open when an outage
# ends, and a change has to be in force within 2 s of its confirmation then, too.
POLL_SECONDS = 1.5
# Time for the store's answer beyond the wait. A loaded store takes a few 100 ms.
ANSWER_SECONDS = 1.0
# Time for the answer of a store that did not answer the last call, as it may be slow.
LOST_ANSWER_SECONDS = 2.0
# Pause after a change, so that one call returns all changes that follow it shortly.
# Otherwise each engine that registers at a start, and each of several configurations
# in quick succession, would cost a call.
BATCH_SECONDS = 0.1
# Time between checks of a gateway that does not follow the store that enough others
# do: as long as the longest time between two of their beacons.
IDLE_CHECK_SECONDS = 0.4
# Pauses between calls to a store that does not answer.
FIRST_RETRY_SECONDS = 0.1
LONGEST_RETRY_SECONDS = 0.4
# Pause before reading again after a read that was older than the copy.
STALE_RETRY_SECONDS = 0.25
# Time that the store gets to deliver a change that a peer already has.
STORE_HEAD_START_SECONDS = 0.15
# Gateways that don't follow the store spread their requests for a change over this
# time, multiplied by the number of gateways.
SPREAD_SECONDS_PER_GATEWAY = 0.002
# A whole table of some hundred kilobytes arrives within tenths of a second. After this
# timeout another peer is asked, still within the time in which a change must be in
# force.
PEER_TIMEOUT_SECONDS = 1.0
# Time after which the next peer is asked as well. Peers that froze answer nothing, and
# several of them may be asked before one that answers.
HEDGE_SECONDS = 0.25
MAXIMUM_ANSWER_BYTES = 32 * 1024 * 1024
PEER_ERRORS = (
    TimeoutError,
    aiohttp.ClientError,
    OSError,
    ValueError,
    RecursionError,
)
CHANGES_PATH = "/changes"
# Answers to peers that are longer than this are compressed.
COMPRESSION_THRESHOLD_BYTES = 4096


class TableFollower:
    """Keep the copy of one table up to date and pass its new rows to on_rows."""

    __slots__ = (
        "call_sent_at",
        "confirmed_at",
        "loop",
        "name",
        "on_rows",
        "on_store_state_change",
        "peers",
        "pull_task",
        "random",
        "replica",
        "session",
        "settings",
        "store",
        "store_answers",
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
        # Whether the store answered the last call; None while others follow the store.
        self.store_answers = None
        # When the call to the store that is not answered yet was sent; None for none.
        self.call_sent_at = None
        # When the store, or a gateway that it answers, last confirmed the copy.
        self.confirmed_at = None
        self.pull_task = None
        self.on_rows = lambda rows: None
        # Called when the store stops answering or answers again, before rows are
        # applied.
        self.on_store_state_change = lambda: None

    async def run(self):
        """Follow the store for ever, except while enough other gateways do."""
        pause = FIRST_RETRY_SECONDS
        read_whole = True
        while True:
            if self.replica.loaded and not self.peers.must_follow_store():
                self.stop_following()
                read_whole = False
                await asyncio.sleep(IDLE_CHECK_SECONDS)
                continue
            try:
                read_whole = await self.call_store(read_whole)
                pause = FIRST_RETRY_SECONDS
            except HistoryLost:
                log_event(logger, events.HistoryLost(self.name))
                read_whole = True
            except StoreUnavailable as error:
                self.record_store_lost(error.detail)
                await asyncio.sleep(pause)
                pause = min(pause * 2, LONGEST_RETRY_SECONDS)

    async def call_store(self, read_whole):
        """Make one call to the store; return whether the next must read all rows."""
        self.call_sent_at = self.loop.time()
        if not read_whole:
            try:
                changes = await self.wait_for_changes()
            except RowsUnreadable:
                # The store answers, and other rows of the table may be readable.
                self.record_store_answers()
                await asyncio.sleep(BATCH_SECONDS)
                return True
            self.record_store_answers()
            self.apply(changes, "store")
            if changes.rows or changes.left_out:
                await asyncio.sleep(BATCH_SECONDS)
            return False
        changes = await self.store.read_table(self.replica.table)
        self.record_store_answers()
        if changes.version < self.replica.version:
            # A lagging replica of the store answered: the copy here is newer.
            copied = self.replica.version
            log_event(logger, events.StaleRead(self.name, changes.version, copied))
            await asyncio.sleep(STALE_RETRY_SECONDS)
            return True
        self.apply(changes, "store")
        return False

    async def wait_for_changes(self):
        """Return the next changes; raise StoreUnavailable if no answer comes in time.

        A store that did not answer the last call is asked not to wait, so that its
        return is noticed at once.
        """
        wait = POLL_SECONDS if self.store_answers else 0.0
        limit = wait + ANSWER_SECONDS if self.store_answers else LOST_ANSWER_SECONDS
        table, version = self.replica.table, self.replica.version
        try:
            async with asyncio.timeout(limit):
                return await self.store.wait_for_changes(table, version, wait)
        except TimeoutError:
            raise StoreUnavailable(
                f"The store sent no changes of {table} after {version}, and no empty "
                f"answer, within {limit} s."
            ) from None

    def stop_following(self):
        """Note that other gateways follow the store in place of this one."""
        if self.store_answers is not None:
            log_event(logger, events.StoreLeftToOthers(self.name))
            self.store_answers = None

    def record_store_answers(self):
        """Record that the store answered a call; log it if it did not before."""
        self.call_sent_at = None
        if self.store_answers:
            return
        self.store_answers = True
        log_event(logger, events.StoreAnswers(self.name))
        self.on_store_state_change()

    def record_store_lost(self, detail):
        """Record that a call failed; log it if the store answered before."""
        unanswered = self.unanswered_seconds
        self.call_sent_at = None
        if self.store_answers is False:
            return
        self.store_answers = False
        log_event(logger, events.StoreLost(self.name, detail, round(unanswered, 3)))
        self.on_store_state_change()

    @property
    def unanswered_seconds(self):
        """Return how long a call to the store has been unanswered; 0 for no call."""
        if self.call_sent_at is None:
            return 0.0
        return self.loop.time() - self.call_sent_at

    @property
    def age(self):
        """Return the seconds since the copy was last confirmed; -1 for never."""
        if self.confirmed_at is None:
            return -1.0
        return self.loop.time() - self.confirmed_at

    def apply(self, changes, source):
        """Apply changes from a source to the copy and pass on the rows that are new."""
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
        self.on_rows(rows)

    # Changes from peers

    def on_peer_beacon(self, peer):
        """Start to pull changes if a peer's beacon shows a newer version.

        A beacon with the same version confirms the copy if the store answers that peer.
        """
        peer_version = peer.versions.get(self.name, -1)
        if peer_version > self.replica.version:
            if self.pull_task is None:
                self.pull_task = asyncio.create_task(self.pull())
        elif peer_version == self.replica.version and peer.store_answers:
            self.confirmed_at = self.loop.time()

    async def pull(self):
        """Ask peers with a newer copy for changes until one of them answers."""
        calls = set()
        try:
            await asyncio.sleep(self.pause_before_pull())
            ahead = self.peers.peers_ahead_of(self.name, self.replica.version)
            # Peers in the same zone are nearer, and asking them first keeps most of
            # the traffic within the zone.
            self.random.shuffle(ahead)
            ahead.sort(key=lambda peer: peer.zone != self.settings.zone)
            for peer in ahead:
                calls.add(asyncio.create_task(self.pull_from(peer)))
                if await has_answer(calls, HEDGE_SECONDS):
                    return
            while calls:
                if await has_answer(calls, None):
                    return
        finally:
            self.pull_task = None
            for call in calls:
                call.cancel()

    def pause_before_pull(self) -> float:
        """Return the seconds to wait before asking peers for a change.

        All gateways that don't follow the store hear of a change from the same gateway
        at the same moment. If a hundred of them asked it at once, they would share its
        link, and all would time out; a little later several gateways have the change.
        """
        if self.store_answers:
            return STORE_HEAD_START_SECONDS
        spread = self.peers.count_sharing_gateways() * SPREAD_SECONDS_PER_GATEWAY
        return self.random.uniform(0.0, spread)

    async def pull_from(self, peer):
        """Apply the changes that a peer has; return whether it answered."""
        url = f"http://{peer.host}:{self.settings.peer_port}{CHANGES_PATH}"
        params = {"table": self.name, "after": str(self.replica.version)}
        timeout = aiohttp.ClientTimeout(total=PEER_TIMEOUT_SECONDS)
        try:
            async with self.session.get(
                url, params=params, timeout=timeout, allow_redirects=False
            ) as answer:
                body = await read_success(answer, MAXIMUM_ANSWER_BYTES)
            changes = load_changes(json.loads(body))
        except PEER_ERRORS as error:
            log_event(logger, PeerGaveNoChanges(self.name, peer.host, repr(error)))
            return False
        self.apply(changes, peer.host)
        return True

    def dump_changes_after(self, after):
        """Return the changes after a version, ready for JSON."""
        return dump_changes(self.replica.changes_after(after))


async def has_answer(calls, seconds):
    """Wait for the first call that ends; return whether it got a peer's changes.

    seconds is the longest wait, None for any. Calls that have ended are removed.
    """
    ended, _ = await asyncio.wait(
        calls, timeout=seconds, return_when=asyncio.FIRST_COMPLETED
    )
    calls -= ended
    return any(call.result() for call in ended)


def add_routes(application, followers):
    """Add the route on which peers ask for changes."""
    by_name = {each.name: each for each in followers}

    async def get_changes(request):
        """Answer with the changes of a table after a version."""
        follower = by_name.get(request.query.get("table", ""))
        after = request.query.get("after", "")
        if follower is None or not after.lstrip("-").isdigit():
            return web.Response(status=400, text="Name a table and a version.")
        response = web.json_response(follower.dump_changes_after(int(after)))
        if len(response.body) > COMPRESSION_THRESHOLD_BYTES:
            # A configuration of a thousand routes is half a megabyte. Uncompressed, it
            # would not reach a hundred gateways in time that ask six others for it over
            # narrow links.
            response.enable_compression()
        return response

    application.router.add_get(CHANGES_PATH, get_changes)


def dump_changes(changes):
    """Return changes as a dictionary for JSON."""
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
    """Return the Changes in a peer's JSON; raise ValueError if it is malformed."""
    try:
        rows = [load_row(row) for row in data["rows"]]
        return Changes(rows, load_version(data), bool(data["whole"]))
    except (KeyError, TypeError, binascii.Error) as error:
        raise ValueError(f"The peer's changes are malformed: {error!r}.") from error


def load_row(data):
    """Return the row in one element of a peer's JSON."""
    key, value = data["key"], data["value"]
    if not isinstance(key, str):
        raise TypeError("a key is no text")
    decoded = None if value is None else base64.b64decode(value)
    return VersionedRow(key, decoded, load_version(data))


def load_version(data):
    """Return the version in a peer's JSON; raise TypeError if it is no integer."""
    version = data["version"]
    if type(version) is not int:
        raise TypeError("a version is no integer")
    return version
