"""The control socket of a running instance: a Unix socket with one line of JSON in each direction per call.

Access is controlled by file permissions: the socket has mode 0600, in a folder that the operators choose.
The number of callers at a time, the size of a question and the duration of a call are limited. A caller that
sends an invalid question gets an error as answer. One that sends or reads nothing is disconnected.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import socket
import stat
from collections.abc import Callable
from pathlib import Path
from typing import Any

from client_proxy.cli.errors import CommandError, ControlAnswerError

log = logging.getLogger(__name__)

MAX_CALLERS = 16  # connections that are served at the same time
MAX_QUESTION_BYTES = 4096
MAX_ANSWER_BYTES = 4 * 1024 * 1024
CALL_TIMEOUT_S = 5.0  # s; from accepting a connection until its answer is written

Json = dict[str, Any]
CommandHandler = Callable[[Json], Json]


class ControlSocket:
    """Serves the control socket.

    It answers `{"do": VERB, ...}` with `{"ok": true, ...}` or `{"ok": false, "why": ...}`.
    """

    def __init__(self, path: Path, handlers: dict[str, CommandHandler]) -> None:
        self._path, self._handlers = path, handlers
        self._server: asyncio.Server | None = None
        self._callers = 0

    async def start(self) -> None:
        """Starts to listen. A socket that nobody listens on, as a crash leaves it, is replaced.

        Raises:
            OSError: Another instance listens there, or the path is not a socket, or can't be bound.
        """
        self._remove_stale_socket()
        previous_umask = os.umask(0o177)
        try:
            self._server = await asyncio.start_unix_server(
                self._serve_caller, str(self._path), limit=MAX_QUESTION_BYTES
            )
        finally:
            os.umask(previous_umask)

    def _remove_stale_socket(self) -> None:
        try:
            mode = os.stat(self._path).st_mode
        except FileNotFoundError:
            return
        if not stat.S_ISSOCK(mode):
            raise OSError(f"{self._path}: the path is something else than a socket")
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
            try:
                probe.connect(str(self._path))
            except ConnectionRefusedError:
                os.unlink(self._path)
                return
        raise OSError(f"{self._path}: another instance listens there")

    def close(self) -> None:
        """Stops listening and removes the socket."""
        if self._server is not None:
            self._server.close()
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self._path)

    async def _serve_caller(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._callers += 1
        try:
            if self._callers > MAX_CALLERS:
                self._write(writer, {"ok": False, "why": "too many callers"})
                return
            async with asyncio.timeout(CALL_TIMEOUT_S):
                try:
                    line = await reader.readline()
                except ValueError:
                    self._write(
                        writer, {"ok": False, "why": f"a question has {MAX_QUESTION_BYTES} bytes at most"}
                    )
                    return
                if line:
                    self._write(writer, self.answer(line))
                    await writer.drain()
        except (TimeoutError, ConnectionError):
            pass
        finally:
            self._callers -= 1
            writer.close()

    @staticmethod
    def _write(writer: asyncio.StreamWriter, answer: Json) -> None:
        writer.write(json.dumps(answer).encode() + b"\n")

    def answer(self, line: bytes) -> Json:
        """Returns the answer to one question; errors are part of the answer, none is raised."""
        try:
            question = json.loads(line)
            verb = question["do"] if isinstance(question, dict) else None
        except (ValueError, KeyError, RecursionError):
            verb = None
        if not isinstance(verb, str) or verb not in self._handlers:
            return {"ok": False, "why": f'not a question; {{"do": one of {sorted(self._handlers)}}}'}
        try:
            return {"ok": True, **self._handlers[verb](question)}
        except CommandError as error:
            return {"ok": False, "why": str(error)}
        except Exception:  # a bug in one command must not end the instance
            log.exception("control socket: the command %s failed", verb)
            return {"ok": False, "why": "it failed here; the log says how"}


def ask(path: Path, question: Json) -> Json:
    """Sends a question to the instance that listens at `path` and returns its answer.

    Raises:
        OSError: The instance can't be reached, or does not answer in time.
        ControlAnswerError: The answer is too long, or is not a JSON object (a ValueError).
        ValueError: The answer is not JSON.
    """
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(CALL_TIMEOUT_S)
        sock.connect(str(path))
        sock.sendall(json.dumps(question).encode() + b"\n")
        received = bytearray()
        while not received.endswith(b"\n") and (chunk := sock.recv(65536)):
            received += chunk
            if len(received) > MAX_ANSWER_BYTES:
                raise ControlAnswerError(f"the answer has more than {MAX_ANSWER_BYTES} bytes")
    answer = json.loads(bytes(received))
    if not isinstance(answer, dict):
        raise ControlAnswerError("the answer is not a JSON object")
    return answer
