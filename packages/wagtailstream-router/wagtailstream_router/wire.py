"""Interfaces of the codecs for the platform's headers and records."""

import abc
import collections.abc

from wagtailstream_router import (
    configuration,
    endpoint,
    request,
    rollout_state,
)

HeaderPairs = collections.abc.Sequence[tuple[str, str]]


class HeaderCodec(abc.ABC):
    """Decodes and encodes the heads of requests and answers."""

    @abc.abstractmethod
    def decode_request(
        self,
        method: str,
        target: str,
        headers: HeaderPairs,
        body: bytes,
        arrived: float,
    ) -> request.Request:
        """Return a caller's request.

        :param arrived: when its head was read, by the monotonic clock.
        :raises ValueError: a header can't be decoded.
        """

    @abc.abstractmethod
    def find_identity(self, headers: HeaderPairs) -> str:
        """Return the id of a caller's request; "" if it sent none."""

    @abc.abstractmethod
    def encode_request(
        self, call: request.Request, dispatch: request.Dispatch
    ) -> list[tuple[str, str]]:
        """Return the headers of one attempt at an endpoint."""

    @abc.abstractmethod
    def decode_answer(
        self, status: int, headers: HeaderPairs
    ) -> request.AnswerHead:
        """Return the head of an endpoint's answer."""

    @abc.abstractmethod
    def encode_refusal(
        self, identity: str, retry_after_seconds: float | None
    ) -> list[tuple[str, str]]:
        """Return the headers of an answer that the router itself generates.

        :param retry_after_seconds: when the caller may retry; None to omit it.
        """


class RecordCodec(abc.ABC):
    """Decodes the store's records of the operator and the endpoints."""

    @abc.abstractmethod
    def decode_configuration(
        self, value: bytes
    ) -> configuration.Configuration:
        """Return a configuration.

        :raises ValueError: the value is not a configuration.
        """

    @abc.abstractmethod
    def decode_endpoint(
        self, identity: str, value: bytes
    ) -> endpoint.Endpoint | None:
        """Return an endpoint; None if the value is not an endpoint's entry."""

    @abc.abstractmethod
    def read_write_order(self, value: bytes) -> tuple[int, int] | None:
        """Return when an endpoint's entry was written.

        :returns: the Unix time in ms of the endpoint's start and the number of
            the write since; None if the entry states none.
        """

    @abc.abstractmethod
    def find_emptied_zone(self, key: str) -> str | None:
        """Return the data centre that a record orders to be emptied.

        :param key: the record's key in the operator's topic.
        :returns: None if the record is no such order.
        """

    @abc.abstractmethod
    def decode_order(self, value: bytes) -> rollout_state.Order:
        """Return the order of a roll-out.

        :raises ValueError: the value is not an order.
        """

    @abc.abstractmethod
    def encode_status(self, record: rollout_state.StatusRecord) -> bytes:
        """Return a roll-out's status in the operator's format."""

    @abc.abstractmethod
    def decode_status(self, value: bytes) -> rollout_state.StatusRecord:
        """Return a roll-out's status.

        :raises ValueError: the value is not a status.
        """
