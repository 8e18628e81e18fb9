"""Settings files, and errors that name the file and the key."""

import pathlib

import pytest

from wagtailstream_adapter import node_file
from wagtailstream_router import errors, policy
from wagtailstream_router.flow import bounds
from wagtailstream_router.zones import cold_start

NODE_FILE = """
nodeName = "front-1"
ipAddress = "10.1.0.40"
zone = "zone-1"
internalPortRange = [7340, 7355]
seeds = ["10.1.0.41:8229"]
somethingNew = 1
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[bounds]
gracePeriodS = 8
drainTimeoutMs = 2000
exposureShare = 0.15
exposureSlack = 30
retryBudgetRatio = 0.9
retryWindowS = 10
retryBudgetSlack = 56
[platform]
address = "10.200.1.7:8223"
"""
POLICY = """
credits: {by_priority: [4.5, 1.6], late_share: 0.2}
metrics_port: 9464
"""


def write_file(folder: pathlib.Path, name: str, text: str) -> str:
    path = folder / name
    path.write_text(text)
    return str(path)


def test_a_file_is_read(tmp_path: pathlib.Path) -> None:
    operator_policy = policy.load(write_file(tmp_path, "policy.yaml", POLICY))
    loaded = node_file.load(
        write_file(tmp_path, "node.toml", NODE_FILE), operator_policy
    )
    assert loaded.store_address == "10.200.1.7:8223"
    assert loaded.settings.metrics_address == "10.1.0.40:9464"
    assert loaded.settings.seeds == ("10.1.0.41:7340",)
    assert loaded.settings.bounds.drain_seconds == 2.0
    assert not loaded.settings.learns_speeds
    learning = POLICY + "engines: {learn_speeds: true}"
    operator_policy = policy.load(
        write_file(tmp_path, "policy.yaml", learning)
    )
    loaded = node_file.load(
        write_file(tmp_path, "node.toml", NODE_FILE), operator_policy
    )
    assert loaded.settings.learns_speeds


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ('zone = "zone-1"', "zone = 3", "zone"),
        ("gracePeriodS = 8", 'gracePeriodS = "8"', "bounds.gracePeriodS"),
        ("exposureShare = 0.15", "", "bounds.exposureShare"),
        ("exposureSlack = 30", "", "bounds.exposureSlack"),
        ("[7340, 7355]", '["a"]', "internalPortRange"),
        ('address = "10.200.1.7:8223"', "", "platform.address"),
        ("[listen]", "[listen", "node.toml"),
    ],
)
def test_an_error_names_the_file_and_the_key(
    tmp_path: pathlib.Path, old: str, new: str, key: str
) -> None:
    path = write_file(tmp_path, "node.toml", NODE_FILE.replace(old, new))
    with pytest.raises(errors.SettingsError) as caught:
        node_file.load(path, policy.Policy())
    assert key in str(caught.value)
    assert path in str(caught.value)


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("credits: 3", "credits"),
        ("credits: {by_priority: [], late_share: 0.2}", "by_priority"),
        ("credits: {by_priority: [x], late_share: 0.2}", "0"),
        ("credits: {by_priority: [1], late_share: 2}", "late_share"),
        (POLICY + "surprise: 1", "surprise"),
        (POLICY + "engines: {learn_speeds: 1}", "learn_speeds"),
        (POLICY + "engines: {surprise: true}", "engines"),
        (POLICY.replace("9464", "70000"), "metrics_port"),
        ("[", "policy.yaml"),
    ],
)
def test_an_error_names_the_key_of_the_policy(
    tmp_path: pathlib.Path, text: str, key: str
) -> None:
    path = write_file(tmp_path, "policy.yaml", text)
    with pytest.raises(errors.SettingsError) as caught:
        policy.load(path)
    assert key in str(caught.value)


@pytest.mark.parametrize(
    ("lines", "bounds"),
    [
        ("", None),
        ("coldOvershoot = 1.5", None),
        (
            "coldOvershoot = 1.5\ncoldSlack = 5",
            cold_start.ColdBounds(1.5, 5.0),
        ),
    ],
)
def test_a_deployment_without_the_rule_on_cold_endpoints_gets_one(
    tmp_path: pathlib.Path, lines: str, bounds: cold_start.ColdBounds | None
) -> None:
    text = NODE_FILE.replace("[bounds]", f"[bounds]\n{lines}")
    loaded = node_file.load(
        write_file(tmp_path, "node.toml", text),
        policy.load(write_file(tmp_path, "policy.yaml", POLICY)),
    )
    assert loaded.settings.bounds.cold == bounds


def test_the_buffers_of_a_small_machine_are_those_of_a_large_one(
    tmp_path: pathlib.Path,
) -> None:
    text = POLICY + "buffers: {memory_share: 0.25, unread_seconds: 3}\n"
    operator_policy = policy.load(write_file(tmp_path, "policy.yaml", text))
    sizes = []
    for limits in ("", "[limits]\nmemoryMb = 160\n", "[limits]\ncores = 1\n"):
        path = write_file(tmp_path, "node.toml", NODE_FILE + limits)
        buffers = node_file.load(path, operator_policy).settings.buffers
        assert buffers.unread_seconds == 3.0
        assert buffers.request_bytes == bounds.REQUEST_BYTES
        sizes.append(buffers.process_bytes)
    default = bounds.DEFAULT_PROCESS_BYTES
    assert sizes == [default, 40 * bounds.MEGABYTE, default]


@pytest.mark.parametrize("value", ["0", "-1", '"160"', "inf", "nan"])
def test_a_memory_that_is_none_bounds_the_buffers(
    tmp_path: pathlib.Path, value: str
) -> None:
    text = NODE_FILE + f"[limits]\nmemoryMb = {value}\n"
    path = write_file(tmp_path, "node.toml", text)
    with pytest.raises(errors.SettingsError) as caught:
        node_file.load(path, policy.Policy())
    assert "limits.memoryMb" in str(caught.value)


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("buffers: 3", "buffers"),
        ("buffers: {memory_share: 2}", "buffers.memory_share"),
        ("buffers: {request_kb: x}", "buffers.request_kb"),
        ("buffers: {unread_seconds: 0}", "buffers.unread_seconds"),
        ("buffers: {unread_second: 3}", "unread_second"),
    ],
)
def test_a_bad_bound_of_the_buffers_is_taken_for_the_default(
    tmp_path: pathlib.Path, text: str, key: str
) -> None:
    path = write_file(tmp_path, "policy.yaml", POLICY + text + "\n")
    with pytest.raises(errors.SettingsError) as caught:
        policy.load(path)
    assert key in str(caught.value)
    assert path in str(caught.value)
