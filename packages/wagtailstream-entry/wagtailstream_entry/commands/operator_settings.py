"""The settings for the operators' commands."""

import pydantic

from wagtailstream_core import signing
from wagtailstream_runtime import settings


class OperatorSettings(settings.Section):
    """The settings file of an operator.

    :param log: the base URL of the platform's log.
    :param key_id: the name of the operator's key among ``operator_keys``.
    :param private_key: the operator's private key.
    :param entries: the base URLs of entries to ask for their status.
    """

    log: pydantic.HttpUrl
    entries: tuple[pydantic.HttpUrl, ...] = ()
    key_id: str
    private_key: settings.Secret
    operator_keys: settings.OperatorKeys
    fleet_keys: settings.Keys

    def load_signer(self) -> signing.OperatorSigner:
        """Return a signer with the operator's private key.

        :raises errors.SettingsError: the private key can't be loaded.
        """
        return signing.OperatorSigner(self.key_id, self.private_key.load())

    def load_keyring(self) -> signing.Keyring:
        """Return the trusted keys of operators and of the fleet.

        :raises errors.SettingsError: a secret can't be loaded.
        """
        return settings.make_keyring(self.operator_keys, self.fleet_keys)
