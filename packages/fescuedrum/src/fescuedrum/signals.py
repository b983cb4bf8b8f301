"""Hold signals that come while a program is still loading.

This module imports next to nothing, so that it can be used before all others.
"""

import os
import signal
import threading


class DeferredReload:
    """Remember that a reload was asked for before anyone could do it."""

    __slots__ = ("requested",)

    def __init__(self):
        self.requested = False

    def take(self, *_):
        self.requested = True


deferred_reload = DeferredReload()


def defer_reload():
    """Keep the signal to reload for later.

    Loading the libraries takes some tenths of a second. Without a handler the signal
    ends the process in that time, and the platform sees one that fails by itself.
    """
    if not may_handle_signals():
        return
    signal.signal(signal.SIGHUP, deferred_reload.take)


def restore_reload_default():
    """Let the signal end the process, as the terminal that closes means it to."""
    if not may_handle_signals():
        return
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    if deferred_reload.requested:
        os.kill(os.getpid(), signal.SIGHUP)


def may_handle_signals():
    """Tell whether this thread may set handlers.

    Only the main thread may, and setting one elsewhere raises ValueError. A command
    that runs in another thread is a guest in a program that handles its own signals.
    """
    return threading.current_thread() is threading.main_thread()
