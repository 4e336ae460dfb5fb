"""Checks that a started Python program runs in one process and never starts another.

Inside the program, an audit hook of the interpreter ends it at its first fork, exec or spawn. From outside,
/proc shows child processes that native code started without the interpreter noticing.
"""

from __future__ import annotations

import os
from pathlib import Path

GUARD_EXIT_CODE = 97  # exit code of a program that the audit hook ended

HOOK_SOURCE = f"""
import os, sys
FORBIDDEN = ("os.exec", "os.fork", "os.forkpty", "os.posix_spawn", "os.spawn", "os.system", "pty.spawn",
          "subprocess.Popen")

def end_process(event, arguments):
    if event in FORBIDDEN:
        os.write(2, b"barred: " + event.encode() + b"\\n")
        os._exit({GUARD_EXIT_CODE})

sys.addaudithook(end_process)
"""


def environment_with_guard(folder: Path, env: dict[str, str]) -> dict[str, str]:
    """Writes the hook into `folder` and returns the environment that makes the interpreter load it."""
    (folder / "sitecustomize.py").write_text(HOOK_SOURCE)
    path = os.pathsep.join(filter(None, (str(folder), env.get("PYTHONPATH", ""))))
    return {**env, "PYTHONPATH": path}


def command_line(pid: int) -> list[str]:
    """Returns the arguments that the process was started with."""
    return Path(f"/proc/{pid}/cmdline").read_bytes().decode().split("\0")[:-1]


def has_had_child(pid: int) -> bool:
    """Returns whether the process has a child, or had one that it has waited for.

    A child that ran caused page faults, which are added to its parent's count once it has been waited for
    (proc(5), cminflt)."""
    tasks = list(Path(f"/proc/{pid}/task").iterdir())
    has_living_child = any((task / "children").read_text().split() for task in tasks)
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return has_living_child or int(fields[8]) > 0


def all_threads_sleep(pid: int) -> bool:
    """Returns whether every thread of the process sleeps."""
    states = [
        task.read_text().rpartition(")")[2].split()[0] for task in Path(f"/proc/{pid}/task").glob("*/stat")
    ]
    return bool(states) and set(states) == {"S"}


def loaded_libraries(pid: int) -> set[str]:
    """Returns the file names of the libraries mapped into the process."""
    lines = Path(f"/proc/{pid}/maps").read_text().splitlines()
    return {Path(line.split(None, 5)[5]).name for line in lines if line.count("/")}
