"""The operations behind the operators' commands.

They read and append configuration records in the platform's log, and ask
entries for their status.
"""

import asyncio
import collections.abc
import dataclasses
import pathlib

import orjson
import pydantic
import yaml
from tornado import httpclient

from wagtailstream_core import (
    bundle,
    bundle_check,
    canonical,
    configuration,
    errors,
    records,
    signing,
    snapshots,
)
from wagtailstream_runtime import http_client, log_client

# Pause between attempts to append a record or to find the verdict on it.
RETRY_SECONDS = 0.5
# Time limit of one status request to an entry.
STATUS_TIMEOUT_SECONDS = 2.0
# Interval of polls until a change is in force everywhere.
POLL_SECONDS = 0.1


@dataclasses.dataclass(frozen=True)
class ChangeResult:
    """The verdict on an appended record.

    :param offset: the record's offset in the log.
    :param verdict: whether the record was accepted, or why not.
    :param detail: an explanation of the verdict.
    :param configuration: the configuration after the record.
    """

    offset: int
    verdict: configuration.Verdict
    detail: str
    configuration: configuration.Configuration


def read_document(path: pathlib.Path) -> dict[str, object]:
    """Return the mapping that a YAML file holds.

    :param path: the file.
    :raises errors.BundleError: the file can't be read or holds no mapping.
    """
    try:
        value = yaml.safe_load(path.read_text())
    except (OSError, yaml.YAMLError) as error:
        raise errors.BundleError("read", str(path), str(error)) from error
    if not isinstance(value, dict):
        raise errors.BundleError(
            "read", str(path), "the document is not a mapping"
        )
    return value


def read_bundle(path: pathlib.Path) -> dict[str, object]:
    """Return the document of a valid bundle.

    :param path: the YAML file.
    :raises errors.BundleError: the bundle is malformed or contradicts
        itself; the message lists all problems.
    """
    value = read_document(path)
    problems = bundle_check.find_contradictions(bundle.parse(value, str(path)))
    if problems:
        raise errors.BundleError("check", str(path), "\n".join(problems))
    return value


async def fetch_configuration(
    log: log_client.LogClient, keyring: signing.Keyring
) -> configuration.Configuration:
    """Return the configuration at the tail of the log.

    :param log: the platform's log.
    :param keyring: the keys that are trusted.
    :raises errors.LogUnavailableError: the log did not answer, or holds no
        usable snapshot.
    """
    log_slice = await log.read_all(records.STREAM)
    found = snapshots.restore(log_slice.records, log_slice.first, keyring)
    if found is None:
        raise errors.LogUnavailableError(
            "restore",
            "log",
            "no usable snapshot covers the retained records",
        )
    return found.configuration


@dataclasses.dataclass(frozen=True)
class Change:
    """A signed record, and the configuration that it is based on."""

    payload: bytes
    base_configuration: configuration.Configuration


async def append_record(
    log: log_client.LogClient,
    keyring: signing.Keyring,
    change: Change,
    max_attempts: int,
) -> ChangeResult:
    """Append a signed record and return the verdict on it.

    If the log's response to the append is lost, the stream is read, and the
    record is appended again unless it is there. An append that the log
    confirmed is never repeated, even if the replica that is read lags behind.

    :param log: the platform's log.
    :param keyring: the keys that are trusted.
    :param change: the signed record.
    :param max_attempts: the maximum number of attempts.
    :raises errors.LogUnavailableError: the log did not answer, or did not
        return the record.
    """
    is_appended = False
    for remaining in range(max_attempts - 1, -1, -1):
        try:
            found = await _find_verdict(log, keyring, change)
            if found is not None:
                return found
            if not is_appended:
                await log.append(records.STREAM, change.payload)
                is_appended = True
                continue
        except errors.LogUnavailableError:
            if not remaining:
                raise
        await asyncio.sleep(RETRY_SECONDS)
    found = await _find_verdict(log, keyring, change)
    if found is None:
        raise errors.LogUnavailableError(
            "append",
            "log",
            "the log confirmed the append but does not return the record",
        )
    return found


async def _find_verdict(
    log: log_client.LogClient, keyring: signing.Keyring, change: Change
) -> ChangeResult | None:
    """Return the verdict on a change, or None if it is not in the log.

    Records are folded from the configuration that the change is based on, so
    no earlier snapshot is needed. The log's snapshots are used only if the
    same bytes were appended before that configuration, or if records after
    it are no longer retained.
    """
    log_slice = await log.read_all(records.STREAM)
    appended_record = next(
        (r for r in log_slice.records if r.payload == change.payload), None
    )
    state: configuration.Configuration | None = change.base_configuration
    if log_slice.first > change.base_configuration.offset + 1 or (
        appended_record is not None
        and appended_record.offset <= change.base_configuration.offset
    ):
        state = _restore_before(log_slice, appended_record, keyring)
    if appended_record is None:
        return None
    if state is None:
        raise errors.LogUnavailableError(
            "find record",
            "log",
            f"the verdict on the record at offset {appended_record.offset}"
            " is unknown, since the records before it are no longer retained",
        )
    for record in log_slice.records:
        if record.offset < appended_record.offset:
            state = configuration.fold(state, record, keyring).configuration
    folded = configuration.fold(state, appended_record, keyring)
    return ChangeResult(
        appended_record.offset,
        folded.verdict,
        folded.detail,
        folded.configuration,
    )


