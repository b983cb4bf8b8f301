"""Decide how a stopping process treats new and running requests (graceful shutdown).

Load pattern: the processes of a site are replaced one after the other, each with some
seconds between its stop signal and its end. The balancer stops sending requests after
two health checks that were refused or not answered; callers keep using their open
connections; and while most of a zone's processes are stopping at the same time, the
balancer sends requests to them regardless. A process that accepts requests until its
end aborts the last ones; one that refuses at once turns away requests that it could
have served.

So requests are accepted until the balancer has noticed, while a usual answer still
fits. After that only requests are accepted whose own deadline is before the end of the
process: they can't be aborted, however long their answers take. All others are refused,
to be sent elsewhere. The process ends as soon as nothing runs and no more requests
come.
"""

# The balancer checks once per second and stops sending after two failed checks.
NOTICE_SECONDS = 2.6
# Nearly all answers take no longer than this.
ANSWER_SECONDS = 4.5
# Reserved for sending the last bytes and closing the sockets.
MARGIN_SECONDS = 0.6
# Callers that still use the process send several requests per second.
QUIET_SECONDS = 0.5


class StopPlan:
    """Schedule of one graceful shutdown; times are loop time in seconds."""

    __slots__ = ("began", "closing", "last_taken", "latest", "noticed")

    def __init__(self, now, stop_seconds, notice_seconds=NOTICE_SECONDS):
        self.began = now
        self.last_taken = now
        # When the balancer has noticed the stop.
        self.noticed = now + notice_seconds
        # When the process aborts the requests that still run.
        self.latest = now + max(stop_seconds - MARGIN_SECONDS, 0.0)
        # Whether connections are being closed: no request runs, or the time is up.
        self.closing = False

    def accepts(self, now, deadline):
        """Return whether a request with this deadline may start now.

        Guards against a stream that outlasts the process and is aborted: it came on an
        open connection, or while all processes of a zone were stopping. How long an
        answer takes is not known in advance, but its deadline is.
        """
        if self.closing:
            # The request would be aborted almost immediately.
            return False
        if deadline <= self.latest:
            return True
        return not self.is_noticed(now) and now < self.latest - ANSWER_SECONDS

    def is_noticed(self, now):
        """Return whether the balancer has stopped sending requests here."""
        return now >= self.noticed

    def is_over(self, now):
        """Return whether the requests that still run must be aborted."""
        return now >= self.latest

    def record_accepted(self, now):
        """Record that a request was accepted."""
        self.last_taken = now

    def may_end(self, now, running):
        """Return whether the process may end with this many requests running."""
        if self.is_over(now):
            return True
        if running or not self.is_noticed(now):
            return False
        return now - self.last_taken >= QUIET_SECONDS

    def close(self):
        """Accept no more requests."""
        self.closing = True
