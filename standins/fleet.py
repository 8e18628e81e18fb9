"""A whole deployment on loopback: platform, endpoints, agents and entries."""

import base64
import dataclasses
import pathlib
import secrets
import subprocess
import sys
import time
import typing

import requests
import yaml

from standins import processes
from wagtailstream_core import bundle, signing

READY_TIMEOUT_SECONDS = 60.0
POLL_SECONDS = 0.05
CALL_TIMEOUT_SECONDS = 10.0
OPERATORS = ("alice", "bob")
PLATFORM = ("log", "instances", "rating", "weights")

Json = dict[str, typing.Any]


@dataclasses.dataclass
class EndpointProcesses:
    """The processes of one endpoint of the bundle.

    :param backend: the endpoint itself, an engine or a plain service.
    :param agent_settings: the agent's settings file.
    """

    endpoint: bundle.Endpoint
    backend: processes.Process
    agent: processes.Process
    agent_settings: pathlib.Path


@dataclasses.dataclass(frozen=True)
class Options:
    """Options of a fleet.

    :param engine: additional command line options of each engine.
    :param rating: additional command line options of the rating service.
    :param weights: additional command line options of the weight store.
    :param agent: additional settings of each agent.
    :param entry: additional settings of each entry.
    :param platform: additional settings of the ``platform`` section of each
        agent and entry.
    :param has_proxy: whether instances reach the log and the instance list
        through the fault proxy, on the shared routes ``log`` and
        ``instances``.
    :param has_own_routes: whether each instance reaches the log on a route
        of its own, ``log-INSTANCE``, and entries reach each agent on the
        route ``agent-ENDPOINT``.
    :param replica_readers: instances that use the log's replica.
    """

    engine: tuple[str, ...] = ()
    rating: tuple[str, ...] = ()
    weights: tuple[str, ...] = ()
    agent: Json = dataclasses.field(default_factory=dict)
    entry: Json = dataclasses.field(default_factory=dict)
    platform: Json = dataclasses.field(default_factory=dict)
    has_proxy: bool = False
    has_own_routes: bool = False
    replica_readers: tuple[str, ...] = ()


