"""What the operators' commands do, apart from the command line."""

import asyncio
import collections.abc
import dataclasses
import pathlib

import orjson
import pydantic
import yaml
from tornado import httpclient, simple_httpclient

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
from wagtailstream_runtime import log_client

RETRY_SECONDS = 0.5
STATUS_TIMEOUT_SECONDS = 2.0
POLL_SECONDS = 0.1


@dataclasses.dataclass(frozen=True)
class Published:
    """What became of a record.

    :param offset: where the log holds it.
    """

    offset: int
    verdict: configuration.Verdict
    detail: str
    configuration: configuration.Configuration


def read_document(path: pathlib.Path) -> dict[str, object]:
    """Return a YAML file's mapping.

    :param path: the file.
    :raises errors.BundleError: it can't be read or is no mapping.
    """
    try:
        value = yaml.safe_load(path.read_text())
    except (OSError, yaml.YAMLError) as error:
        raise errors.BundleError("read", str(path), str(error)) from error
    if not isinstance(value, dict):
        raise errors.BundleError("read", str(path), "is no mapping")
    return value


def read_bundle(path: pathlib.Path) -> dict[str, object]:
    """Return the document of a bundle without contradictions.

    :param path: the YAML file.
    :raises errors.BundleError: with all that is wrong.
    """
    value = read_document(path)
    problems = bundle_check.find_contradictions(bundle.parse(value, str(path)))
    if problems:
        raise errors.BundleError("check", str(path), "\n".join(problems))
    return value


async def fetch_configuration(
    log: log_client.LogClient, keyring: signing.Keyring
) -> configuration.Configuration:
    """Return the configuration as of the log's tail.

    :param log: the platform's log.
    :param keyring: the keys that are trusted.
    :raises errors.LogUnavailableError: the log did not answer, or holds no
        usable snapshot.
    """
    whole = await log.read_all(records.STREAM)
    found = snapshots.restore(whole.records, whole.first, keyring)
    if found is None:
        raise errors.LogUnavailableError(
            "restore", "log", "no snapshot covers the retained records"
        )
    return found.configuration


@dataclasses.dataclass(frozen=True)
class Change:
    """A sealed record with the configuration that it was made from."""

    payload: bytes
    made_from: configuration.Configuration


async def append_record(
    log: log_client.LogClient,
    keyring: signing.Keyring,
    change: Change,
    tries: int,
) -> Published:
    """Append a sealed record and return the verdict on it.

    A lost answer is resolved by reading the stream: the record is either
    there, or is appended again. An append that was answered is never
    repeated, however long the reader's replica lags behind it.

    :param log: the platform's log.
    :param keyring: the keys that are trusted.
    :param change: the sealed record.
    :param tries: how often to try while the log is unavailable.
    :raises errors.LogUnavailableError: the log did not answer.
    """
    is_appended = False
    for remaining in range(tries - 1, -1, -1):
        try:
            found = await _find_published(log, keyring, change)
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
    found = await _find_published(log, keyring, change)
    if found is None:
        raise errors.LogUnavailableError("append", "log", "no verdict")
    return found


async def _find_published(
    log: log_client.LogClient, keyring: signing.Keyring, change: Change
) -> Published | None:
    """Return the verdict on a change, or None if it is not in the log.

    The fold goes on from the configuration that the change was made from,
    so that no snapshot has to stand before it. Only for bytes that were
    appended before that, a start is looked for in the log.
    """
    whole = await log.read_all(records.STREAM)
    place = next(
        (r for r in whole.records if r.payload == change.payload), None
    )
    state: configuration.Configuration | None = change.made_from
    if whole.first > change.made_from.offset + 1 or (
        place is not None and place.offset <= change.made_from.offset
    ):
        state = _restore_before(whole, place, keyring)
    if place is None:
        return None
    if state is None:
        raise errors.LogUnavailableError(
            "find record", "log", "the log has dropped what came before it"
        )
    for record in whole.records:
        if record.offset < place.offset:
            state = configuration.fold(state, record, keyring).configuration
    folded = configuration.fold(state, place, keyring)
    return Published(
        place.offset, folded.verdict, folded.detail, folded.configuration
    )


