"""Events about processes, their dependencies and their connections to others."""

import logging
from typing import Annotated

from fescuedrum.events.event import Error, Event, event

Release = Annotated[str, "release that runs"]
Running = Annotated[int, "requests that run"]
Connections = Annotated[int, "callers' connections that are open"]
PeerName = Annotated[str, "name of the other process"]
Host = Annotated[str, "address of the other process"]


@event
class GatewayStarted(Event):
    """Logged when a gateway starts listening."""

    message = "gateway started"

    release: Release


@event
class GatewayDraining(Event):
    """Logged when a gateway is told to stop and lets running requests end."""

    message = "gateway draining"

    running: Running
    connections: Connections


@event
class GatewayDrained(Event):
    """Logged when no request runs at a gateway or its drain time is over.

    Callers may still be reading their responses.
    """

    message = "gateway drained"

    running: Running
    connections: Connections
    seconds: Annotated[float, "time since it was told to stop, in seconds"]


@event
class GatewayStopped(Event):
    """Logged when a gateway's process ends."""

    message = "gateway stopped"

    connections: Annotated[int, "callers' connections that are cut"]


@event
class EntryStarted(Event):
    """Logged when an entry starts listening."""

    message = "entry started"

    release: Release


@event
class EntryDraining(Event):
    """Logged when an entry is told to stop and lets running requests end."""

    message = "entry draining"

    running: Running
    connections: Connections


@event
class EntryDrained(Event):
    """Logged when no request runs at an entry or its drain time is over."""

    message = "entry drained"

    running: Running
    connections: Connections
    seconds: Annotated[float, "time since it was told to stop, in seconds"]


@event
class EntryStopped(Event):
    """Logged when an entry's process ends."""

    message = "entry stopped"


@event
class AgentStarted(Event):
    """Logged when an agent starts listening."""

    message = "agent started"

    release: Release


@event
class AgentDraining(Event):
    """Logged when an agent is told to stop and lets running requests end."""

    message = "agent draining"

    running: Running


@event
class AgentDrained(Event):
    """Logged when an agent has finished and sent everything or is out of time."""

    message = "agent drained"

    running: Running
    unsent: Annotated[int, "bytes that are not sent to entries"]
    seconds: Annotated[float, "time since it was told to stop, in seconds"]


@event
class AgentStopped(Event):
    """Logged when an agent's process ends."""

    message = "agent stopped"


@event
class TaskFailed(Event):
    """Logged when a background task ends with an unexpected error.

    The traceback follows.
    """

    message = "task failed"
    level = logging.CRITICAL


@event
class ProcessStalled(Event):
    """Logged when the process did not run for a while.

    It was suspended or got no processor time.
    """

    message = "process stalled"
    level = logging.WARNING

    seconds: Annotated[float, "delay of a timer, in seconds"]


@event
class MemoryLow(Event):
    """Logged when a gateway holds so many bytes for callers that bodies must wait.

    It is logged again after ten seconds at the earliest.
    """

    message = "memory low"
    level = logging.WARNING

    bodies: Annotated[int, "bytes of requests' bodies"]
    answers: Annotated[int, "bytes of answers that are read whole"]
    unread: Annotated[int, "bytes of answers that callers have not read"]
    bound: Annotated[int, "highest sum of these"]


@event
class SettingsWarning(Event):
    """Logged when valid settings contain something that should be reviewed."""

    message = "settings"
    level = logging.WARNING

    finding: Annotated[str, "the finding and how to resolve it"]


@event
class SettingsReloaded(Event):
    """Logged when the settings have been read again."""

    message = "settings reloaded"

    seeds: Annotated[list, "the seeds in use from now on"]


@event
class SettingsNotReloaded(Event):
    """Logged when the changed settings are invalid.

    The previous settings stay in use.
    """

    message = "settings not reloaded"
    level = logging.ERROR

    findings: Annotated[list, "all errors found"]


@event
class GatewayAddressNotUnderstood(Event):
    """Logged when a row or a beacon names something that is no IP address."""

    message = "gateway address not understood"
    level = logging.WARNING

    host: Annotated[str, "its first characters"]


@event
class AddressNotWritten(Event):
    """Logged when the process can't write its own address to the store.

    The seeds are used meanwhile.
    """

    message = "address not written"

    error: Error


@event
class GatewayHeard(Event):
    """Logged when a gateway's first beacon arrives, or its first after a silence."""

    message = "gateway heard"

    peer: PeerName
    host: Host


@event
class PeerGaveNoChanges(Event):
    """Logged when a gateway that has newer rows does not send them."""

    message = "peer gave no changes"

    table: Annotated[str, "`operators` or `endpoints`"]
    peer: Host
    error: Error


@event
class DatagramRefused(Event):
    """Logged when a datagram is sent to an address where no process listens."""

    message = "datagram refused"
    level = logging.DEBUG

    error: Error


@event
class DatagramNotUnderstood(Event):
    """Logged when a received datagram can't be decoded."""

    message = "datagram not understood"
    level = logging.WARNING

    sender: Annotated[str, "address that it came from"]
    error: Error


@event
class ConnectionEnded(Event):
    """Logged when an entry's connection to an agent ends.

    The entry opens another one.
    """

    message = "connection ended"

    agent: PeerName
    error: Error


@event
class ConnectionSilent(Event):
    """Logged when nothing is received on an entry's connection to an agent.

    The entry closes the connection.
    """

    message = "connection silent"
    level = logging.WARNING

    agent: PeerName


@event
class PeerNotReached(Event):
    """Logged when an entry's connection to another entry fails or ends.

    The entry tries again.
    """

    message = "peer not reached"

    peer: PeerName
    error: Error


@event
class PeerRefused(Event):
    """Logged when a process connects and does not prove its identity."""

    message = "peer refused"
    level = logging.WARNING

    error: Error


@event
class EntryRefused(Event):
    """Logged when an entry that connected to an agent breaks the protocol."""

    message = "entry refused"
    level = logging.WARNING

    error: Error


@event
class EntrySilent(Event):
    """Logged when nothing is received from an entry.

    The agent closes the connection.
    """

    message = "entry silent"
    level = logging.WARNING

    entry: PeerName


@event
class CertificateReloaded(Event):
    """Logged when a certificate has been read again."""

    message = "certificate reloaded"

    file: Annotated[str, "path of the certificate"]


@event
class CertificateNotReloaded(Event):
    """Logged when a certificate can't be used.

    The previous certificate stays in use.
    """

    message = "certificate not reloaded"
    level = logging.ERROR

    error: Error
