"""Decide how a process that was told to stop treats new and running requests.

Load pattern: the processes of a site are replaced one after the other, each with some
seconds between its signal and its end. The balancer learns from two unanswered or
refused questions that it should send nowhere near; callers keep their connections and
go on using them; and while most of a zone's processes are stopping at the same time the
balancer sends to them all the same. A process that takes requests until its end cuts
the last ones off in the middle; one that refuses at once turns away what it could have
served.

So requests are taken until the balancer has noticed, while a usual answer still fits.
After that only those are taken whose own deadline is before the process's end: they
can't be cut, however long their answers take. All others are refused, to be sent
elsewhere. The process ends as soon as nothing runs and no more comes.
"""

# The balancer asks once a second and needs two misses.
NOTICE_SECONDS = 2.6
# Nearly all answers have ended by then.
ANSWER_SECONDS = 4.5
# For the last bytes to leave and the sockets to close.
MARGIN_SECONDS = 0.6
# Callers send several requests a second while any still come.
QUIET_SECONDS = 0.5


class StopPlan:
    """Follow one stop; times are loop time in seconds."""

    __slots__ = ("began", "closing", "last_taken", "latest", "noticed")

    def __init__(self, now, stop_seconds, notice_seconds=NOTICE_SECONDS):
        self.began = now
        self.last_taken = now
        # When the balancer has noticed.
        self.noticed = now + notice_seconds
        # When the process ends whatever still runs.
        self.latest = now + max(stop_seconds - MARGIN_SECONDS, 0.0)
        # Whether connections are being closed: nothing runs, or the time is over.
        self.closing = False

    def accepts(self, now, deadline):
        """Tell whether a request may begin now that is given up at its deadline.

        Guards against a stream that lasts longer than the process and breaks off in
        the middle: it came on a kept connection, or while all of a zone were stopping.
        How long an answer takes is not known beforehand, but its deadline is.
        """
        if self.closing:
            # It would be cut within moments.
            return False
        if deadline <= self.latest:
            return True
        return not self.is_noticed(now) and now < self.latest - ANSWER_SECONDS

    def is_noticed(self, now):
        """Tell whether the balancer sends here no longer."""
        return now >= self.noticed

    def is_over(self, now):
        """Tell whether what still runs is cut."""
        return now >= self.latest

    def record_accepted(self, now):
        """Note that a request was taken."""
        self.last_taken = now

    def may_end(self, now, running):
        """Tell whether the process may end while so many requests run."""
        if self.is_over(now):
            return True
        if running or not self.is_noticed(now):
            return False
        return now - self.last_taken >= QUIET_SECONDS

    def close(self):
        """Take nothing from now on."""
        self.closing = True