def _restore_before(
    log_slice: log_client.Slice,
    appended_record: configuration.LogRecord | None,
    keyring: signing.Keyring,
) -> configuration.Configuration | None:
    before = [
        r
        for r in log_slice.records
        if appended_record is None or r.offset < appended_record.offset
    ]
    found = snapshots.restore(before, log_slice.first, keyring)
    return found.configuration if found is not None else None


def make_publish(
    document: dict[str, object], state: configuration.Configuration
) -> records.Publish:
    """Return the record that proposes a bundle.

    :param document: the bundle.
    :param state: the configuration that the record is based on.
    """
    return records.Publish(base=state.revision, bundle=document)


def make_approve(
    digest: str, state: configuration.Configuration
) -> records.Approve:
    """Return the record that approves a proposed bundle.

    :param digest: the digest of the bundle that was reviewed.
    :param state: the configuration that the record is based on.
    """
    return records.Approve(base=state.revision, digest=digest)


def find_stage(
    model: str, state: configuration.Configuration
) -> configuration.RolloutStage:
    """Return the current stage of a model's roll-out.

    :param model: the model's name.
    :param state: the configuration.
    :raises errors.BundleError: there is no roll-out of the model.
    """
    found = state.bundle.find_model(model) if state.bundle else None
    if found is None or found.rollout is None:
        raise errors.BundleError(
            "advance",
            model,
            "the bundle in force has no roll-out of this model",
        )
    candidate = found.rollout.candidate
    return configuration.RolloutStage(
        model, candidate, state.find_stage(model, candidate)
    )


def make_advance(
    model: str,
    state: configuration.Configuration,
    expected_stage: int | None = None,
) -> records.Advance:
    """Return the record that moves a roll-out to its next stage.

    :param model: the model's name.
    :param state: the configuration that the record is based on.
    :param expected_stage: the stage that the roll-out has to be at; None for
        any stage.
    :raises errors.BundleError: there is no roll-out of the model.
    :raises errors.StageMovedError: the roll-out is at another stage.
    """
    reached = find_stage(model, state)
    if expected_stage is not None and reached.stage != expected_stage:
        raise errors.StageMovedError(
            "advance",
            model,
            f"the roll-out is at stage {reached.stage}, not {expected_stage}",
        )
    return records.Advance(
        base=state.revision,
        model=model,
        candidate=reached.candidate,
        stage=reached.stage + 1,
    )


def find_proposal_digest(state: configuration.Configuration) -> str:
    """Return the digest of the proposed bundle.

    :param state: the configuration.
    :raises errors.BundleError: no bundle is proposed.
    """
    if state.proposal is None:
        raise errors.BundleError(
            "approve", "log", "no proposed bundle waits for approval"
        )
    return state.proposal.digest


def digest_document(document: dict[str, object]) -> str:
    """Return the digest that an approval of a bundle names.

    :param document: the bundle.
    """
    return canonical.digest(document)


class AgentStatus(pydantic.BaseModel):
    """The status of an agent, as an entry reports it."""

    model_config = pydantic.ConfigDict(extra="ignore")

    address: str
    endpoint: str = ""
    data_centre: str = ""
    reachable: bool = False
    usable: bool = False
    draining: bool = False
    offset: int = -1
    running: int = 0
    queued: int = 0
    loaded: tuple[str, ...] = ()


class EntryStatus(pydantic.BaseModel):
    """The body of an entry's status page."""

    model_config = pydantic.ConfigDict(extra="ignore")

    instance: str
    data_centre: str
    offset: int
    revision: int
    bundle: str | None
    freshness: str
    draining: bool
    in_flight: int
    bills_waiting: int
    withdrawn: tuple[str, ...]
    suspended: tuple[str, ...]
    counters: dict[str, int]
    agents: tuple[AgentStatus, ...]


async def fetch_status(url: str) -> EntryStatus:
    """Return the status of an entry.

    :param url: the base URL of the entry.
    :raises errors.PeerError: the entry did not answer, or not with a status.
    """
    client = http_client.WholeAnswerClient(force_instance=True)
    try:
        response = await client.fetch(
            f"{url.rstrip('/')}/status",
            request_timeout=STATUS_TIMEOUT_SECONDS,
        )
        return EntryStatus.model_validate(orjson.loads(response.body))
    except (httpclient.HTTPError, OSError, ValueError) as error:
        raise errors.PeerError("status", url, str(error)) from error
    finally:
        client.close()


@dataclasses.dataclass(frozen=True)
class Progress:
    """How many instances hold a change.

    :param in_force: the number of instances that hold it.
    :param behind: the names or addresses of those that do not, sorted.
    """

    in_force: int
    behind: tuple[str, ...]


async def measure_progress(
    urls: collections.abc.Iterable[str], offset: int
) -> Progress:
    """Return which instances hold the record at an offset.

    An entry that does not answer counts as behind.

    :param urls: the base URLs of entries, which also report for the agents
        that they are linked to.
    :param offset: the offset of the change.
    """
    offsets: dict[str, int] = {}
    for url in urls:
        try:
            status = await fetch_status(url)
        except errors.PeerError:
            offsets[url] = configuration.NO_OFFSET
            continue
        offsets[status.instance] = status.offset
        for agent in status.agents:
            known_offset = offsets.get(agent.address, configuration.NO_OFFSET)
            offsets[agent.address] = max(known_offset, agent.offset)
    behind = tuple(sorted(n for n, held in offsets.items() if held < offset))
    return Progress(len(offsets) - len(behind), behind)
