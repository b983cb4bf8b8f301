"""Hold signals that come while a program is still loading.

This module imports next to nothing, so that it can be used before all others.
"""

import os
import signal
import threading


class HeldReload:
    """Remember that a reload was asked for before anyone could do it."""

    __slots__ = ("asked",)

    def __init__(self):
        self.asked = False

    def take(self, *_):
        self.asked = True


held_reload = HeldReload()


def hold_reload():
    """Keep the signal to reload for later.

    Loading the libraries takes some tenths of a second. Without a handler the signal
    ends the process in that time, and the platform sees one that fails by itself.
    """
    if not may_handle_signals():
        return
    signal.signal(signal.SIGHUP, held_reload.take)


def release_reload():
    """Let the signal end the process, as the terminal that closes means it to."""
    if not may_handle_signals():
        return
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    if held_reload.asked:
        os.kill(os.getpid(), signal.SIGHUP)


def may_handle_signals():
    """Tell whether this thread may set handlers.

    Only the main thread may, and setting one elsewhere raises ValueError. A command
    that runs in another thread is a guest in a program that handles its own signals.
    """
    return threading.current_thread() is threading.main_thread()
