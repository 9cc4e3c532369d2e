"""What the processes share: settings, signals, the stop, and their registry."""

from __future__ import annotations

import os
import secrets
import signal
import sys
import threading
from typing import TYPE_CHECKING

import msgspec

from threadramp.config.findings import FindingsError
from threadramp.config.registry import Registry
from threadramp.platform.settings import read_settings, settings_path
from threadramp.report.log import flush_logs, log_state, log_to_stdout
from threadramp.serve.service_settings import read_service_settings

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.platform.settings import BoxSettings
    from threadramp.serve.service_settings import ServiceSettings

ROLES: Registry[type[Process]] = Registry()
SETTINGS_LOOK_S = 1.0  # how often the settings file is looked at; it changes without a signal too
BAD_SETTINGS = 2  # exit code


class Process:
    """Base of the processes.

    :param settings: as they were at the start; what may change is read again
    :param stamp: tells the state of the settings file from which they were read
    :param own: our own settings; they hold until the process ends
    """

    def __init__(self, settings: BoxSettings, stamp: tuple[int, int], own: ServiceSettings) -> None:
        self.settings = settings
        self.own = own
        self.stamp = stamp
        self.incarnation = secrets.token_hex(4)
        self.stop = threading.Event()
        self.reload = threading.Event()

    def start(self) -> None:
        """Start serving."""
        raise NotImplementedError

    def finish(self) -> None:
        """Finish what is open, within the time that the platform gives."""

    def changed(self, settings: BoxSettings) -> None:
        """Take over changed settings; nothing that is open is dropped."""
        self.settings = settings

    def run(self) -> None:
        """Serve until a planned stop."""
        signal.signal(signal.SIGTERM, lambda *_: self.stop.set())
        signal.signal(signal.SIGINT, lambda *_: self.stop.set())
        signal.signal(signal.SIGHUP, lambda *_: self.reload.set())
        name = type(self).__name__
        log_state(
            "start",
            process=name,
            box=self.settings.name,
            incarnation=self.incarnation,
            own=msgspec.to_builtins(self.own),
        )
        self.start()
        while not self.stop.wait(SETTINGS_LOOK_S):
            now = _stamp()
            if self.reload.is_set() or now != self.stamp:
                self.reload.clear()
                self.stamp = now
                self._reload()
        log_state("stopping", process=name, box=self.settings.name)
        self.finish()
        log_state("stopped", process=name, box=self.settings.name)
        flush_logs()

    def _reload(self) -> None:
        try:
            settings = read_settings(settings_path())
        except FindingsError as error:
            log_state("settings_refused", findings=[str(one) for one in error.findings])
            return
        log_state("reload", box=settings.name, changed=settings != self.settings)
        self.changed(settings)


def run_in_background(work: Callable[[], object]) -> threading.Thread:
    """Start work that the end of the process does not wait for."""
    thread = threading.Thread(target=work, daemon=True)
    thread.start()
    return thread


def serve(role: str) -> int:
    """Run the process of a role and return its exit code."""
    log_to_stdout()
    stamp = _stamp()  # before the file is read, so that no change after it is missed
    try:
        settings = read_settings(settings_path())
        own = read_service_settings()
    except FindingsError as error:
        log_state("settings_refused", findings=[str(one) for one in error.findings])
        flush_logs()
        return BAD_SETTINGS
    ROLES[role](settings, stamp, own).run()
    os._exit(0)  # threads that still wait for an answer would hold the process up


def _stamp() -> tuple[int, int]:
    """Return what tells two states of the settings file apart."""
    try:
        found = settings_path().stat()
    except OSError as error:
        print(f"settings file: {error}", file=sys.stderr)
        return (0, 0)
    return (found.st_mtime_ns, found.st_size)


__all__ = ["ROLES", "Process", "run_in_background", "serve"]
