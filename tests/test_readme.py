"""The README's example of embedding the library runs unchanged."""

import re
from pathlib import Path

README = Path(__file__).parent.parent / "README.md"


def test_embedding_example_runs() -> None:
    (code,) = re.findall(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    names: dict[str, object] = {}
    exec(code, names)
    assert names["actions"]
