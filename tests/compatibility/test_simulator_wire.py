"""The adapter answers a recorded stream of the simulator's events with the frozen bytes."""

from __future__ import annotations

import io
import json
import typing
from typing import Any

from client_proxy import adapter
from client_proxy.api import actions as api
from tests.compatibility import edge_objects as objects

EVENT_KINDS = {
    "begin", "register", "sync", "new_request", "resolved", "power_off", "timeout_fired", "peer",
    "head_received", "left", "health_result",
}  # fmt: skip

ERROR_REPLY = '{"n":1,"groups":[{"who":"proxy_0","cmds":[{"give_in":{"message":"%s"}}]}]}'
DUPLICATE_REQUEST = ERROR_REPLY % "ValueError: request 1 arrived twice"
TIME_BACKWARDS = ERROR_REPLY % "ValueError: time ran backwards: -1.0 after 10"


def recorded_batches() -> list[dict[str, Any]]:
    """Returns the recorded batches of events."""
    return [json.loads(line) for line in objects.sample("simulator_events.jsonl").splitlines()]


def test_the_recorded_stream_is_answered_with_the_frozen_bytes() -> None:
    lines = objects.sample("simulator_events.jsonl").decode().splitlines(keepends=True)
    answers, errors = io.StringIO(), io.StringIO()
    assert adapter.serve(lines, answers, errors) == 0
    assert answers.getvalue().encode() == objects.sample("simulator_answers.jsonl")
    assert errors.getvalue() == "adapter: unknown event 'weather' ignored\n"


def test_the_recorded_stream_has_every_kind_of_event() -> None:
    news = [message for batch in recorded_batches() for group in batch["groups"] for message in group["news"]]
    kinds = {kind for message in news for kind in message}
    assert kinds == EVENT_KINDS | {"weather"}
    assert set(adapter.EVENTS) <= EVENT_KINDS
    verdicts = {m["resolved"]["verdict"] for m in news if "resolved" in m}
    assert verdicts == {100, 301, 302, 303, 304, 305, 306, 307} == set(adapter.OUTCOMES)
    scopes = {m["sync"]["scope"] for m in news if "sync" in m}
    assert scopes == {"update", "replace", "restored", "unavailable"} == set(adapter.LIST_KINDS)


def test_every_action_is_written_in_its_frozen_form() -> None:
    actions: dict[api.Action, str] = {
        api.Send(5, "h", 80.0): '{"try": {"handle": 5, "host": "h", "max_wait_ms": 80.0}}',
        api.SetTimer(9.0, 77): '{"defer": {"in_ms": 9.0, "cookie": 77}}',
        api.Reject(5, 30.0): '{"overload_reply": {"handle": 5, "retry_after_ms": 30.0}}',
        api.Fail(5): '{"give_up": {"handle": 5}}',
        api.Cancel(5, 1): '{"cancel": {"handle": 5, "n": 1}}',
        api.Probe("h"): '{"check": {"host": "h"}}',
        api.CloseIdle("h"): '{"disconnect": {"host": "h"}}',
        api.Subscribe(): '{"track": {"active": true}}',
        api.Log("text"): '{"remark": {"message": "text"}}',
    }
    assert {type(action) for action in actions} == set(typing.get_args(api.Action))
    for action, written in actions.items():
        assert json.dumps(adapter.write_action(action)) == written


def first_request_batches() -> list[dict[str, Any]]:
    """Returns the recorded batches up to the first one with a request."""
    batches = recorded_batches()
    last = next(
        number
        for number, batch in enumerate(batches)
        if any("new_request" in message for group in batch["groups"] for message in group["news"])
    )
    return batches[: last + 1]


def answer_to_misuse(change: dict[str, Any]) -> str:
    """Sends the batch with the first request again, with `change` applied, and returns the last reply."""
    batches = first_request_batches()
    repeated = json.loads(json.dumps(batches[-1])) | change
    repeated["groups"] = [
        {**group, "news": [message for message in group["news"] if "new_request" in message]}
        for group in repeated["groups"]
    ]
    answers, errors = io.StringIO(), io.StringIO()
    assert adapter.serve([json.dumps(batch) for batch in [*batches, repeated]], answers, errors) == 1
    return answers.getvalue().splitlines()[-1]


def test_misuse_of_a_balancer_is_reported_with_the_frozen_message() -> None:
    assert answer_to_misuse({}) == DUPLICATE_REQUEST
    assert answer_to_misuse({"ts_ms": -1.0}) == TIME_BACKWARDS
