"""Parsing of a JSON stream: objects on one or several lines, with chunks cut anywhere."""

from __future__ import annotations

import json
import tracemalloc
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from client_proxy.proxy.json_lines import JsonLines

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(st.characters(codec="utf-8")),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner, max_size=3),
    max_leaves=8,
)
OBJECTS = st.dictionaries(st.text(max_size=5), VALUES, max_size=4)


@given(
    messages=st.lists(st.none() | st.tuples(OBJECTS, st.sampled_from([None, 0, 1, 4])), max_size=6),
    cuts=st.lists(st.integers(1, 40), min_size=1, max_size=20),
    ends=st.sampled_from([b"\n", b"\r\n"]),
)
def test_parsed_messages_equal_the_sent_ones(
    messages: list[tuple[dict[str, Any], int | None] | None], cuts: list[int], ends: bytes
) -> None:
    stream = b""
    for message in messages:
        text = "" if message is None else json.dumps(message[0], indent=message[1], ensure_ascii=False)
        stream += text.encode().replace(b"\n", ends) + ends
    lines = JsonLines(1_000_000)
    parsed: list[Any] = []
    at = number = 0
    while at < len(stream):
        size = cuts[number % len(cuts)]
        parsed += lines.feed(stream[at : at + size])
        at, number = at + size, number + 1
    assert parsed == [None if message is None else message[0] for message in messages]


@pytest.mark.parametrize(
    "text",
    [
        b"nonsense\n",
        b"[1]\n",
        b"7\n",
        b'{"a": 1}}\n',
        b'{"a"\n: 1,}\n',
        b"{\n]\n",
        b'{"a": ' + b"[" * 100_000 + b"]" * 100_000 + b"}\n",
    ],
)
def test_malformed_object_is_an_error(text: bytes) -> None:
    with pytest.raises(ValueError):
        list(JsonLines(1_000_000).feed(text))


@pytest.mark.parametrize("piece", [b"x" * 100, b"{\n" * 50, b'{\n"a": 1,\n' + b"\n" * 90])
def test_object_without_an_end_is_bounded(piece: bytes) -> None:
    lines = JsonLines(1000)
    with pytest.raises(ValueError, match="too long"):
        for _ in range(100):
            list(lines.feed(piece))


def test_object_of_short_lines_takes_little_more_memory_than_its_size() -> None:
    # Kept as one object a line, these lines took eleven times their size, far over the limit on their bytes.
    line_count = 100_000
    lines = JsonLines(1_000_000)
    tracemalloc.start()
    try:
        assert not list(lines.feed(b'{"a": [\n'))
        for _ in range(line_count // 100):
            assert not list(lines.feed(b"12,\n" * 100))
        taken_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    # A growing buffer reserves an eighth of its size.
    assert taken_bytes <= 4 * line_count * 9 / 8 + 16_384
    assert list(lines.feed(b"12]}\n")) == [{"a": [12] * (line_count + 1)}]
