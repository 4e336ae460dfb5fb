"""`client-proxy`: the one command. Needs the extra `cli`; the platform's two `python -m` lines do not."""

from __future__ import annotations

import asyncio
import json
import sys
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import Any

from client_proxy.optional_dependencies import require

require("client-proxy", "cli", "click", "pydantic", "structlog")

import click  # noqa: E402

from client_proxy.cli.asking import ask_instance  # noqa: E402
from client_proxy.cli.policy import policy  # noqa: E402
from client_proxy.cli.rollout import rollout  # noqa: E402
from client_proxy.process_signals import PROCESS_SIGNALS  # noqa: E402
from client_proxy.toml_table import TomlError  # noqa: E402

FILE = click.Path(dir_okay=False, path_type=Path)
DIR = click.Path(file_okay=False, path_type=Path)
UNUSABLE, REFUSED = 2, 1


class Command(click.Group):
    """Faults of files end a command with their lines and exit code 2, and no traceback."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run a command."""
        try:
            return super().invoke(ctx)
        except TomlError as error:
            click.echo(error, err=True)
            ctx.exit(UNUSABLE)
        except OSError as error:
            click.echo(f"client-proxy: {error}", err=True)
            ctx.exit(REFUSED)


@click.group(cls=Command)
def main() -> None:
    """A client-side load balancer: serve, look after its files, rehearse."""


@main.command("version")
def version_command() -> None:
    """Print the version."""
    try:
        click.echo(version("client-proxy"))
    except PackageNotFoundError:
        click.echo("not installed")


@main.command()
@click.option("--config", "path", type=FILE, required=True, help="The instance's file.")
def serve(path: Path) -> None:
    """Run one client proxy until SIGTERM or SIGINT."""
    import uvloop

    from client_proxy.cli.instance_file import load_instance_file
    from client_proxy.cli.logs import configure_logging
    from client_proxy.cli.serve import run

    instance_file = load_instance_file(path)
    configure_logging(instance_file.file.log)
    uvloop.run(run(instance_file, PROCESS_SIGNALS))


# Files


@main.group()
def config() -> None:
    """Check, seal and compare files; look at the versions that were kept."""


