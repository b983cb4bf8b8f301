"""Events about groups of ranks and changes of their expert maps."""

import logging
from typing import Annotated

from fescuedrum.events.event import (
    Error,
    Event,
    GroupName,
    MapVersion,
    ServiceName,
    event,
)

Address = Annotated[tuple, "host and port of the engine"]


@event
class GroupDutyChanged(Event):
    """Logged when this gateway starts or stops managing the groups' maps."""

    message = "group duty"

    leads: Annotated[bool, "whether it manages them now"]


@event
class GroupFound(Event):
    """Logged when all ranks of a group respond."""

    message = "group found"

    group: GroupName
    epoch: Annotated[int, "epoch of the group; state held by its ranks ends with it"]
    ranks: Annotated[int, "number of its ranks"]
    map: MapVersion


@event
class GroupNotWhole(Event):
    """Logged when some ranks of a group do not respond or are not listed."""

    message = "group not whole"

    group: GroupName
    ranks: Annotated[int, "ranks that respond"]
    of: Annotated[int, "ranks that the group has"]


@event
class GroupBeganAnew(Event):
    """Logged when a group is in another epoch or is not open.

    Its first map is in force again.
    """

    message = "group began anew"

    group: GroupName


@event
class GroupHasOtherMap(Event):
    """Logged when another gateway has changed a group's map."""

    message = "group has another map"

    group: GroupName
    map: MapVersion


@event
class StreamsSlowedDown(Event):
    """Logged when a group's passes take longer than usual."""

    message = "streams slowed down"

    group: GroupName


@event
class CountsNotRead(Event):
    """Logged when some ranks do not report which experts are in demand."""

    message = "counts not read"

    group: GroupName
    ranks: Annotated[int, "ranks that were asked"]
    read: Annotated[int, "ranks that reported"]


@event
class MapChangeBegun(Event):
    """Logged when a better map is sent to all ranks of a group."""

    message = "map change begun"

    group: GroupName
    version: MapVersion
    copy_seconds: Annotated[float, "time that the copies take, in seconds"]
    steps_ahead: Annotated[int, "passes from the last report to the switch"]
    skew_before: Annotated[float, "pass time relative to evenly loaded ranks"]
    skew_after: Annotated[float, "the same with the new map"]


@event
class MapChangeEnded(Event):
    """Logged when the change of a map ends."""

    message = "map change ended"

    group: GroupName
    version: MapVersion
    skew_before: Annotated[float, "pass time relative to evenly loaded ranks"]
    skew_after: Annotated[float, "the same with the new map"]
    result: Annotated[str, "`switched`, `abandoned`, `epoch-ended`, `unsettled`"]
    seconds: Annotated[float, "time since it began, in seconds"]
    step: Annotated[int, "number of the first pass with the new map"]


@event
class MapChangeAbandoned(Event):
    """Logged when some rank could not be armed and all ranks are disarmed."""

    message = "map change abandoned"
    level = logging.WARNING

    step: Annotated[int, "number of the pass that is held meanwhile"]
    refused: Annotated[int, "ranks that refused to be armed"]
    unanswered: Annotated[int, "ranks that did not respond"]


@event
class MapChangeOutdated(Event):
    """Logged when another gateway has changed the map while a change was prepared."""

    message = "map change outdated"

    version: MapVersion
    map: Annotated[int, "version of the map in force"]


@event
class GroupStateOutdated(Event):
    """Logged when a group's state is too old to change its map.

    This process was suspended, or the group's first rank has not responded.
    """

    message = "group state outdated"

    group: GroupName
    seconds: Annotated[float, "age of the state, in seconds"]


@event
class GroupStandsStill(Event):
    """Logged when a group has begun no pass for some time; it may have no requests."""

    message = "group stands still"

    group: GroupName
    step: Annotated[int, "number of its last pass"]
    held: Annotated[int, "ranks that hold a pass"]


@event
class MapChangeCut(Event):
    """Logged when the process ends before a map change that it leads."""

    message = "map change cut"
    level = logging.WARNING


@event
class HeldPassNotSettled(Event):
    """Logged when a held pass could not be released; this is tried again."""

    message = "held pass not settled"
    level = logging.ERROR

    step: Annotated[int, "number of the pass that is held"]
    ranks: Annotated[int, "ranks that did not accept the last orders"]


@event
class HeldGroupSettled(Event):
    """Logged when a process begins to release a pass that another gateway left held.

    The change that held it is undone.
    """

    message = "held group settled"
    level = logging.WARNING

    step: Annotated[int, "number of the pass that was held"]


@event
class OrderUnanswered(Event):
    """Logged when an engine does not respond to an order.

    The engine may still execute the order later.
    """

    message = "order unanswered"

    engine: Address
    order: Annotated[str, "kind of the order"]
    error: Error


@event
class EngineNotRead(Event):
    """Logged when an engine gives no usable response about its state."""

    message = "engine not read"

    engine: Address
    path: Annotated[str, "path that was requested"]
    error: Error


@event
class GroupMembersKnown(Event):
    """Logged when this gateway learns which endpoints form a group, or that changes."""

    message = "group members known"

    service: ServiceName
    group: GroupName
    endpoints: Annotated[int, "endpoints of the group that are known here"]
    groups: Annotated[int, "groups of the service that are known here"]


@event
class GroupOut(Event):
    """Logged when a group gets no more requests from this gateway, except probes."""

    message = "group out"
    level = logging.WARNING

    service: ServiceName
    group: GroupName
    reason: Annotated[str, "`refused` here, or `reported` by another gateway"]
    refusals: Annotated[int, "endpoints of the group that have refused here recently"]


@event
class GroupBack(Event):
    """Logged when a group that was out gets requests from this gateway again."""

    message = "group back"

    service: ServiceName
    group: GroupName
    seconds: Annotated[float, "time that it was out, in seconds"]
    found_by: Annotated[str, "address of the gateway that found it answering"]
