"""Defer signals that arrive while a program is still loading.

It imports only small standard modules, so that it can be used before all others.
"""

import os
import signal
import threading


class DeferredReload:
    """Record that a reload was requested before the process could reload."""

    __slots__ = ("requested",)

    def __init__(self):
        self.requested = False

    def record(self, *_):
        self.requested = True


deferred_reload = DeferredReload()


def defer_reload():
    """Record SIGHUP instead of letting it end the process.

    Importing the libraries takes some tenths of a second. Without a handler, SIGHUP
    ends the process in that time, and the platform takes it for a crash.
    """
    if not can_handle_signals():
        return
    signal.signal(signal.SIGHUP, deferred_reload.record)


def restore_reload_default():
    """Let SIGHUP end the process again, as a closing terminal expects.

    A signal that was deferred is sent again.
    """
    if not can_handle_signals():
        return
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    if deferred_reload.requested:
        os.kill(os.getpid(), signal.SIGHUP)


def can_handle_signals():
    """Return whether this thread may set signal handlers.

    Only the main thread may; elsewhere it raises ValueError. A command that runs in
    another thread is part of a program that handles signals itself.
    """
    return threading.current_thread() is threading.main_thread()