@config.command("check")
@click.argument("files", type=FILE, nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def check(files: tuple[Path, ...], as_json: bool) -> None:
    """Check FILES: an instance's, or of servers; all faults of all of them."""
    worst = 0
    told: list[dict[str, Any]] = []
    for path in files:
        try:
            told.append({"file": str(path), "ok": True, "is": _checked(path)})
        except (TomlError, OSError) as error:
            worst = UNUSABLE
            told.append({"file": str(path), "ok": False, "faults": str(error).splitlines()})
    if as_json:
        click.echo(json.dumps(told, indent=1))
    else:
        for each in told:
            lines = [f"{each['file']}: {each['is']}"] if each["ok"] else each["faults"]
            for line in lines:
                click.echo(line, err=not each["ok"])
    sys.exit(worst)


def _checked(path: Path) -> str:
    from client_proxy.cli.instance_file import load_instance_file
    from client_proxy.config.fleet import read_server_list

    content = path.read_bytes()
    if b"[[class]]" in content:
        instance_file = load_instance_file(path)
        table = instance_file.file.servers
        more = f", and {_checked(instance_file.resolve_path(table.file))}" if table else ""
        return f"an instance with {len(instance_file.file.class_)} classes{more}"
    fleet = read_server_list(content, str(path))
    sealed = "sealed" if fleet.sealed else "not sealed"
    return f"{len(fleet.servers)} servers, {len(fleet.usable)} of them usable, {sealed}"


@config.command("seal")
@click.argument("file", type=FILE)
@click.option("--version", "number", type=int, help="In place of one above the file's own.")
def seal_command(file: Path, number: int | None) -> None:
    """Give FILE the next version and an end that shows that it is whole; replaced in one step."""
    from client_proxy.config.fleet import read_server_list, seal
    from client_proxy.config.models import FleetFile, parse

    content = file.read_bytes()
    if number is None:
        # Not checked as a whole: an edit under the old digest is just what is to be sealed.
        before = parse(FleetFile, content.decode(), str(file)).version
        number = 1 if before is None else before + 1
    sealed = seal(content, number)
    read_server_list(sealed, str(file))
    _replace(file, sealed)
    click.echo(f"{file}: version {number}")


def _replace(file: Path, content: bytes) -> None:
    from client_proxy.config.version_store import Folder

    folder, draft = Folder(file.parent), f".{file.name}.new"
    folder.write(draft, content)
    folder.rename(draft, file.name)
    folder.sync()


@config.command("diff")
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
def diff(old: Path, new: Path) -> None:
    """What changes from OLD to NEW, server by server. Exit code 1 if anything does."""
    from client_proxy.config.fleet import describe_server_changes, read_server_list

    one, other = (read_server_list(path.read_bytes(), str(path)) for path in (old, new))
    lines = describe_server_changes(one, other)
    for line in lines:
        click.echo(line)
    sys.exit(1 if lines else 0)


@config.command("history")
@click.argument("folder", type=DIR)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def history(folder: Path, as_json: bool) -> None:
    """The versions kept in FOLDER, the newest last, with what is torn."""
    from client_proxy.config.version_store import Folder, VersionStore

    kept = VersionStore(Folder(folder))
    rows: list[dict[str, Any]] = []
    for each in kept.versions():
        try:
            fleet = kept.read(each)
            rows.append({"number": each.number, "version": fleet.version, "servers": len(fleet.servers)})
        except (TomlError, OSError) as error:
            rows.append({"number": each.number, "torn": str(error).splitlines()[0]})
    if as_json:
        click.echo(json.dumps(rows, indent=1))
        return
    for row in rows:
        click.echo("  ".join(f"{key} {value}" for key, value in row.items() if value is not None))


@config.command("rollback")
@click.argument("file", type=FILE)
@click.argument("folder", type=DIR)
@click.option("--to", "number", type=int, help="Number of the kept version; without it the last but one.")
def rollback(file: Path, folder: Path, number: int | None) -> None:
    """Write a kept version to FILE again, sealed under a version above all others."""
    from client_proxy.config.fleet import seal
    from client_proxy.config.version_store import Folder, VersionStore

    kept = VersionStore(Folder(folder))
    versions = kept.versions()
    chosen = [v for v in versions if v.number == number] if number is not None else versions[-2:-1]
    if not chosen:
        raise TomlError(f"{folder}: no such version is kept")
    fleet = kept.read(chosen[0])
    highest = max([0] + [v for v in (_version(kept, each) for each in versions) if v is not None])
    _replace(file, seal(fleet.content, highest + 1))
    click.echo(f"{file}: what was kept as {chosen[0].number}, as version {highest + 1}")


def _version(kept: Any, each: Any) -> int | None:
    try:
        found: int | None = kept.read(each).version
    except (TomlError, OSError):
        return None
    return found


@config.command("schema")
@click.argument("of", type=click.Choice(["serve", "servers"]))
def schema(of: str) -> None:
    """Print the JSON schema of an instance's file or of a file of servers, for editors."""
    from client_proxy.config.models import FleetFile, ServeFile

    model = ServeFile if of == "serve" else FleetFile
    click.echo(json.dumps(model.model_json_schema(by_alias=True), indent=1))


@config.command("reference")
def reference() -> None:
    """Print the reference page of all keys, made from the models."""
    from client_proxy.config.reference import reference_page

    click.echo(reference_page(), nl=False)


# A running instance


@main.command()
@click.argument("socket", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def status(socket: Path, as_json: bool) -> None:
    """What the instance at the control SOCKET is doing."""
    said = ask_instance(socket, {"do": "status"})
    if as_json:
        click.echo(json.dumps(said, indent=1))
        return
    click.echo(f"{said['name']}: up {said['up_s']} s, {'ready' if said['ready'] else 'not ready'}")
    for server in said["servers"]:
        state = "paused" if server["paused"] else server["state"]
        click.echo(
            f"  {server['name']:24} {server['hall']:16} {state:9} {server['in_flight']:4} in flight"
            f"  {server['latency_ms']:8.1f} ms  errors {server['errors']:.3f}"
        )
    for line in (said.get("fleet") or {}).get("changes", []):
        click.echo(f"  {line}")


@main.command()
@click.argument("socket", type=click.Path(path_type=Path))
@click.option("--digest", help="Of what is held back; without it whatever is.")
def force(socket: Path, digest: str | None) -> None:
    """Have the instance take the list that it holds back."""
    question = {"do": "force"} | ({"digest": digest} if digest else {})
    click.echo(f"taken: {ask_instance(socket, question)['taken']}")


# Rehearsals


@main.command(
    context_settings={"ignore_unknown_options": True, "help_option_names": []},
)
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def rehearse(words: tuple[str, ...]) -> None:
    """Play scripted days: replay, compare, explore, check (as `python -m client_proxy.emulator`)."""
    from client_proxy.emulator.__main__ import main as rehearsal

    sys.argv = ["client-proxy rehearse", *words]
    sys.exit(rehearsal())


@main.command(
    "drill",
    context_settings={"ignore_unknown_options": True, "allow_interspersed_args": False},
    add_help_option=False,
)
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def drill(words: tuple[str, ...]) -> None:
    """Real processes with faults between them: run, replay, explore."""
    from client_proxy.fault_injection.command import main as drills

    drills(list(words), prog_name="client-proxy drill")


@main.command(
    "scale",
    context_settings={"ignore_unknown_options": True, "allow_interspersed_args": False},
    add_help_option=False,
)
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def scale(words: tuple[str, ...]) -> None:
    """Hundreds of hollow instances beside real ones: what control costs, and how soon a change holds."""
    from client_proxy.scale.command import main as scales

    scales(list(words), prog_name="client-proxy scale")


@main.group()
def world() -> None:
    """Emulated servers to try things on."""


@world.command("up")
@click.argument("day", type=FILE)
@click.option("--servers", "out", type=FILE, required=True, help="Write the file of servers there.")
@click.option("--for", "for_s", type=float, default=600.0, show_default=True, help="Seconds to stay up.")
def world_up(day: Path, out: Path, for_s: float) -> None:
    """Hold DAY's servers up on loopback, and write the file of servers that names them."""
    from client_proxy.emulator.standalone import run_standalone

    asyncio.run(run_standalone(day, out, for_s, click.echo))


main.add_command(policy)
main.add_command(rollout)
