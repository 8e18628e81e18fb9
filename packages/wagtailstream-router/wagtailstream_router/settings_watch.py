"""Takes over settings that change while the process runs."""

import abc
import asyncio
import collections.abc
import contextlib
import dataclasses

from wagtailstream_router import errors, event_log, node

# Between looks at the files: a change without a signal is in force well
# within the two seconds that a change of the configuration has.
POLL_SECONDS = 1.0
# What a running process takes over; all else holds until its restart.
RELOADABLE = frozenset({"bounds", "credits_", "seeds"})


class SettingsSource(abc.ABC):
    """Where a process's settings come from."""

    @abc.abstractmethod
    def is_changed(self) -> bool:
        """Return whether they may have changed since they were read."""

    @abc.abstractmethod
    def read(self) -> node.Settings:
        """Return the settings.

        :raises errors.SettingsError: they can't be used.
        """


class FixedSettings(SettingsSource):
    """Settings that never change by themselves; for tests.

    :param settings: what is read; may be set anew.
    """

    def __init__(self, settings: node.Settings) -> None:
        self.settings = settings

    def is_changed(self) -> bool:
        """Return that they did not change."""
        return False

    def read(self) -> node.Settings:
        """Return the settings."""
        return self.settings


class SettingsWatch:
    """Reads settings again when their files change or a signal says so.

    :param source: where they come from.
    :param settings: those in force.
    :param take: takes those that come into force.
    :param log: takes each reload.
    """

    def __init__(
        self,
        source: SettingsSource,
        settings: node.Settings,
        take: collections.abc.Callable[[node.Settings], None],
        log: event_log.EventLog,
    ) -> None:
        self._source = source
        self._settings = settings
        self._take = take
        self._log = log
        self._signalled = asyncio.Event()

    def note_signal(self) -> None:
        """Read the settings again soon, whether or not they changed."""
        self._signalled.set()

    async def run(self) -> None:
        """Watch until cancelled."""
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
            # A half-written file is read again at the next look or signal.
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
            self._take(self._settings)
        self._log.write(
            "settings_reloaded",
            cause=cause,
            taken=sorted(taken),
            need_restart=sorted(set(changed) - RELOADABLE),
        )
