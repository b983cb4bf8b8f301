"""Tell of the lives of processes, their dependencies, and what they hear of others."""

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
    """Tell that a gateway listens."""

    message = "gateway started"

    release: Release


@event
class GatewayDraining(Event):
    """Tell that a gateway was told to stop and lets running requests end."""

    message = "gateway draining"

    running: Running
    connections: Connections


@event
class GatewayDrained(Event):
    """Tell that a gateway has no more requests to end, or no more time."""

    message = "gateway drained"

    running: Running
    connections: Connections
    seconds: Annotated[float, "time since it was told to stop, in seconds"]


@event
class GatewayStopped(Event):
    """Tell that a gateway's process ends."""

    message = "gateway stopped"


@event
class EntryStarted(Event):
    """Tell that an entry listens."""

    message = "entry started"

    release: Release


@event
class EntryDraining(Event):
    """Tell that an entry was told to stop and lets running requests end."""

    message = "entry draining"

    running: Running
    connections: Connections


@event
class EntryDrained(Event):
    """Tell that an entry has no more requests to end, or no more time."""

    message = "entry drained"

    running: Running
    connections: Connections
    seconds: Annotated[float, "time since it was told to stop, in seconds"]


@event
class EntryStopped(Event):
    """Tell that an entry's process ends."""

    message = "entry stopped"


@event
class AgentStarted(Event):
    """Tell that an agent listens."""

    message = "agent started"

    release: Release


@event
class AgentDraining(Event):
    """Tell that an agent was told to stop and lets running requests end."""

    message = "agent draining"

    running: Running


@event
class AgentDrained(Event):
    """Tell that an agent has nothing more to end or to tell, or no more time."""

    message = "agent drained"

    running: Running
    unsent: Annotated[int, "bytes that entries have not taken"]
    seconds: Annotated[float, "time since it was told to stop, in seconds"]


@event
class AgentStopped(Event):
    """Tell that an agent's process ends."""

    message = "agent stopped"


@event
class TaskFailed(Event):
    """Tell that a lasting task ended on an error nobody foresaw.

    Its traceback follows.
    """

    message = "task failed"
    level = logging.CRITICAL


@event
class ProcessStalled(Event):
    """Tell that the process did nothing for a while: frozen, or without processor."""

    message = "process stalled"
    level = logging.WARNING

    seconds: Annotated[float, "by how much a timer was late, in seconds"]


@event
class SettingsWarning(Event):
    """Tell that the settings are valid, but something in them deserves a look."""

    message = "settings"
    level = logging.WARNING

    finding: Annotated[str, "the finding and its remedy"]


@event
class SettingsReloaded(Event):
    """Tell that the settings were read again."""

    message = "settings reloaded"

    seeds: Annotated[list, "the seeds that hold from now on"]


@event
class SettingsNotReloaded(Event):
    """Tell that the settings as they are now have faults; the former ones hold."""

    message = "settings not reloaded"
    level = logging.ERROR

    findings: Annotated[list, "every fault"]


@event
class AddressNotWritten(Event):
    """Tell that the own address could not be written to the store.

    The seeds serve meanwhile.
    """

    message = "address not written"

    error: Error


@event
class GatewayHeard(Event):
    """Tell that another gateway is heard for the first time, or after a silence."""

    message = "gateway heard"

    peer: PeerName
    host: Host


@event
class PeerGaveNoChanges(Event):
    """Tell that a gateway that is ahead did not give what it has."""

    message = "peer gave no changes"

    table: Annotated[str, "`operators` or `endpoints`"]
    peer: Host
    error: Error


@event
class DatagramRefused(Event):
    """Tell that no process listens where a datagram went."""

    message = "datagram refused"
    level = logging.DEBUG

    error: Error


@event
class DatagramNotUnderstood(Event):
    """Tell that a datagram that came can't be decoded."""

    message = "datagram not understood"
    level = logging.WARNING

    sender: Annotated[str, "address that it came from"]
    error: Error


@event
class ConnectionEnded(Event):
    """Tell that an entry's connection to an agent ended; another one is opened."""

    message = "connection ended"

    agent: PeerName
    error: Error


@event
class ConnectionSilent(Event):
    """Tell that nothing comes on an entry's connection to an agent: it is given up."""

    message = "connection silent"
    level = logging.WARNING

    agent: PeerName


@event
class PeerNotReached(Event):
    """Tell that an entry's connection to another one failed or ended.

    It is tried again.
    """

    message = "peer not reached"

    peer: PeerName
    error: Error


@event
class PeerRefused(Event):
    """Tell that a process connected and did not prove who it is."""

    message = "peer refused"
    level = logging.WARNING

    error: Error


@event
class EntryRefused(Event):
    """Tell that an entry that connected to an agent broke the protocol."""

    message = "entry refused"
    level = logging.WARNING

    error: Error


@event
class EntrySilent(Event):
    """Tell that nothing comes from an entry: its connection is given up."""

    message = "entry silent"
    level = logging.WARNING

    entry: PeerName


@event
class CertificateReloaded(Event):
    """Tell that a certificate was read again."""

    message = "certificate reloaded"

    file: Annotated[str, "path of the certificate"]


@event
class CertificateNotReloaded(Event):
    """Tell that a certificate can't be used; the former one holds."""

    message = "certificate not reloaded"
    level = logging.ERROR

    error: Error
