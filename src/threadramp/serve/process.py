"""The base of all processes: settings, signals, planned stop, and the registry of roles."""

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
from threadramp.report.stall_monitor import StallMonitor
from threadramp.serve.service_settings import read_service_settings

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.platform.settings import BoxSettings
    from threadramp.serve.service_settings import ServiceSettings

ROLES: Registry[type[Process]] = Registry()
SETTINGS_CHECK_INTERVAL_S = 1.0  # the settings file may also change without a SIGHUP
EXIT_INVALID_SETTINGS = 2


class Process:
    """Base class of the processes.

    :param settings: the platform's settings for this box; read again when the file changes
    :param settings_version: version of the settings file from which they were read
    :param service_settings: threadramp's own settings; fixed until the process exits
    """

    def __init__(
        self,
        settings: BoxSettings,
        settings_version: tuple[int, int],
        service_settings: ServiceSettings,
    ) -> None:
        self.settings = settings
        self.service_settings = service_settings
        self.settings_version = settings_version
        self.incarnation = secrets.token_hex(4)
        self.stop_requested = threading.Event()
        self.reload_requested = threading.Event()

    def start(self) -> None:
        """Start all parts and return."""
        raise NotImplementedError

    def shut_down(self) -> None:
        """Finish open requests within the grace period of the platform."""

    def apply_settings(self, settings: BoxSettings) -> None:
        """Apply changed settings; open requests and connections are kept."""
        self.settings = settings

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT requests a planned stop."""
        signal.signal(signal.SIGTERM, lambda *_: self.stop_requested.set())
        signal.signal(signal.SIGINT, lambda *_: self.stop_requested.set())
        signal.signal(signal.SIGHUP, lambda *_: self.reload_requested.set())
        name = type(self).__name__
        log_state(
            "start",
            process=name,
            box=self.settings.name,
            incarnation=self.incarnation,
            own=msgspec.to_builtins(self.service_settings),
        )
        self.start()
        while not self.stop_requested.wait(SETTINGS_CHECK_INTERVAL_S):
            version = _settings_file_version()
            if self.reload_requested.is_set() or version != self.settings_version:
                self.reload_requested.clear()
                self.settings_version = version
                self._reload()
        log_state("stopping", process=name, box=self.settings.name)
        StallMonitor().start()  # a stop has a deadline, so a stall matters most here
        self.shut_down()
        log_state("stopped", process=name, box=self.settings.name)
        flush_logs()

    def _reload(self) -> None:
        try:
            settings = read_settings(settings_path())
        except FindingsError as error:
            log_state("settings_refused", findings=[str(finding) for finding in error.findings])
            return
        log_state("reload", box=settings.name, changed=settings != self.settings)
        self.apply_settings(settings)


def run_in_background(work: Callable[[], object]) -> threading.Thread:
    """Run work in a daemon thread, which does not delay the exit of the process."""
    thread = threading.Thread(target=work, daemon=True)
    thread.start()
    return thread


def serve(role: str) -> int:
    """Run the process of a role and return its exit code."""
    log_to_stdout()
    version = _settings_file_version()  # taken before the read, so that no later change is missed
    try:
        settings = read_settings(settings_path())
        service_settings = read_service_settings()
    except FindingsError as error:
        log_state("settings_refused", findings=[str(finding) for finding in error.findings])
        flush_logs()
        return EXIT_INVALID_SETTINGS
    ROLES[role](settings, version, service_settings).run()
    os._exit(0)  # a normal exit would wait for threads that are blocked on a response


def _settings_file_version() -> tuple[int, int]:
    """Return the modification time in ns and the size; (0, 0) if the file can't be read."""
    try:
        status = settings_path().stat()
    except OSError as error:
        print(f"settings file: {error}", file=sys.stderr)
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)


__all__ = ["ROLES", "Process", "run_in_background", "serve"]
