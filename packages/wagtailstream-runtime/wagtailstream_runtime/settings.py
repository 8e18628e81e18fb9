"""Settings files in YAML, validated at startup."""

import base64
import binascii
import os
import pathlib
import typing

import pydantic
import yaml

from wagtailstream_core import errors, session, signing

MIN_SECRET_BYTES = 16
Port = typing.Annotated[int, pydantic.Field(ge=0, le=65535)]


class Section(pydantic.BaseModel):
    """Base class of a section of the settings; rejects unknown keys."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Secret(Section):
    """Reference to a secret, which is never written into the settings.

    Exactly one of the two sources must be set.

    :param file: path of a file that contains the secret in base64.
    :param environment: name of an environment variable that contains the
        secret in base64.
    """

    file: pathlib.Path | None = None
    environment: str | None = None

    @pydantic.model_validator(mode="after")
    def _check_one_source(self) -> "Secret":
        if (self.file is None) == (self.environment is None):
            raise ValueError("needs exactly one of file and environment")
        return self

    def load(self) -> bytes:
        """Return the secret's bytes.

        :raises errors.SettingsError: the secret is missing, malformed or too
            short.
        """
        source = str(self.file or self.environment)
        try:
            raw = base64.b64decode(self._read_text().strip(), validate=True)
        except KeyError as error:
            raise errors.SettingsError(
                "load secret", source, "the variable is not set"
            ) from error
        except OSError as error:
            raise errors.SettingsError(
                "load secret", source, str(error.strerror)
            ) from error
        except binascii.Error as error:
            raise errors.SettingsError(
                "load secret", source, "is not base64"
            ) from error
        if len(raw) < MIN_SECRET_BYTES:
            raise errors.SettingsError(
                "load secret", source, f"shorter than {MIN_SECRET_BYTES} bytes"
            )
        return raw

    def _read_text(self) -> str:
        if self.file is not None:
            return self.file.read_text()
        return os.environ[str(self.environment)]


class Keys(Section):
    """A set of shared keys, one of which signs.

    :param signing: identifier of the key that signs.
    :param keys: all accepted keys by identifier.
    """

    signing: str
    keys: dict[str, Secret]

    @pydantic.model_validator(mode="after")
    def _check_signing(self) -> "Keys":
        if self.signing not in self.keys:
            raise ValueError(f"signing key {self.signing} is not among keys")
        return self

    def load(self) -> dict[str, bytes]:
        """Return the bytes of all keys by identifier.

        :raises errors.SettingsError: a secret can't be loaded.
        """
        return {name: secret.load() for name, secret in self.keys.items()}

    def load_session_keys(self) -> session.SessionKeys:
        """Return the keys as session keys.

        :raises errors.SettingsError: a secret can't be loaded.
        """
        return session.SessionKeys(self.signing, self.load())


def _check_operator_keys(value: dict[str, str]) -> dict[str, str]:
    for name, text in value.items():
        try:
            raw = base64.b64decode(text, validate=True)
        except binascii.Error as error:
            raise ValueError(f"{name} is not base64") from error
        if len(raw) != signing.FLEET_KEY_BYTES:
            raise ValueError(f"{name} is not an Ed25519 public key")
    return value


OperatorKeys = typing.Annotated[
    dict[str, str],
    pydantic.Field(min_length=1),
    pydantic.AfterValidator(_check_operator_keys),
]


def make_keyring(
    operator_keys: dict[str, str], fleet_keys: Keys
) -> signing.Keyring:
    """Return the keyring for checking the configuration's signatures.

    :param operator_keys: base64 Ed25519 public keys by identifier.
    :param fleet_keys: the keys that all instances share.
    :raises errors.SettingsError: a secret can't be loaded.
    """
    operators = {
        name: base64.b64decode(text) for name, text in operator_keys.items()
    }
    return signing.Keyring(operators, fleet_keys.load())


class Statsd(Section):
    """The statsd server that metrics are sent to.

    :param prefix: prefix of each metric's name.
    """

    host: pydantic.IPvAnyAddress
    port: Port = 8125
    prefix: str = "wagtailstream"


class Tls(Section):
    """Certificates in PEM files.

    :param authority: the CA certificate that peers' certificates are checked
        against.
    """

    certificate: pydantic.FilePath
    private_key: pydantic.FilePath
    authority: pydantic.FilePath


class Platform(Section):
    """The platform's services.

    :param log: URL of the append-only log.
    :param instances: URL of the instance list.
    :param rating: URL of the service that rates answers; without it answers
        are not rated.
    :param retention_seconds: how long the log keeps records.
    """

    log: pydantic.HttpUrl
    instances: pydantic.HttpUrl
    rating: pydantic.HttpUrl | None = None
    retention_seconds: float = pydantic.Field(default=86400.0, gt=0)


class CommonSettings(Section):
    """The settings that entry and agent have in common.

    :param instance: this instance's unique name.
    :param operator_keys: base64 Ed25519 public keys by identifier.
    :param tls: certificates for calls between instances, in both directions;
        without it these calls are authenticated, but not encrypted.
    :param drain_seconds: how long a graceful shutdown waits for running work.
    :param bill_buffer: number of waiting bills at which new work is refused.
    :param bill_window_seconds: how long a batch collects bills before it is
        appended.
    :param collectors: number of agents through which all instances append
        bills and claims; 0 means that each instance appends its own.
    :param collector_window_seconds: how long a collector's batch collects
        records before it is appended.
    """

    instance: str = pydantic.Field(min_length=1, max_length=64)
    data_centre: str = pydantic.Field(min_length=1, max_length=64)
    host: pydantic.IPvAnyAddress
    port: Port
    platform: Platform
    operator_keys: OperatorKeys
    fleet_keys: Keys
    tls: Tls | None = None
    statsd: Statsd | None = None
    log_level: typing.Literal["debug", "info", "warning", "error"] = "info"
    drain_seconds: float = pydantic.Field(default=30.0, gt=0, le=3600)
    bill_buffer: int = pydantic.Field(default=10000, ge=1)
    bill_window_seconds: float = pydantic.Field(default=0.02, ge=0, le=5)
    collectors: int = pydantic.Field(default=0, ge=0, le=256)
    collector_window_seconds: float = pydantic.Field(default=0.02, ge=0, le=5)

    def load_keyring(self) -> signing.Keyring:
        """Return the keyring for checking the configuration's signatures.

        :raises errors.SettingsError: a secret can't be loaded.
        """
        return make_keyring(self.operator_keys, self.fleet_keys)

    def load_fleet_signer(self) -> signing.FleetSigner:
        """Return the signer for records that instances append.

        :raises errors.SettingsError: the secret can't be loaded.
        """
        keys = self.fleet_keys.load()
        return signing.FleetSigner(
            self.fleet_keys.signing, keys[self.fleet_keys.signing]
        )


SettingsT = typing.TypeVar("SettingsT", bound=Section)


def load(path: pathlib.Path, settings_class: type[SettingsT]) -> SettingsT:
    """Return the validated settings of a file.

    :param path: the YAML file.
    :param settings_class: the class to validate the file with.
    :raises errors.SettingsError: the file is unreadable or invalid; names the
        file, and for each invalid value its line, key and reason.
    """
    try:
        text = path.read_text()
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        value = yaml.safe_load(text)
    except (OSError, yaml.YAMLError) as error:
        raise errors.SettingsError(
            "load settings", str(path), str(error)
        ) from error
    try:
        return settings_class.model_validate(value)
    except pydantic.ValidationError as error:
        problems = [
            _format_problem(path, node, item["loc"], item["msg"])
            for item in error.errors()
        ]
        raise errors.SettingsError(
            "check settings", str(path), "\n" + "\n".join(problems)
        ) from error


def _format_problem(
    path: pathlib.Path,
    node: yaml.Node | None,
    location: tuple[int | str, ...],
    reason: str,
) -> str:
    key = ".".join(str(part) for part in location) or "(top)"
    return f"{path}:{_find_line(node, location)}: {key}: {reason}"


def _find_line(node: yaml.Node | None, location: tuple[int | str, ...]) -> int:
    line = 1
    for part in location:
        found = _find_child(node, part)
        if found is None:
            break
        node = found
        line = found.start_mark.line + 1
    return line


def _find_child(node: yaml.Node | None, part: int | str) -> yaml.Node | None:
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == str(part):
                return typing.cast(yaml.Node, value)
    if isinstance(node, yaml.SequenceNode) and part in range(len(node.value)):
        return typing.cast(yaml.Node, node.value[int(part)])
    return None
