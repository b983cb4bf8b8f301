"""Kill a process at a chosen step of the protocol, for crash tests."""

import enum
import os
import signal


class ProtocolStep(enum.StrEnum):
    """Name the protocol steps at which a process can be made to crash."""

    ENTRY_BEFORE_CLAIM = "entry-before-claim"
    ENTRY_CLAIMED = "entry-claimed"
    ENTRY_DISPATCHED = "entry-dispatched"
    ENTRY_ANSWERED = "entry-answered"
    ENTRY_REPLIED = "entry-replied"
    ENTRY_RECORDED = "entry-recorded"
    ENTRY_BEFORE_FENCE = "entry-before-fence"
    ENTRY_FENCED = "entry-fenced"
    AGENT_RECEIVED = "agent-received"
    AGENT_STARTED = "agent-started"
    AGENT_HEAD = "agent-head"
    AGENT_ENDED = "agent-ended"
    AGENT_FENCED = "agent-fenced"
    AGENT_RECORDED = "agent-recorded"


class FaultPoint:
    """Kill this process at the step that its settings name, if any."""

    __slots__ = ("step",)

    def __init__(self, step):
        self.step = ProtocolStep(step) if step else None

    def crash_if_set(self, step):
        """Kill the process with SIGKILL if this is the configured step."""
        if step is self.step:
            os.kill(os.getpid(), signal.SIGKILL)
