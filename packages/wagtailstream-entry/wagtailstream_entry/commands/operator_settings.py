"""The settings of the operators' commands."""

import pydantic

from wagtailstream_core import signing
from wagtailstream_runtime import settings


class OperatorSettings(settings.Section):
    """What an operator's command needs.

    :param key_id: the operator's key, among ``operator_keys``.
    :param private_key: the operator's private key.
    :param entries: the addresses of entries to ask for their status.
    """

    log: pydantic.HttpUrl
    entries: tuple[pydantic.HttpUrl, ...] = ()
    key_id: str
    private_key: settings.Secret
    operator_keys: settings.OperatorKeys
    fleet_keys: settings.Keys

    def load_signer(self) -> signing.OperatorSigner:
        """Return the operator's signer.

        :raises errors.SettingsError: the private key can't be loaded.
        """
        return signing.OperatorSigner(self.key_id, self.private_key.load())

    def load_keyring(self) -> signing.Keyring:
        """Return the keys that are trusted.

        :raises errors.SettingsError: a secret can't be loaded.
        """
        return settings.make_keyring(self.operator_keys, self.fleet_keys)
