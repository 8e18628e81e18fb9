"""The router's exceptions; each names the failed step and the peer."""


class RouterError(Exception):
    """Base class of the router's exceptions.

    :param step: the operation that failed.
    :param peer: the address, topic or file of the operation.
    :param detail: what went wrong.
    """

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step}: {peer}: {detail}")
        self.step = step
        self.peer = peer
        self.detail = detail


class StoreError(RouterError):
    """The platform's store did not give a usable answer."""


class StoreCompactedError(StoreError):
    """The store does not have the requested records."""


class StoreConflictError(StoreError):
    """The topic does not end at the offset that an append expects."""


class StoreEraError(StoreError):
    """The store came back from an older copy during the call.

    Whether an append took effect is unknown.
    """


class NotSentError(RouterError):
    """No byte of the request was sent, so it has not run."""


class BrokenAnswerError(RouterError):
    """The answer is missing, cut or invalid; the request may have run."""


class SettingsError(RouterError):
    """A settings file is unreadable or invalid."""
