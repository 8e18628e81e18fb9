"""Child processes of demos, tests and experiments."""

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
    """A child process that prints ``listening PORT`` when it is ready.

    :param name: the name in error messages.
    :param arguments: the command line without the Python interpreter.
    :param log_path: file to which its standard error is appended.
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
        """The name in error messages."""
        return self._name

    @property
    def pid(self) -> int:
        """The process ID."""
        return self._popen.pid

    @property
    def is_running(self) -> bool:
        """Whether the process is still running."""
        return self._popen.poll() is None

    @property
    def address(self) -> str:
        """IP address and port; waits until the process listens."""
        return f"127.0.0.1:{self.port}"

    @property
    def url(self) -> str:
        """The base URL; waits until the process listens."""
        return f"http://{self.address}"

    @property
    def port(self) -> int:
        """The port; waits until the process listens.

        :raises RuntimeError: the process ended or its first line is not
            ``listening PORT``.
        """
        if not self._port:
            self._port = self._read_port()
        return self._port

    def _read_port(self) -> int:
        stdout = self._popen.stdout
        if stdout is None:
            raise RuntimeError(f"{self._name}: standard output is no pipe")
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        with selectors.DefaultSelector() as selector:
            selector.register(stdout, selectors.EVENT_READ)
            selector.select(max(0.0, deadline - time.monotonic()))
        line = stdout.readline()
        if not line.startswith(_LISTENING):
            tail = self._log_path.read_text()[-_TAIL_CHARACTERS:]
            raise RuntimeError(
                f"{self._name} did not start: first line of output is "
                f"{line!r}, not 'listening PORT'; end of its log:\n{tail}"
            )
        return int(line[len(_LISTENING) :])

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal unless the process has ended.

        :param number: the signal.
        """
        with contextlib.suppress(ProcessLookupError):
            self._popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for it."""
        self.send_signal(signal.SIGKILL)
        self.wait()

    def freeze(self) -> None:
        """Pause the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume the process with SIGCONT."""
        self.send_signal(signal.SIGCONT)

    def stop(self) -> None:
        """Terminate the process and wait for its end."""
        self.terminate()
        self.wait()

    def terminate(self) -> None:
        """Send SIGTERM, after resuming the process if it is paused."""
        self.thaw()
        self.send_signal(signal.SIGTERM)

    def wait(self) -> int:
        """Wait for the process to end and return its exit code.

        After ``STOP_TIMEOUT_SECONDS`` the process is killed.
        """
        try:
            code = self._popen.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self._popen.kill()
            code = self._popen.wait()
        if self._popen.stdout is not None:
            self._popen.stdout.close()
        return code


class ProcessGroup:
    """Processes that are stopped together, in reverse order of their start.

    :param directory: directory for their logs.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        self._directory = directory
        self._processes: list[Process] = []

    def start(self, name: str, *arguments: str) -> Process:
        """Start a process.

        :param name: the name in error messages and of the log file.
        :param arguments: the command line without the Python interpreter.
        """
        process = Process(name, arguments, self._directory / f"{name}.log")
        self._processes.append(process)
        return process

    def stop(self) -> None:
        """Terminate all processes and wait for their graceful shutdown."""
        for process in reversed(self._processes):
            process.terminate()
        for process in reversed(self._processes):
            process.wait()

    def kill(self) -> None:
        """Kill all processes with SIGKILL and wait for them."""
        for process in self._processes:
            process.send_signal(signal.SIGKILL)
        for process in self._processes:
            process.wait()
