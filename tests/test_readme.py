"""The README's example runs as printed."""

import re
from pathlib import Path


def test_the_example_works() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (example,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(example, "README.md", "exec"), {})
