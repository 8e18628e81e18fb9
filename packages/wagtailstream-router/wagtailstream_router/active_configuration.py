"""The configuration that is in force in this process."""

from wagtailstream_router import configuration, event_log, replica, wire

CONFIGURATION_KEY = "config"
# The limits until a configuration is loaded, from the users' specification.
DEFAULT_LIMITS = configuration.CallerLimits(
    header_bytes=16 * 1024,
    body_bytes=4 * 1024 * 1024,
    header_ms=3000.0,
    idle_ms=15000.0,
)


class ActiveConfiguration:
    """Decodes the newest configuration; its version never decreases.

    :param copy: the replica of the operator's topic.
    :param codec: decodes configurations.
    :param log: gets a line for each new or invalid configuration.
    """

    def __init__(
        self,
        copy: replica.Replica,
        codec: wire.RecordCodec,
        log: event_log.EventLog,
    ) -> None:
        self._copy = copy
        self._codec = codec
        self._log = log
        self._seen_change = -1
        self._seen_value: bytes | None = None
        self._value: configuration.Configuration | None = None

    @property
    def is_loaded(self) -> bool:
        """Whether a configuration is in force."""
        return self.get() is not None

    def get(self) -> configuration.Configuration | None:
        """Return the configuration in force; None before the first one."""
        if self._copy.change != self._seen_change:
            self._seen_change = self._copy.change
            self._refresh()
        return self._value

    @property
    def limits(self) -> configuration.CallerLimits:
        """The limits of the configuration, or `DEFAULT_LIMITS` without one."""
        value = self.get()
        return value.limits if value else DEFAULT_LIMITS

    def _refresh(self) -> None:
        record = self._copy.records.get(CONFIGURATION_KEY)
        if record is None or record.value is None:
            return
        if record.value == self._seen_value:
            return
        self._seen_value = record.value
        try:
            value = self._codec.decode_configuration(record.value)
        except ValueError as error:
            self._log.write(
                "configuration_ignored",
                offset=record.offset,
                detail=str(error),
            )
            return
        if self._value is not None and value.version <= self._value.version:
            self._log.write(
                "configuration_ignored",
                offset=record.offset,
                detail=f"version {value.version} is not newer than"
                f" {self._value.version}, which is in force",
            )
            return
        self._value = value
        self._log.write(
            "configuration",
            version=value.version,
            offset=record.offset,
            routes=len(value.routes),
        )
