"""The control socket of a running instance: a Unix socket, a line of JSON each way.

Whoever may write to the socket's file may ask; its mode is 0600, in a folder of the operators' choosing.
Bounds: so many callers at a time, so many bytes a question, so many seconds for all of a call. A caller that
sends noise gets an answer that says so, one that says nothing or reads nothing is closed.
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

MAX_CALLERS = 16
MAX_QUESTION_BYTES = 4096
MAX_ANSWER_BYTES = 4 * 1024 * 1024
CALL_TIMEOUT_S = 5.0

Json = dict[str, Any]
Verb = Callable[[Json], Json]


class Control:
    """Answers `{"do": VERB, ...}` with `{"ok": true, ...}` or `{"ok": false, "why": ...}`."""

    def __init__(self, path: Path, verbs: dict[str, Verb]) -> None:
        self._path, self._verbs = path, verbs
        self._server: asyncio.Server | None = None
        self._callers = 0

    async def start(self) -> None:
        """Listen. Raises OSError if the path can't be had; a socket that nobody listens on is replaced."""
        self._remove_stale_socket()
        before = os.umask(0o177)
        try:
            self._server = await asyncio.start_unix_server(
                self._serve_caller, str(self._path), limit=MAX_QUESTION_BYTES
            )
        finally:
            os.umask(before)

    def _remove_stale_socket(self) -> None:
        try:
            mode = os.stat(self._path).st_mode
        except FileNotFoundError:
            return
        if not stat.S_ISSOCK(mode):
            raise OSError(f"{self._path}: there is something else than a socket")
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
            try:
                probe.connect(str(self._path))
            except ConnectionRefusedError:
                os.unlink(self._path)
                return
        raise OSError(f"{self._path}: another instance listens there")

    def close(self) -> None:
        """Listen no more, and remove the socket."""
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
        """Return the answer to one question. Nothing is raised."""
        try:
            question = json.loads(line)
            verb = question["do"] if isinstance(question, dict) else None
        except (ValueError, KeyError, RecursionError):
            verb = None
        if not isinstance(verb, str) or verb not in self._verbs:
            return {"ok": False, "why": f'not a question; {{"do": one of {sorted(self._verbs)}}}'}
        try:
            return {"ok": True, **self._verbs[verb](question)}
        except CommandError as error:
            return {"ok": False, "why": str(error)}
        except Exception:  # a fault of one command must not end the instance
            log.exception("the control socket: %s", verb)
            return {"ok": False, "why": "it failed here; the log says how"}


def ask(path: Path, question: Json) -> Json:
    """Ask a running instance.

    Raises OSError if nobody answers, ControlAnswerError (a ValueError) for what is no answer.
    """
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(CALL_TIMEOUT_S)
        sock.connect(str(path))
        sock.sendall(json.dumps(question).encode() + b"\n")
        received = bytearray()
        while not received.endswith(b"\n") and (part := sock.recv(65536)):
            received += part
            if len(received) > MAX_ANSWER_BYTES:
                raise ControlAnswerError("the answer is too long")
    answer = json.loads(bytes(received))
    if not isinstance(answer, dict):
        raise ControlAnswerError("the answer is none")
    return answer
