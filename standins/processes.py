"""Starts and ends the processes of demos, tests and experiments."""

import contextlib
import os
import pathlib
import selectors
import signal
import subprocess
import sys
import time
import typing

START_TIMEOUT_SECONDS = 60.0
STOP_TIMEOUT_SECONDS = 45.0
_LISTENING = b"listening "
_TAIL_CHARACTERS = 2000


class Process:
    """A process that this one started.

    :param name: for messages.
    :param arguments: the command line, without the interpreter.
    :param log_path: where its standard error goes.
    """

    def __init__(
        self,
        name: str,
        arguments: typing.Sequence[str],
        log_path: pathlib.Path,
    ) -> None:
        self._name = name
        self._log_path = log_path
        self._port = 0
        with log_path.open("ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=subprocess.PIPE,
                stderr=log,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    @property
    def name(self) -> str:
        """The name for messages."""
        return self._name

    @property
    def pid(self) -> int:
        """The process's id."""
        return self._popen.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._popen.poll() is None

    @property
    def address(self) -> str:
        """IP number and port, once it listens."""
        return f"127.0.0.1:{self.port}"

    @property
    def url(self) -> str:
        """The base address for HTTP, once it listens."""
        return f"http://{self.address}"

    @property
    def port(self) -> int:
        """The port, once it listens; waits for it.

        :raises RuntimeError: the process ended or printed something else.
        """
        if not self._port:
            self._port = self._read_port()
        return self._port

    def _read_port(self) -> int:
        stdout = self._popen.stdout
        if stdout is None:
            raise RuntimeError(f"{self._name}: no output")
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        with selectors.DefaultSelector() as selector:
            selector.register(stdout, selectors.EVENT_READ)
            selector.select(max(0.0, deadline - time.monotonic()))
        line = stdout.readline()
        if not line.startswith(_LISTENING):
            tail = self._log_path.read_text()[-_TAIL_CHARACTERS:]
            raise RuntimeError(f"{self._name} did not start: {line!r}\n{tail}")
        return int(line[len(_LISTENING) :])

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal.

        :param number: the signal.
        """
        with contextlib.suppress(ProcessLookupError):
            self._popen.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.send_signal(signal.SIGKILL)
        self.wait()

    def freeze(self) -> None:
        """Pause the process."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let the process go on."""
        self.send_signal(signal.SIGCONT)

    def stop(self) -> None:
        """Ask the process to stop, and wait for it."""
        self.terminate()
        self.wait()

    def terminate(self) -> None:
        """Ask the process to stop."""
        self.thaw()
        self.send_signal(signal.SIGTERM)

    def wait(self) -> int:
        """Wait until the process has ended, and return its exit code."""
        try:
            code = self._popen.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self._popen.kill()
            code = self._popen.wait()
        if self._popen.stdout is not None:
            self._popen.stdout.close()
        return code


class ProcessGroup:
    """Processes that end together, the last one first.

    :param directory: where their logs go.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        self._directory = directory
        self._processes: list[Process] = []

    def start(self, name: str, *arguments: str) -> Process:
        """Start a process.

        :param name: for messages and its log's name.
        :param arguments: the command line, without the interpreter.
        """
        process = Process(name, arguments, self._directory / f"{name}.log")
        self._processes.append(process)
        return process

    def stop(self) -> None:
        """Stop all, each given the time to shut down gracefully."""
        for process in reversed(self._processes):
            process.terminate()
        for process in reversed(self._processes):
            process.wait()

    def kill(self) -> None:
        """End all at once."""
        for process in self._processes:
            process.send_signal(signal.SIGKILL)
        for process in self._processes:
            process.wait()