def _restore_before(
    whole: log_client.Slice,
    place: configuration.LogRecord | None,
    keyring: signing.Keyring,
) -> configuration.Configuration | None:
    before = [
        r for r in whole.records if place is None or r.offset < place.offset
    ]
    found = snapshots.restore(before, whole.first, keyring)
    return found.configuration if found is not None else None


def make_publish(
    document: dict[str, object], state: configuration.Configuration
) -> records.Publish:
    """Return the record that proposes a bundle.

    :param document: the bundle.
    :param state: the configuration that it is based on.
    """
    return records.Publish(base=state.revision, bundle=document)


def make_approve(
    digest: str, state: configuration.Configuration
) -> records.Approve:
    """Return the record that signs off a proposed bundle.

    :param digest: the digest of the bundle that was looked at.
    :param state: the configuration that it is based on.
    """
    return records.Approve(base=state.revision, digest=digest)


def find_stage(
    model: str, state: configuration.Configuration
) -> configuration.RolloutStage:
    """Return how far the roll-out of a model has come.

    :param model: the model's name.
    :param state: the configuration.
    :raises errors.BundleError: there is no roll-out of the model.
    """
    found = state.bundle.find_model(model) if state.bundle else None
    if found is None or found.rollout is None:
        raise errors.BundleError("advance", model, "has no roll-out")
    candidate = found.rollout.candidate
    return configuration.RolloutStage(
        model, candidate, state.find_stage(model, candidate)
    )


def make_advance(
    model: str,
    state: configuration.Configuration,
    seen_stage: int | None = None,
) -> records.Advance:
    """Return the record that moves a roll-out to its next stage.

    :param model: the model's name.
    :param state: the configuration that it is based on.
    :param seen_stage: the stage from which it was decided to go on; None for
        whichever stage the configuration shows.
    :raises errors.BundleError: there is no roll-out of the model.
    :raises errors.StageMovedError: it is at another stage by now.
    """
    reached = find_stage(model, state)
    if seen_stage is not None and reached.stage != seen_stage:
        raise errors.StageMovedError(
            "advance", model, f"stage {reached.stage} and not {seen_stage}"
        )
    return records.Advance(
        base=state.revision,
        model=model,
        candidate=reached.candidate,
        stage=reached.stage + 1,
    )


def find_proposal_digest(state: configuration.Configuration) -> str:
    """Return the digest of the bundle that waits for its approval.

    :param state: the configuration.
    :raises errors.BundleError: none does.
    """
    if state.proposal is None:
        raise errors.BundleError("approve", "log", "no bundle is proposed")
    return state.proposal.digest


def digest_document(document: dict[str, object]) -> str:
    """Return the digest under which a bundle is approved.

    :param document: the bundle.
    """
    return canonical.digest(document)


class AgentStatus(pydantic.BaseModel):
    """An agent as an entry sees it."""

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
    """What an entry answers about itself."""

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
    """Return an entry's status.

    :param url: the entry's base address.
    :raises errors.PeerError: the entry did not answer.
    """
    client = simple_httpclient.SimpleAsyncHTTPClient(force_instance=True)
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
    """How far a change has come.

    :param behind: the instances that do not hold it yet.
    """

    in_force: int
    behind: tuple[str, ...]


async def measure_progress(
    urls: collections.abc.Iterable[str], offset: int
) -> Progress:
    """Return how many instances hold an offset.

    :param urls: the entries to ask; they answer for the agents they know.
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
            known = offsets.get(agent.address, configuration.NO_OFFSET)
            offsets[agent.address] = max(known, agent.offset)
    behind = tuple(sorted(n for n, held in offsets.items() if held < offset))
    return Progress(len(offsets) - len(behind), behind)
