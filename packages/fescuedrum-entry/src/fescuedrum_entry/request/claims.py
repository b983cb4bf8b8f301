"""Claim a key in the platform's table before its request is dispatched."""

import asyncio
import hashlib
from dataclasses import dataclass

from fescuedrum.exceptions import BadRequest, DeadlinePassed, StoreUnavailable
from fescuedrum.platform.interfaces import Write

RETRY_SECONDS = 0.1


@dataclass(slots=True, frozen=True)
class Claim:
    """Hold who may run a key: one agent, under one token."""

    agent: str
    token: str
    body_hash: str
    mine: bool


def row_key(call):
    digest = hashlib.sha256(call.key.encode()).hexdigest()
    return f"claim/{call.organisation}/{call.service}/{digest}"


def body_hash(call):
    text = f"{call.method} {call.path}\n".encode() + call.body
    return hashlib.sha256(text).hexdigest()


async def claim(table, call, agent, token, loop):
    """Return the claim in force; it is this call's own or an earlier one's.

    With the table out of reach the call waits to its deadline and is then not run:
    nothing was dispatched, so that is true whatever became of the write.
    """
    while True:
        try:
            return await try_claim(table, call, agent, token)
        except StoreUnavailable as error:
            if loop.time() + RETRY_SECONDS >= call.deadline:
                detail = "The platform's table can't be reached."
                raise DeadlinePassed(detail) from error
        await asyncio.sleep(RETRY_SECONDS)


async def try_claim(table, call, agent, token):
    key = row_key(call)
    value = {"agent": agent, "token": token, "body_hash": body_hash(call)}
    if await table.transact([Write(key, value, expected_version=0)]):
        return Claim(**value, mine=True)
    # The row stands already: an earlier call's, or this one's whose answer was lost.
    row = await table.get(key)
    if row.value["body_hash"] != value["body_hash"]:
        raise BadRequest("The Idempotency-Key was used for a different request.")
    return Claim(**row.value, mine=row.value["token"] == token)
