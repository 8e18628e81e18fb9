"""Reloads settings while the process runs."""

import abc
import asyncio
import collections.abc
import contextlib
import dataclasses

from wagtailstream_router import errors, event_log, node

# Interval between checks of the files. A change without a signal takes effect
# well within the two seconds that a change of the configuration may take.
POLL_SECONDS = 1.0
# Settings that a running process applies; changes of others need a restart.
RELOADABLE = frozenset(
    {
        "admission",
        "bounds",
        "buffers",
        "credits_",
        "learns_speeds",
        "seeds",
        "turn_away_share",
    }
)


class SettingsSource(abc.ABC):
    """Where a process's settings come from."""

    @abc.abstractmethod
    def is_changed(self) -> bool:
        """Return whether the settings may have changed since the last read."""

    @abc.abstractmethod
    def read(self) -> node.Settings:
        """Return the settings.

        :raises errors.SettingsError: a file is unreadable or invalid.
        """


class FixedSettings(SettingsSource):
    """Settings without a file, for processes that keep theirs and for tests.

    :param settings: the settings that `read` returns; may be replaced.
    """

    def __init__(self, settings: node.Settings) -> None:
        self.settings = settings

    def is_changed(self) -> bool:
        """Return False; only a reload request reads the settings again."""
        return False

    def read(self) -> node.Settings:
        """Return the settings."""
        return self.settings


class SettingsWatch:
    """Reloads settings when their files change or a signal requests it.

    :param source: reads the settings.
    :param settings: the settings in force.
    :param apply: called with the new settings if a reloadable one changed.
    :param log: gets a line for each reload.
    """

    def __init__(
        self,
        source: SettingsSource,
        settings: node.Settings,
        apply: collections.abc.Callable[[node.Settings], None],
        log: event_log.EventLog,
    ) -> None:
        self._source = source
        self._settings = settings
        self._apply = apply
        self._log = log
        self._signalled = asyncio.Event()

    def request_reload(self) -> None:
        """Request a reload, even if the files did not change."""
        self._signalled.set()

    async def run(self) -> None:
        """Reload the settings on changes and requests until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(POLL_SECONDS):
                    await self._signalled.wait()
            cause = "signal" if self._signalled.is_set() else "file"
            if cause == "signal" or self._source.is_changed():
                self._signalled.clear()
                self._reload(cause)

    def _reload(self, cause: str) -> None:
        try:
            read = self._source.read()
        except errors.SettingsError as error:
            # A partly written file is read again at the next change or signal.
            self._log.write("settings_ignored", cause=cause, detail=str(error))
            return
        changed = [
            field.name
            for field in dataclasses.fields(node.Settings)
            if getattr(read, field.name) != getattr(self._settings, field.name)
        ]
        taken = {
            name: getattr(read, name) for name in changed if name in RELOADABLE
        }
        self._settings = dataclasses.replace(self._settings, **taken)
        if taken:
            self._apply(self._settings)
        self._log.write(
            "settings_reloaded",
            cause=cause,
            taken=sorted(taken),
            need_restart=sorted(set(changed) - RELOADABLE),
        )
