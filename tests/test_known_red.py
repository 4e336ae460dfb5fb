"""The list of known failures is short and well formed, and names tests that exist."""

from __future__ import annotations

import pytest

from tests.conftest import MAX_KNOWN_RED, ROOT, parse_known_failures, read_known_failures

TEST = "tests/test_known_red.py::test_an_entry_is_read"
COMMAND, SEED, SEEN, ISSUE = "command: pytest tests", "seed: 7", "seen: it fails; always", "issue 45"


def test_every_known_failure_names_an_existing_file() -> None:
    for entry in read_known_failures():
        assert (ROOT / entry.test.partition("::")[0]).is_file()


def test_an_entry_is_read() -> None:
    (entry,) = parse_known_failures("; ".join((TEST, COMMAND, SEED, SEEN, ISSUE)) + "\n")
    assert entry == (TEST, "pytest tests", "7", "it fails; always", 45)


@pytest.mark.parametrize("missing", [TEST, COMMAND, SEED, SEEN, ISSUE])
def test_an_entry_with_a_missing_part_is_refused(missing: str) -> None:
    parts = [part for part in (TEST, COMMAND, SEED, SEEN, ISSUE) if part != missing]
    with pytest.raises(ValueError, match=r"KNOWN-RED\.txt: not in the form"):
        parse_known_failures("; ".join(parts))


@pytest.mark.parametrize("test", ["tests/test_none.py::test_a", "tests/test_known_red.py::test_none"])
def test_an_entry_whose_test_does_not_exist_is_refused(test: str) -> None:
    with pytest.raises(ValueError, match="there is no test"):
        parse_known_failures("; ".join((test, COMMAND, SEED, SEEN, ISSUE)))


def test_a_list_that_is_too_long_is_refused() -> None:
    text = "\n".join(["; ".join((TEST, COMMAND, SEED, SEEN, ISSUE))] * (MAX_KNOWN_RED + 1))
    with pytest.raises(ValueError, match="3 at most are allowed"):
        parse_known_failures(text)
