"""Chooses the version of a service that a request goes to."""

import collections.abc
import math

import xxhash

from wagtailstream_router import (
    directory,
    event_log,
    exposure,
    job,
    rollout_progress,
    rollout_state,
)


class VersionChoice:
    """Chooses among the versions of a service during and after roll-outs.

    :param progress: the newest order of each service.
    :param rejected: the versions of each service that were found bad.
    :param bounds: the most requests that a bad version may get.
    :param list_withheld: returns the versions of a service whose endpoints
        are all in emptied data centres.
    :param log: gets a line for each choice during a roll-out.
    """

    def __init__(
        self,
        progress: collections.abc.Mapping[str, rollout_progress.Progress],
        rejected: collections.abc.Mapping[str, list[str]],
        bounds: exposure.ExposureBounds,
        list_withheld: collections.abc.Callable[
            [str], collections.abc.Set[str]
        ],
        log: event_log.EventLog,
    ) -> None:
        self._progress = progress
        self._rejected = rejected
        self._bounds = bounds
        self._list_withheld = list_withheld
        self._log = log
        # The versions of each service, in the order in which they were seen.
        self._seen_versions: dict[str, list[str]] = {}

    def set_bounds(self, bounds: exposure.ExposureBounds) -> None:
        """Replace the bounds of the exposure."""
        self._bounds = bounds

    def filter(
        self,
        task: job.Job,
        members: collections.abc.Sequence[directory.Member],
    ) -> collections.abc.Sequence[directory.Member]:
        """Return the members of the version chosen for a request.

        Of a new version, only the servers exposed so far are returned, unless
        there are no others. While none of them may get a request, requests
        without a session go to the settled version.
        """
        self._record_versions(task.service, members)
        version = self._choose_version(task, members)
        if self._may_have_failed_on_trial(task):
            version = self._find_settled_version(task.service, members)
        chosen = self._list_exposed(task, version, members)
        if not task.call.session and all(
            member.cold.wait_seconds for member in chosen
        ):
            version = self._find_settled_version(task.service, members)
            chosen = self._list_exposed(task, version, members)
        self._log_choice(task, version)
        return chosen

    def _may_have_failed_on_trial(self, task: job.Job) -> bool:
        """Return whether a version on trial may have failed a request.

        Its repeat goes to the settled version: if that answers, the caller is
        served, and the failure counts once. A stream that has begun goes on
        at its own version.
        """
        progress = self._progress.get(task.service)
        return (
            progress is not None
            and not progress.stage.is_final
            and not task.reply.is_started
            and task.may_have_run
            and progress.order.target in task.tried_versions
        )

    def _list_exposed(
        self,
        task: job.Job,
        version: str,
        members: collections.abc.Sequence[directory.Member],
    ) -> collections.abc.Sequence[directory.Member]:
        """Return the members of a version that may get a request."""
        chosen = [
            member for member in members if member.entry.version == version
        ]
        if len(chosen) == len(members):
            return chosen
        return self._limit_exposed(task, version, chosen)

    def list_settled(
        self,
        service: str,
        members: collections.abc.Sequence[directory.Member],
    ) -> list[directory.Member]:
        """Return the members of the version that is not on trial."""
        self._record_versions(service, members)
        version = self._find_settled_version(service, members)
        return [
            member for member in members if member.entry.version == version
        ]

    def list_serving(
        self,
        service: str,
        members: collections.abc.Sequence[directory.Member],
    ) -> list[directory.Member]:
        """Return the members that bear a service's requests now.

        These are the ones of the settled version, and of a version on trial
        the part that its share of the requests keeps busy.
        """
        settled = self.list_settled(service, members)
        progress = self._progress.get(service)
        if (
            progress is None
            or progress.stage is not rollout_state.Stage.RUNNING
        ):
            return settled
        target = [
            member
            for member in members
            if member.entry.version == progress.order.target
            and member not in settled
        ]
        share = self._exposure_of(progress, has_session=True)
        if share >= 1.0 and target:
            return target
        return settled + target[: math.ceil(share * len(target))]

    def _log_choice(self, task: job.Job, version: str) -> None:
        """Log a request's version and what decided it, during a roll-out.

        Further choices of the same version for the request are not logged.
        """
        progress = self._progress.get(task.service)
        previous, task.version = task.version, version
        if progress is None or version == previous:
            return
        if progress.stage is not rollout_state.Stage.RUNNING:
            return
        self._log.write_routine(
            "version_chosen",
            request=task.call.identity,
            session=task.call.session,
            version=version,
            previous=previous or None,
            part=task.call.shared_part,
            elapsed_share=round(progress.elapsed_share, 3),
            exposure=round(
                self._exposure_of(progress, bool(task.call.session)), 3
            ),
            order=progress.position.offset,
        )

    def _exposure_of(
        self, progress: rollout_progress.Progress, has_session: bool
    ) -> float:
        """Return the share of requests, 0 to 1, for the new version.

        :param has_session: whether the requests belong to sessions.
        """
        if not progress.is_verdict_known:
            return 0.0
        share = rollout_state.exposure_at(
            progress.elapsed_share, self._bounds.share, has_session
        )
        if progress.handover_at is None or not progress.is_handover_begun:
            return share
        return exposure.handover_share(
            progress.age_seconds,
            progress.handover_at - progress.started_at,
            progress.order.duration_seconds,
            share,
        )

    def _has_allowance(
        self,
        task: job.Job,
        progress: rollout_progress.Progress,
        is_alone: bool,
    ) -> bool:
        """Return whether one more request may go to a version on trial.

        A session that has moved stays within a wider limit.

        :param is_alone: whether no other version has an endpoint now.
        """
        new, old = progress.sum_evidence()
        requests = new.requests + old.requests
        if progress.is_handover_begun:
            limit = self._bounds.final_limit(requests)
        elif task.call.session or is_alone:
            limit = self._bounds.limit(requests)
        else:
            limit = self._bounds.trial_limit(requests)
        return new.sent + 1 <= limit

    def _limit_exposed(
        self, task: job.Job, version: str, members: list[directory.Member]
    ) -> list[directory.Member]:
        """Return the members that may get requests of a chosen version.

        These are all, except for the new version during a roll-out: only part
        of its servers is exposed then.

        :param version: the chosen version.
        :param members: its servers.
        """
        progress = self._progress.get(task.service)
        if (
            progress is None
            or progress.order.target != version
            or progress.stage is not rollout_state.Stage.RUNNING
        ):
            return members
        count = rollout_state.count_exposed(
            self._exposure_of(progress, bool(task.call.session)), len(members)
        )
        ranked = sorted(
            members, key=lambda member: _rendezvous_hash(version, member)
        )
        return ranked[:count]

    def _record_versions(
        self,
        service: str,
        members: collections.abc.Sequence[directory.Member],
    ) -> None:
        versions = self._seen_versions.setdefault(service, [])
        for member in members:
            if member.entry.version not in versions:
                versions.append(member.entry.version)

    def _choose_version(
        self,
        task: job.Job,
        members: collections.abc.Sequence[directory.Member],
    ) -> str:
        settled = self._find_settled_version(task.service, members)
        progress = self._progress.get(task.service)
        if (
            progress is None
            or progress.stage is not rollout_state.Stage.RUNNING
            or not _has_version(members, progress.order.target)
            or settled == progress.order.target
        ):
            return settled
        return self._choose_during_rollout(task, progress, members, settled)

    def _find_settled_version(
        self,
        service: str,
        members: collections.abc.Sequence[directory.Member],
    ) -> str:
        """Return the version that is not on trial; "" if none may be used.

        The new version of a running order is returned only if no other was
        seen. An old version that only emptied data centres have, or that has
        no endpoints now, stays the settled one: a version on trial must not
        get all of its requests.
        """
        progress = self._progress.get(service)
        target = progress.order.target if progress is not None else ""
        rejected = self._rejected.get(service, [])
        seen = [
            version
            for version in self._seen_versions[service]
            if version != target and version not in rejected
        ]
        old = next(
            (version for version in seen if _has_version(members, version)), ""
        )
        if progress is None or not _has_version(members, target):
            return old
        if progress.stage is rollout_state.Stage.COMPLETED:
            return target
        if progress.stage is rollout_state.Stage.RUNNING:
            withheld = sorted(
                self._list_withheld(service) - {target, *rejected}
            )
            return old or next(iter((*withheld, *seen)), target)
        return old

    def _choose_during_rollout(
        self,
        task: job.Job,
        progress: rollout_progress.Progress,
        members: collections.abc.Sequence[directory.Member],
        old: str,
    ) -> str:
        target = progress.order.target
        share = self._exposure_of(progress, bool(task.call.session))
        is_alone = progress.is_verdict_known and not (
            _has_version(members, old)
            or old in self._list_withheld(task.service)
        )
        if not self._has_allowance(task, progress, is_alone):
            return old
        if share >= 1.0 or is_alone:
            return target
        # A session keeps its version, whatever shared parts it uses. Other
        # requests with the same shared part move together, so that the new
        # version's servers prefill it only once.
        name = task.call.session or task.call.shared_part
        name = name or task.call.identity
        hash_fraction = (
            xxhash.xxh32_intdigest(f"{target}|{name}".encode()) / 2**32
        )
        return target if hash_fraction < share else old


def _has_version(
    members: collections.abc.Iterable[directory.Member], version: str
) -> bool:
    return any(member.entry.version == version for member in members)


def _rendezvous_hash(version: str, member: directory.Member) -> int:
    return xxhash.xxh32_intdigest(f"{version}|{member.identity}".encode())
