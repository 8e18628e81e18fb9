"""Checks that routers heed what endpoints say of themselves."""

import collections
import collections.abc
import dataclasses

from standins import platform_endpoint

# An endpoint that is full may get this many requests from an instance between
# FULL_SLACK_SECONDS after it said so and the end of the time that it named, in
# the users' specification.
MAX_WHILE_FULL = 2
FULL_SLACK_SECONDS = 0.5


@dataclasses.dataclass(frozen=True)
class Call:
    """A caller's request.

    :param router: the address of the instance that got it.
    :param sent_at: when it was sent, by the monotonic clock.
    """

    router: str
    sent_at: float


@dataclasses.dataclass(frozen=True)
class Span:
    """A time in which an instance or a link was disturbed."""

    began: float
    ended: float


class NoticeCheck:
    """Collects what callers and faults did; then checks the endpoints.

    A request that a caller sent after an instance had passed on an answer in
    which an endpoint says that it leaves must not reach that endpoint from
    that instance. An instance that was restarted or paused since is excused,
    and for endpoints that are full also a link that was disturbed.
    """

    def __init__(self) -> None:
        # Callers may send a request again under its id.
        self._calls: dict[str, list[Call]] = collections.defaultdict(list)
        self._passed_at: dict[str, float] = {}
        self._spans: dict[str, list[Span]] = collections.defaultdict(list)

    def record_call(self, request: str, router: str, sent_at: float) -> None:
        """Record a request that a caller sends."""
        self._calls[request].append(Call(router, sent_at))

    def _find_call(self, contact: platform_endpoint.Contact) -> Call | None:
        """Return the call that led to a contact, the last one before it."""
        calls = [
            call
            for call in self._calls.get(contact.request, [])
            if call.sent_at <= contact.at
        ]
        return calls[-1] if calls else None

    def record_passed_on(self, request: str, at: float) -> None:
        """Record when a caller got an answer that says `leaving`."""
        self._passed_at[request] = at

    def record_disturbed(self, name: str, began: float, ended: float) -> None:
        """Record a disturbance of an instance or of the link to an endpoint.

        :param name: the instance's address or the endpoint's id.
        """
        self._spans[name].append(Span(began, ended))

    def is_disturbed(self, name: str, began: float, ended: float) -> bool:
        """Return whether an instance or a link was disturbed in a time."""
        return any(
            span.began <= ended and span.ended >= began
            for span in self._spans[name]
        )

    def list_violations(
        self,
        endpoints: collections.abc.Iterable[
            platform_endpoint.PlatformEndpoint
        ],
    ) -> list[str]:
        """Return one line for each broken promise."""
        return [
            line
            for endpoint in endpoints
            for line in (
                *self._check_leaving(endpoint),
                *self._check_full(endpoint),
            )
        ]

    def _check_leaving(
        self, endpoint: platform_endpoint.PlatformEndpoint
    ) -> collections.abc.Iterator[str]:
        told: dict[tuple[str, int], float] = {}
        for contact in endpoint.contacts:
            at = self._passed_at.get(contact.request)
            call = self._find_call(contact)
            if contact.is_leaving and at is not None and call is not None:
                key = (call.router, contact.start)
                told[key] = min(at, told.get(key, at))
        for contact in endpoint.contacts:
            call = self._find_call(contact)
            if call is None:
                continue
            at = told.get((call.router, contact.start))
            if (
                at is not None
                and call.sent_at > at
                and not self.is_disturbed(call.router, at, contact.at)
            ):
                yield (
                    f"{contact.request}: sent to {endpoint.identity} by"
                    f" {call.router} {call.sent_at - at:.3f} s after that had"
                    " passed on that it leaves"
                )

    def _check_full(
        self, endpoint: platform_endpoint.PlatformEndpoint
    ) -> collections.abc.Iterator[str]:
        by_router: dict[str, list[platform_endpoint.Contact]] = (
            collections.defaultdict(list)
        )
        for contact in endpoint.contacts:
            call = self._find_call(contact)
            if call is not None:
                by_router[call.router].append(contact)
        for router, contacts in by_router.items():
            for told in contacts:
                if not told.full_seconds:
                    continue
                end = told.at + told.full_seconds
                if self.is_disturbed(
                    router, told.at, end
                ) or self.is_disturbed(endpoint.identity, told.at, end):
                    continue
                count = sum(
                    told.at + FULL_SLACK_SECONDS < contact.at < end
                    and contact.start == told.start
                    for contact in contacts
                )
                if count > MAX_WHILE_FULL:
                    yield (
                        f"{endpoint.identity}: {count} requests from {router}"
                        f" while full for {told.full_seconds:.3f} s"
                    )
