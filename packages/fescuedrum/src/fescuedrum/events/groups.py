"""Tell what is believed of groups of ranks, and how their expert maps change."""

import logging
from typing import Annotated

from fescuedrum.events.event import Error, Event, GroupName, MapVersion, event

Address = Annotated[tuple, "host and port of the engine"]


@event
class GroupDutyChanged(Event):
    """Tell that this gateway begins or ceases to keep the groups' maps."""

    message = "group duty"

    leads: Annotated[bool, "whether it keeps them now"]


@event
class GroupFound(Event):
    """Tell that all ranks of a group answer."""

    message = "group found"

    group: GroupName
    epoch: Annotated[int, "life of the group; what ranks hold ends with it"]
    ranks: Annotated[int, "how many ranks it has"]
    map: MapVersion


@event
class GroupNotWhole(Event):
    """Tell that some ranks of a group do not answer or are not listed."""

    message = "group not whole"

    group: GroupName
    ranks: Annotated[int, "ranks that answer"]
    of: Annotated[int, "ranks that the group has"]


@event
class GroupBeganAnew(Event):
    """Tell that a group is in another epoch, or not open.

    Its first map is in force again.
    """

    message = "group began anew"

    group: GroupName


@event
class GroupHasOtherMap(Event):
    """Tell that another gateway has changed a group's map."""

    message = "group has another map"

    group: GroupName
    map: MapVersion


@event
class StreamsSlowedDown(Event):
    """Tell that a group's passes have become longer than usual."""

    message = "streams slowed down"

    group: GroupName


@event
class CountsNotRead(Event):
    """Tell that some ranks did not tell which experts are in demand."""

    message = "counts not read"

    group: GroupName
    ranks: Annotated[int, "ranks that were asked"]
    read: Annotated[int, "ranks that told"]


@event
class MapChangeBegun(Event):
    """Tell that a better map goes to all ranks of a group."""

    message = "map change begun"

    group: GroupName
    version: MapVersion
    copy_seconds: Annotated[float, "time that the copies take, in seconds"]
    steps_ahead: Annotated[int, "passes from the last report to the switch"]
    skew_before: Annotated[float, "a pass's time over that with even ranks"]
    skew_after: Annotated[float, "the same with the new map"]


@event
class MapChangeEnded(Event):
    """Tell that a change of a map came to its end."""

    message = "map change ended"

    group: GroupName
    version: MapVersion
    skew_before: Annotated[float, "a pass's time over that with even ranks"]
    skew_after: Annotated[float, "the same with the new map"]
    result: Annotated[str, "`switched`, `abandoned` or `epoch-ended`"]
    seconds: Annotated[float, "time since it was begun, in seconds"]
    step: Annotated[int, "the first pass with the new map"]


@event
class MapChangeAbandoned(Event):
    """Tell that some rank could not be armed: all armings are taken back."""

    message = "map change abandoned"
    level = logging.WARNING

    step: Annotated[int, "the pass that is held meanwhile"]
    refused: Annotated[int, "ranks that refused their arming"]
    unanswered: Annotated[int, "ranks that did not answer"]


@event
class HeldGroupSettled(Event):
    """Tell that another gateway left a pass held.

    Its change is finished or taken back.
    """

    message = "held group settled"
    level = logging.WARNING

    step: Annotated[int, "the pass that was held"]


@event
class OrderUnanswered(Event):
    """Tell that an engine did not answer an order, which may be carried out late."""

    message = "order unanswered"

    engine: Address
    order: Annotated[str, "kind of the order"]
    error: Error


@event
class EngineNotRead(Event):
    """Tell that an engine gave no usable answer of itself."""

    message = "engine not read"

    engine: Address
    path: Annotated[str, "what was asked for"]
    error: Error
