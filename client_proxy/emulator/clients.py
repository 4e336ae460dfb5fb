"""The clients of one proxy, which make the planned requests and retry them."""

from __future__ import annotations

import asyncio

from client_proxy.api.settings import Idempotency
from client_proxy.emulator.client_connection import ClientConnection, Response
from client_proxy.emulator.environment import ClientEnvironment
from client_proxy.emulator.event_log import (
    AttemptOutcome,
    ClientAttempt,
    ClientRequest,
    RequestOutcome,
)
from client_proxy.emulator.random_streams import uniform_draw
from client_proxy.emulator.request_plan import PlannedRequest
from client_proxy.emulator.scenario import RequestClassSpec

READY_REQUEST = b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n"
MAX_SENDS = 2
"""Times that an attempt is sent at most: again if the proxy closed its reused connection meanwhile."""
REJECTED_STATUSES = (429, 503)
"""Statuses with which a proxy rejects an attempt."""
REQUEST_BODY = "form"


class ClientGroup:
    """The clients of one proxy, with a pool of connections to it."""

    def __init__(self, environment: ClientEnvironment, proxy: int) -> None:
        self.proxy = proxy
        self.loop = environment.loop
        self._environment = environment
        self._idle: list[ClientConnection] = []
        self._free_connections = asyncio.Semaphore(environment.scenario.clients.max_connections)
        self._requests: set[asyncio.Task[None]] = set()

    def remove_connection(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended from the idle connections."""
        if connection in self._idle:
            self._idle.remove(connection)

    async def proxy_is_ready(self) -> bool:
        """Return whether the proxy answers its readiness check with status 200."""
        try:
            connection = await self._connect()
        except OSError:
            return False
        attempt = ClientAttempt("", self.proxy, -1, "", "", 0.0)
        response = await connection.send_request(attempt, READY_REQUEST)
        connection.close()
        return response is not None and response.status == 200

    async def run(self, planned: list[PlannedRequest], start_s: float) -> None:
        """Make all requests at their times and wait until they have ended."""
        for request in planned:
            wait_s = start_s + request.at_s - self.loop.time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            task = self.loop.create_task(self._request(request))
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)
        while self._requests:
            await asyncio.wait(list(self._requests))

    async def _request(self, planned: PlannedRequest) -> None:
        """Make one request: up to `max_retries` retries follow its first attempt."""
        max_retries = self._environment.scenario.clients.max_retries
        request_class = self._environment.classes[planned.class_name]
        request = ClientRequest(self.proxy, planned.number, request_class.name, self.loop.time())
        self._environment.event_log.requests.append(request)
        for number in range(max_retries + 1):
            attempt = self._new_attempt(planned, request_class, number)
            response = await self._run_attempt(attempt, planned, request_class, is_retry=number > 0)
            request.attempts.append(attempt)
            request.ended_s = self.loop.time()
            request.outcome = self._request_outcome(request, attempt, request_class)
            served = attempt.outcome is AttemptOutcome.SERVED
            if served or number == max_retries or not self._may_retry(attempt, request_class):
                break
            await asyncio.sleep(self._backoff_s(response))
        self._environment.request_ended(request)

    def _new_attempt(
        self, planned: PlannedRequest, request_class: RequestClassSpec, number: int
    ) -> ClientAttempt:
        seed = self._environment.scenario.seed
        draw = uniform_draw(seed, "id", self.proxy, planned.number, number)
        attempt_id = f"{int(draw * 2**52):013x}{self.proxy:x}{number:x}"
        key = f"{self.proxy}-{planned.number}-{planned.key}"
        attempt = ClientAttempt(
            attempt_id, self.proxy, planned.number, request_class.name, key, planned.work_ms
        )
        self._environment.event_log.attempts[attempt_id] = attempt
        return attempt

    @staticmethod
    def _request_outcome(
        request: ClientRequest, attempt: ClientAttempt, request_class: RequestClassSpec
    ) -> RequestOutcome:
        if attempt.outcome is AttemptOutcome.SERVED:
            objective_s = request_class.latency_objective_ms / 1000.0
            in_time = attempt.ended_s - request.requested_s <= objective_s
            return RequestOutcome.SERVED if in_time else RequestOutcome.LATE
        rejected = attempt.outcome is AttemptOutcome.REJECTED
        return RequestOutcome.REJECTED if rejected else RequestOutcome.FAILED

    @staticmethod
    def _may_retry(attempt: ClientAttempt, request_class: RequestClassSpec) -> bool:
        """Return whether a retry is safe.

        A rejection promises that nothing ran. After a failure the request may have run, so it is not repeated
        if it is not idempotent.
        """
        if attempt.outcome is AttemptOutcome.REJECTED:
            return True
        return request_class.idempotency is not Idempotency.NOT_IDEMPOTENT

    def _backoff_s(self, response: Response | None) -> float:
        clients = self._environment.scenario.clients
        backoff_s = clients.backoff_ms / 1000.0
        if response is not None and response.retry_after_s and clients.honours_retry_after:
            backoff_s = max(backoff_s, min(response.retry_after_s, clients.max_retry_after_ms / 1000.0))
        return backoff_s

    async def _run_attempt(
        self,
        attempt: ClientAttempt,
        planned: PlannedRequest,
        request_class: RequestClassSpec,
        is_retry: bool,
    ) -> Response | None:
        """Wait for a free connection, send one attempt on it and record the outcome."""
        await self._free_connections.acquire()
        try:
            share = self._environment.scenario.clients.attempt_deadline_share
            attempt.sent_s = self.loop.time()
            attempt.deadline_s = attempt.sent_s + request_class.deadline_ms * share / 1000.0
            response = await self._send(attempt, planned, request_class, is_retry)
        finally:
            self._free_connections.release()
        if response is not None:
            self._record_response(attempt, response)
        return response

    async def _send(
        self,
        attempt: ClientAttempt,
        planned: PlannedRequest,
        request_class: RequestClassSpec,
        is_retry: bool,
    ) -> Response | None:
        """Send an attempt and return its response; without a response, record the outcome and return None."""
        incarnation = self._environment.proxies[self.proxy].incarnation
        for send_number in range(MAX_SENDS):
            reused = bool(self._idle)
            try:
                connection = self._idle.pop() if reused else await self._connect()
            except OSError:
                self._record_end(attempt, AttemptOutcome.PROXY_GONE)
                return None
            remaining_ms = 1000.0 * (attempt.deadline_s - self.loop.time())
            request = _encode_request(attempt, planned, request_class, is_retry, remaining_ms)
            waiter = connection.send_request(attempt, request)
            try:
                response = await self._wait_for_response(attempt, waiter)
            except TimeoutError:
                connection.close()
                self._record_end(attempt, self._outcome_without_response(incarnation))
                return None
            if response is not None:
                self._release_connection(connection)
                return response
            # A proxy may close an idle connection at the moment at which a request is sent on it.
            if not reused or send_number or connection.answer_begun:
                break
        self._record_end(attempt, self._outcome_without_response(incarnation))
        return None

    async def _wait_for_response(
        self, attempt: ClientAttempt, waiter: asyncio.Future[Response | None]
    ) -> Response | None:
        grace_s = self._environment.scenario.rules.answer_grace_ms / 1000.0
        async with asyncio.timeout_at(attempt.deadline_s + grace_s):
            return await waiter

    @staticmethod
    def _record_response(attempt: ClientAttempt, response: Response) -> None:
        attempt.status, attempt.ended_s = response.status, response.at_s
        if response.status == 200:
            in_time = response.at_s <= attempt.deadline_s
            attempt.outcome = AttemptOutcome.SERVED if in_time else AttemptOutcome.FAILED
            attempt.foreign_answer = not response.body.startswith(attempt.attempt_id.encode() + b" ")
        elif response.status in REJECTED_STATUSES:
            attempt.outcome = AttemptOutcome.REJECTED
        else:
            attempt.outcome = AttemptOutcome.FAILED

    def _outcome_without_response(self, incarnation: int) -> AttemptOutcome:
        """Return `LOST`, or `PROXY_GONE` if the proxy that got the attempt was killed meanwhile."""
        proxy = self._environment.proxies[self.proxy]
        if proxy.incarnation == incarnation and proxy.up:
            return AttemptOutcome.LOST
        return AttemptOutcome.PROXY_GONE

    def _record_end(self, attempt: ClientAttempt, outcome: AttemptOutcome) -> None:
        attempt.outcome, attempt.ended_s = outcome, self.loop.time()

    async def _connect(self) -> ClientConnection:
        host, port = self._environment.proxies[self.proxy].address
        _, connection = await self.loop.create_connection(lambda: ClientConnection(self), host, port)
        return connection

    def _release_connection(self, connection: ClientConnection) -> None:
        if connection.is_reusable():
            self._idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        for connection in list(self._idle):
            connection.close()


def _encode_request(
    attempt: ClientAttempt,
    planned: PlannedRequest,
    request_class: RequestClassSpec,
    is_retry: bool,
    remaining_ms: float,
) -> bytes:
    method = "GET" if request_class.idempotency is Idempotency.IDEMPOTENT else "POST"
    lines = [
        f"{method} /{request_class.name}/{planned.key} HTTP/1.1",
        "Host: app.svc",
        f"X-Trace-Id: {attempt.attempt_id}",
        f"X-Expires-In-Ms: {max(1, int(remaining_ms))}",
    ]
    if request_class.idempotency is Idempotency.IDEMPOTENCY_KEY:
        lines.append(f"Idempotency-Key: {attempt.idempotency_key}")
    if is_retry:
        lines.append("X-Second-Try: 1")
    body = ""
    if method == "POST":
        body = REQUEST_BODY
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()
