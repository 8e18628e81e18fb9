"""Errors of the router; each names its step and its peer."""


class RouterError(Exception):
    """The base of the router's errors.

    :param step: what was being done.
    :param peer: with whom, or about what.
    :param detail: what went wrong.
    """

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step}: {peer}: {detail}")
        self.step = step
        self.peer = peer
        self.detail = detail


class StoreError(RouterError):
    """The platform's store gave no usable answer."""


class StoreCompactedError(StoreError):
    """The records that were asked for are no longer kept."""


class StoreConflictError(StoreError):
    """The condition of a conditional append did not hold."""


class NotSentError(RouterError):
    """Nothing of the request left this process; it has not run."""


class BrokenAnswerError(RouterError):
    """The answer is missing, cut or not HTTP; the request may have run."""


class SettingsError(RouterError):
    """A settings file can't be used."""