class Fleet:
    """Starts, configures and stops the processes of one deployment.

    :param directory: directory for settings, keys and logs.
    :param bundle_path: the bundle whose endpoints are started.
    :param options: options of the fleet; None for the defaults.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        bundle_path: pathlib.Path,
        options: Options | None = None,
    ) -> None:
        self._directory = directory
        self._bundle_path = bundle_path
        self._options = options or Options()
        self._group = processes.ProcessGroup(directory)
        self._operator_keys: dict[str, str] = {}
        self._platform: dict[str, processes.Process] = {}
        self._proxy: processes.Process | None = None
        self._entries: list[processes.Process] = []
        self._endpoints: dict[str, EndpointProcesses] = {}
        self._urls: dict[str, str] = {}
        self.bundle = bundle.parse(
            yaml.safe_load(bundle_path.read_text()), str(bundle_path)
        )

    @property
    def directory(self) -> pathlib.Path:
        """The directory of settings, keys and logs."""
        return self._directory

    @property
    def entries(self) -> list[processes.Process]:
        """The entries, in the order in which they were started."""
        return self._entries

    @property
    def endpoints(self) -> dict[str, EndpointProcesses]:
        """The endpoints by name."""
        return self._endpoints

    @property
    def platform(self) -> dict[str, processes.Process]:
        """The stand-ins for the platform's services by name."""
        return self._platform

    def start(self, entries: int, entry_ports: tuple[int, ...] = ()) -> None:
        """Start all processes without publishing a bundle.

        :param entries: number of entries.
        :param entry_ports: ports of the first entries; an entry without one,
            or with port 0, gets a port from the system.
        """
        self._make_keys()
        if self._options.has_proxy or self._options.has_own_routes:
            self._proxy = self._start_standin("proxy")
        for name in PLATFORM:
            options = {
                "rating": self._options.rating,
                "weights": self._options.weights,
            }.get(name, ())
            self._platform[name] = self._start_standin(name, *options)
        self._urls = {n: p.url for n, p in self._platform.items()}
        if self._proxy is not None:
            for name in ("log", "instances"):
                self._urls[name] = (
                    f"http://{self.route(name, self._platform[name].address)}"
                )
        self._start_endpoints()
        for index in range(entries):
            port = entry_ports[index] if index < len(entry_ports) else 0
            self.start_entry(port)

    def _make_keys(self) -> None:
        for name in OPERATORS:
            pair = signing.generate_operator_key()
            self._write_secret(name, pair.private_key)
            self._operator_keys[name] = base64.b64encode(
                pair.public_key
            ).decode()
        for name in ("fleet", "session"):
            self._write_secret(name, secrets.token_bytes(32))

    def _write_secret(self, name: str, raw: bytes) -> None:
        path = self._directory / f"{name}.key"
        path.write_text(base64.b64encode(raw).decode() + "\n")
        path.chmod(0o600)

    def _start_standin(self, name: str, *options: str) -> processes.Process:
        return self._group.start(
            name, "-m", f"standins.{name}", "--port", "0", *options
        )

    def _start_endpoints(self) -> None:
        backends = {
            endpoint.name: self._start_backend(endpoint)
            for endpoint in self.bundle.endpoints
        }
        for endpoint in self.bundle.endpoints:
            path = self._write_agent_settings(
                endpoint, backends[endpoint.name]
            )
            self._endpoints[endpoint.name] = EndpointProcesses(
                endpoint,
                backends[endpoint.name],
                self._start_agent(endpoint.name, path),
                path,
            )
        for name in self._endpoints:
            self.register_agent(name)

    def _start_backend(self, endpoint: bundle.Endpoint) -> processes.Process:
        name = f"backend-{endpoint.name}"
        if endpoint.service:
            return self._group.start(
                name, "-m", "standins.plain", "--name", endpoint.name
            )
        return self._group.start(
            name,
            "-m",
            "standins.engine",
            "--name",
            endpoint.name,
            "--weights",
            self._platform["weights"].url,
            *self._options.engine,
        )

    def _write_agent_settings(
        self, endpoint: bundle.Endpoint, backend: processes.Process
    ) -> pathlib.Path:
        path = self._directory / f"agent-{endpoint.name}.yaml"
        value = self._make_common_settings(
            f"agent-{endpoint.name}", endpoint.data_centre, 0
        )
        value |= {
            "endpoint": endpoint.name,
            "kind": "service" if endpoint.service else "engine",
            "endpoint_url": backend.url,
            **self._options.agent,
        }
        path.write_text(yaml.safe_dump(value))
        return path

    def _make_common_settings(
        self, instance: str, data_centre: str, port: int
    ) -> Json:
        return {
            "instance": instance,
            "data_centre": data_centre,
            "host": "127.0.0.1",
            "port": port,
            "platform": {
                "log": self._find_log_url(instance),
                "instances": self._urls["instances"],
                "rating": self._platform["rating"].url,
                **self._options.platform,
            },
            "operator_keys": self._operator_keys,
            "fleet_keys": self._make_key_settings("fleet"),
        }

    def _find_log_url(self, instance: str) -> str:
        url = self._urls["log"]
        if self._options.has_own_routes:
            target = self._platform["log"].address
            url = f"http://{self.route(f'log-{instance}', target)}"
        if instance in self._options.replica_readers:
            url += "/replica"
        return url

    def _make_key_settings(self, name: str) -> Json:
        path = self._directory / f"{name}.key"
        return {
            "signing": f"{name}-1",
            "keys": {f"{name}-1": {"file": str(path)}},
        }

    def _start_agent(self, name: str, path: pathlib.Path) -> processes.Process:
        return self._group.start(
            f"agent-{name}",
            "-m",
            "wagtailstream_agent",
            "serve",
            str(path),
        )

    def restart_agent(self, name: str) -> processes.Process:
        """Start a new agent process for an endpoint and register it.

        Does not stop the previous process.

        :param name: the endpoint's name.
        """
        managed = self._endpoints[name]
        managed.agent = self._start_agent(name, managed.agent_settings)
        self.register_agent(name)
        return managed.agent

    def restart_backend(self, name: str) -> processes.Process:
        """Start a new process for an endpoint, with no model loaded.

        A new agent is started too. The previous processes are not stopped.

        :param name: the endpoint's name.
        """
        managed = self._endpoints[name]
        managed.backend = self._start_backend(managed.endpoint)
        managed.agent_settings = self._write_agent_settings(
            managed.endpoint, managed.backend
        )
        self.restart_agent(name)
        return managed.backend

    def register_agent(
        self, name: str, state: str = "live", address: str = ""
    ) -> None:
        """Add or replace an agent in the platform's instance list.

        :param name: the endpoint's name.
        :param state: ``live`` or ``leaving``.
        :param address: IP address and port to list; empty for the agent's
            own, or its proxy route if the fleet has own routes.
        """
        managed = self._endpoints[name]
        if not address and self._options.has_own_routes:
            address = self.route(f"agent-{name}", managed.agent.address)
        self._put_instance(
            f"agent-{name}",
            {
                "role": "agent",
                "address": address or managed.agent.address,
                "data_centre": managed.endpoint.data_centre,
                "endpoint": name,
                "state": state,
            },
        )

    def _put_instance(self, instance: str, value: Json) -> None:
        requests.put(
            f"{self._platform['instances'].url}/instances/{instance}",
            json=value,
            timeout=CALL_TIMEOUT_SECONDS,
        ).raise_for_status()

    def start_entry(
        self, port: int = 0, settings: Json | None = None
    ) -> processes.Process:
        """Start another entry and register it in the instance list.

        :param port: its port; 0 lets the system pick one.
        :param settings: additional settings of this entry.
        """
        index = len(self._entries) + 1
        data_centres = self.bundle.data_centres
        data_centre = data_centres[(index - 1) % len(data_centres)]
        name = f"entry-{index}"
        path = self._directory / f"{name}.yaml"
        value = self._make_common_settings(name, data_centre, port)
        value["session_keys"] = self._make_key_settings("session")
        value |= {"heartbeat_seconds": 0.25, "refresh_seconds": 0.25}
        value |= self._options.entry | (settings or {})
        path.write_text(yaml.safe_dump(value))
        entry = self._group.start(
            name, "-m", "wagtailstream_entry", "serve", str(path)
        )
        self._put_instance(
            name,
            {
                "role": "entry",
                "address": entry.address,
                "data_centre": data_centre,
                "state": "live",
            },
        )
        self._entries.append(entry)
        self._write_operator_settings()
        return entry

    def _write_operator_settings(self) -> None:
        for name in OPERATORS:
            value = {
                "log": self._platform["log"].url,
                "entries": [e.url for e in self._entries if e.is_running],
                "key_id": name,
                "private_key": {"file": str(self._directory / f"{name}.key")},
                "operator_keys": self._operator_keys,
                "fleet_keys": self._make_key_settings("fleet"),
            }
            path = self._directory / f"{name}.yaml"
            path.write_text(yaml.safe_dump(value))

    def run_operator_command(
        self, operator: str, *arguments: str, check: bool = True
    ) -> "subprocess.CompletedProcess[str]":
        """Run an operator's command that takes ``--settings``.

        :param operator: the operator whose settings are used.
        :param arguments: the command without ``--settings``.
        :param check: whether to raise if the command fails.
        :raises RuntimeError: the command failed, and ``check`` is set.
        """
        result = subprocess.run(
            [
                sys.executable,
                "-m",
                "wagtailstream_entry",
                *arguments,
                "--settings",
                str(self._directory / f"{operator}.yaml"),
            ],
            capture_output=True,
            text=True,
            timeout=READY_TIMEOUT_SECONDS,
        )
        if check and result.returncode:
            raise RuntimeError(
                f"command {arguments} of {operator} failed with exit code "
                f"{result.returncode}: {result.stdout}{result.stderr}"
            )
        return result

    def publish(self, path: pathlib.Path | None = None) -> None:
        """Propose a bundle, approve it and wait until it is in force.

        :param path: the bundle; by default the fleet's own.
        """
        path_argument = str(path or self._bundle_path)
        self.run_operator_command("alice", "bundle", "publish", path_argument)
        self.run_operator_command("bob", "bundle", "approve", path_argument)

    def publish_without_waiting(self) -> None:
        """Propose and approve the fleet's bundle without waiting."""
        path_argument = str(self._bundle_path)
        for operator, verb in zip(
            OPERATORS, ("publish", "approve"), strict=True
        ):
            self.run_operator_command(
                operator, "bundle", verb, path_argument, "--wait", "0"
            )

    def wait_ready(self) -> None:
        """Wait until each entry can use each endpoint with all its models.

        :raises TimeoutError: the fleet is not ready in time.
        """
        required_counts = {
            endpoint.name: len(endpoint.models)
            for endpoint in self.bundle.endpoints
        }

        def is_ready() -> bool:
            return all(
                self._is_entry_ready(e, required_counts) for e in self._entries
            )

        self.wait_until(is_ready, "the fleet is not ready")

    def _is_entry_ready(
        self, entry: processes.Process, required_counts: dict[str, int]
    ) -> bool:
        usable = {
            agent["endpoint"]: len(agent["loaded"])
            for agent in self.fetch_status(entry)["agents"]
            if agent.get("usable")
        }
        return all(
            usable.get(name, -1) >= count
            for name, count in required_counts.items()
        )

    def wait_until(
        self, condition: typing.Callable[[], bool], message: str
    ) -> None:
        """Poll until a condition holds.

        :param condition: returns whether it holds.
        :param message: message of the error on a timeout.
        :raises TimeoutError: the condition did not hold in time.
        """
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(message)
            time.sleep(POLL_SECONDS)

    def fetch_status(self, entry: processes.Process) -> Json:
        """Return the body of an entry's /status."""
        return self.get_json(f"{entry.url}/status")

    def get_json(self, url: str) -> Json:
        """Return the JSON object at a URL."""
        answer = requests.get(url, timeout=CALL_TIMEOUT_SECONDS)
        value: Json = answer.json()
        return value

    def set_faults(self, process: processes.Process, **faults: object) -> None:
        """Change faults of a stand-in; the others keep their values.

        :param process: the stand-in.
        :param faults: new values by fault name.
        """
        requests.post(
            f"{process.url}/faults", json=faults, timeout=CALL_TIMEOUT_SECONDS
        ).raise_for_status()

    def route(self, name: str, target: str) -> str:
        """Open a route on the fault proxy and return its address.

        A route that is already open gets the new target.

        :param name: the route's name.
        :param target: IP address and port that the route leads to.
        """
        if self._proxy is None:
            raise RuntimeError(
                "the fleet has no fault proxy: set has_proxy or has_own_routes"
            )
        answer = requests.post(
            f"{self._proxy.url}/routes",
            json={"name": name, "target": target},
            timeout=CALL_TIMEOUT_SECONDS,
        )
        return f"127.0.0.1:{answer.json()['port']}"

    def set_route_fault(
        self, name: str, mode: str, delay: float = 0.0
    ) -> None:
        """Set the fault of a route.

        :param name: the route's name.
        :param mode: the fault mode, as in :class:`proxy.RouteFaults`.
        :param delay: delay of each chunk in seconds, for mode ``delay``.
        """
        if self._proxy is None:
            raise RuntimeError(
                "the fleet has no fault proxy: set has_proxy or has_own_routes"
            )
        requests.post(
            f"{self._proxy.url}/routes/{name}/faults",
            json={"mode": mode, "delay_seconds": delay},
            timeout=CALL_TIMEOUT_SECONDS,
        ).raise_for_status()

    def stop(self) -> None:
        """Stop entries, agents, endpoints and platform, in that order."""
        for entry in self._entries:
            entry.terminate()
        for entry in self._entries:
            entry.wait()
        for managed in self._endpoints.values():
            managed.agent.terminate()
        for managed in self._endpoints.values():
            managed.agent.wait()
        self._group.stop()

    def kill(self) -> None:
        """Kill all processes with SIGKILL."""
        self._group.kill()
