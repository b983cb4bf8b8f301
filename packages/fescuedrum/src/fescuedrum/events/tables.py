"""Events about the platform's tables and their contents."""

import logging
from typing import Annotated

from fescuedrum.events.event import (
    EndpointName,
    Error,
    Event,
    RowKey,
    RowVersion,
    TableName,
    event,
)


@event
class ConfigurationInForce(Event):
    """Logged when another version of the configuration comes into force."""

    message = "configuration in force"

    from_version: Annotated[int, "the version before; -1 for none"]
    to_version: Annotated[int, "the version that is in force now"]
    routes: Annotated[int, "number of its routes"]
    organisations: Annotated[int, "number of its organisations"]


@event
class OperatorsRowNotUnderstood(Event):
    """Logged when a row of the operators' table can't be decoded.

    The configuration in force does not change.
    """

    message = "operators' row not understood"
    level = logging.WARNING

    row: RowKey
    row_version: RowVersion
    error: Error


@event
class OperatorsRowNotApplied(Event):
    """Logged when a row of the operators' table causes an unexpected error.

    The traceback follows. The other rows are applied.
    """

    message = "operators' row not applied"
    level = logging.CRITICAL

    row: RowKey
    row_version: RowVersion


@event
class ZoneTakenOut(Event):
    """Logged when operators take an availability zone out of service."""

    message = "zone out"

    zone_out: Annotated[str, "name of the zone"]
    row: RowKey
    row_version: RowVersion


@event
class ZoneTakenBack(Event):
    """Logged when operators put an availability zone back into service."""

    message = "zone back"

    row: RowKey
    row_version: RowVersion


@event
class EndpointListed(Event):
    """Logged when an endpoint's row is new or has changed."""

    message = "endpoint listed"

    row: RowKey
    row_version: RowVersion
    service: Annotated[str, "service that it belongs to"]
    endpoint_zone: Annotated[str, "its availability zone"]
    state: Annotated[str, "`ready` or `leaving`"]
    cold_seconds: Annotated[float, "time for which it stays cold, in seconds"]


@event
class EndpointUnlisted(Event):
    """Logged when an endpoint's row is removed."""

    message = "endpoint unlisted"

    row: RowKey
    row_version: RowVersion


@event
class EndpointRowNotUnderstood(Event):
    """Logged when an endpoint's row can't be decoded.

    The row counts as removed; the other rows are used.
    """

    message = "endpoint row not understood"
    level = logging.WARNING

    row: RowKey
    row_version: RowVersion
    error: Error


@event
class EndpointGone(Event):
    """Logged when an endpoint whose row lapsed does not come back in time."""

    message = "endpoint gone"

    endpoint: EndpointName


@event
class EndpointLimited(Event):
    """Logged when an endpoint announces another request rate, or none any more."""

    message = "endpoint limited"

    endpoint: EndpointName
    per_second: Annotated[
        float | None,
        "requests per second accepted from all gateways; null for no limit",
    ]
    heard_from: Annotated[
        str, "address of the gateway that reported it; empty if the endpoint did"
    ]


@event
class EndpointLeaves(Event):
    """Logged when an endpoint announces in an answer that it leaves.

    It gets no request any more, whatever the platform's list says.
    """

    message = "endpoint leaves"

    endpoint: EndpointName


@event
class EndpointRests(Event):
    """Logged when an endpoint asks for rest; it gets no request until that is over.

    Not logged again while it rests, though later refusals may extend the rest.
    """

    message = "endpoint rests"

    endpoint: EndpointName
    rest_seconds: Annotated[float, "time for which it asks, in seconds"]


@event
class EndpointRateNotUnderstood(Event):
    """Logged when an endpoint announces a rate that can't be parsed.

    The limit in force does not change.
    """

    message = "endpoint rate not understood"

    endpoint: EndpointName
    text: Annotated[str, "the text that it sent"]


@event
class StoreAnswers(Event):
    """Logged when the platform's store responds and did not before."""

    message = "store answers"

    table: TableName


@event
class StoreLost(Event):
    """Logged when the platform's store does not respond to this process."""

    message = "store lost"

    table: TableName
    detail: Annotated[str, "how the call failed"]
    unanswered_seconds: Annotated[float, "time since the call was sent, in seconds"]


@event
class StoreLeftToOthers(Event):
    """Logged when a gateway stops following the store.

    Enough other gateways follow it, and this one receives the changes from them.
    """

    message = "store left to others"

    table: TableName


@event
class HistoryLost(Event):
    """Logged when the store no longer has the requested changes.

    The whole table is read instead.
    """

    message = "history lost"

    table: TableName


@event
class StaleRead(Event):
    """Logged when the store returns an older version than the known one.

    The read is ignored.
    """

    message = "stale read"

    table: TableName
    read: Annotated[int, "version that was read"]
    known: Annotated[int, "version that is known"]


@event
class RowNotRead(Event):
    """Logged when the key or the version of a row can't be read.

    The row is left out; the other rows are used.
    """

    message = "row not read"
    level = logging.WARNING

    table: Annotated[str, "name of the table in the platform's store"]
    key: Annotated[str, "beginning of what stands in place of the row's key"]
    error: Error


@event
class RowsTaken(Event):
    """Logged when new rows are applied to the local copy of a table."""

    message = "rows taken"
    level = logging.DEBUG

    table: TableName
    rows: Annotated[int, "number of rows"]
    from_version: Annotated[int, "version of the copy before them"]
    to_version: Annotated[int, "version of the copy with them"]
    source: Annotated[str, "`store`, or the address of the gateway that sent them"]


@event
class InstanceNotUnderstood(Event):
    """Logged when a line of the instance list can't be decoded and is skipped."""

    message = "instance not understood"
    level = logging.WARNING

    faults: Annotated[list, "errors in the line"]


@event
class InstancesNotRead(Event):
    """Logged when the instance list can't be read; the last one stays in use."""

    message = "instances not read"

    error: Error


@event
class HeadNotRead(Event):
    """Logged when the number of the newest version can't be read.

    The version in force does not change.
    """

    message = "head not read"

    error: Error


@event
class AgesNotRead(Event):
    """Logged when the current age bucket of keys can't be read.

    Keyed requests are not accepted until it has been read once.
    """

    message = "ages not read"

    error: Error


@event
class VersionInForce(Event):
    """Logged when another version of the document comes into force."""

    message = "version in force"

    version: Annotated[int, "the version"]


@event
class DocumentDropped(Event):
    """Logged when a received document does not have the announced hash."""

    message = "document with a wrong hash dropped"
    level = logging.WARNING

    document_version: Annotated[int, "the version that it was announced with"]


@event
class DocumentNotUnderstood(Event):
    """Logged when a document can't be decoded; the version in force stays."""

    message = "document not understood"
    level = logging.ERROR

    version: Annotated[int, "version of the document"]
    faults: Annotated[list, "the first errors in it"]


@event
class ChangeAccepted(Event):
    """Logged when a change of the document is accepted."""

    message = "change accepted"

    version: Annotated[int, "the version that it created"]
    change: Annotated[str, "id of the change"]
    who: Annotated[str, "name of the operator"]


@event
class LeaseNotRenewed(Event):
    """Logged when a lease can't be acquired or renewed.

    A held lease expires if this continues.
    """

    message = "lease not renewed"

    lease: Annotated[str, "key of the lease's row"]
    error: Error
