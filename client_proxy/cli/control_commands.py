"""The commands of the control socket. The keys of questions and answers are a protocol and must stay."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING

from client_proxy.cli.control import CommandHandler, Json
from client_proxy.cli.errors import CommandError
from client_proxy.config.models import parse
from client_proxy.config.source import FileSource
from client_proxy.proxy.daemon import Daemon
from client_proxy.toml_table import read_text

if TYPE_CHECKING:
    from client_proxy.consensus.policy_source import ConsensusPolicySource

ROLLOUT_ORDERS = ("pause", "go-on", "back")
SHOWN_CHANGES = 8  # latest changes of the list of servers in the status


def _read_requester(question: Json) -> dict[str, str]:
    """Returns who requests a change and why, as arguments for the policy source."""
    return {
        "requester": str(question.get("who", "")),
        "reason": str(question.get("why", "")),
    }


class ControlCommands:
    """Executes the commands of one instance's control socket."""

    def __init__(
        self,
        name: str,
        daemon: Daemon,
        source: FileSource | None,
        consensus_source: ConsensusPolicySource | None,
    ) -> None:
        """Creates the commands of one instance.

        Args:
            name: The instance's name.
            daemon: The running daemon.
            source: The source of the list of servers; None: a discovery service is used.
            consensus_source: The same source if the fleet agrees on its policy by consensus, else None.
        """
        self._name = name
        self._daemon = daemon
        self._source = source
        self._consensus_source = consensus_source
        self._started_s = time.monotonic()

    def command_handlers(self) -> dict[str, CommandHandler]:
        """Returns the handlers of the commands by their verb, the `do` of a question."""
        return {
            "status": self._status, "force": self._force, "propose": self._propose, "back": self._roll_back,
            "withdraw": self._withdraw, "seat": self._change_seat, "history": self._history,
            "rollout": self._rollout,
        }  # fmt: skip

    def _status(self, _: Json) -> Json:
        balancer = self._daemon.engine.balancer
        servers = [
            {
                "name": name,
                "hall": endpoint.listed.zone,
                "state": endpoint.listed.state.value,
                "weight": endpoint.listed.weight,
                "in_flight": endpoint.in_flight,
                "limit": round(endpoint.concurrency_limit, 1),
                "latency_ms": round(endpoint.latency_ms, 1),
                "errors": round(endpoint.error_share, 3),
                "paused": endpoint.is_suspended(balancer.now_ms),
            }
            for name, endpoint in sorted(balancer.endpoint_set.endpoints.items())
        ]
        answer: Json = {
            "name": self._name,
            "up_s": round(time.monotonic() - self._started_s, 1),
            "ready": self._daemon.directory.usable(),
            "held": self._daemon.engine.pending_count,
            "retry_tokens": round(balancer.retry_budget.tokens, 1),
            "servers": servers,
        }
        if self._source is not None:
            watcher = self._source.watcher
            answer["fleet"] = {
                "digest": watcher.server_list.digest if watcher.server_list else None,
                "version": watcher.server_list.version if watcher.server_list else None,
                "from_kept": self._source.from_store,
                "held_back": watcher.held_back.digest if watcher.held_back else None,
                "changes": self._source.changes[-SHOWN_CHANGES:],
            }
        if self._consensus_source is not None:
            answer["agreement"] = self._consensus_source.status()
        if self._daemon.gossip is not None:
            node = self._daemon.gossip.node
            answer["members"] = {member.number: member.state.value for member in node.swim.members}
            answer["drawn_less"] = sorted(node.suspicions.deprioritized)
        return answer

    # Commands on the fleet's policy

    def _require_consensus_source(self) -> ConsensusPolicySource:
        if self._consensus_source is None:
            raise CommandError("the policy is not agreed on here")
        return self._consensus_source

    def _propose(self, question: Json) -> Json:
        """Proposes the policy in a file on this machine to the fleet."""
        consensus_source = self._require_consensus_source()
        try:
            content = Path(str(question.get("file"))).read_bytes()
            after = question.get("after")
            change = consensus_source.propose(
                content, str(question.get("change", "")), int(after) if after is not None else None,
                dry_run=question.get("dry") is True,
                excluded=[int(member) for member in question.get("despite", ())], **_read_requester(question),
            )  # fmt: skip
        except (OSError, ValueError, TypeError) as error:
            raise CommandError(str(error)) from error
        return {"change": change}

    def _roll_back(self, question: Json) -> Json:
        try:
            change = str(question.get("change", ""))
            return {
                "change": self._require_consensus_source().roll_back(
                    int(question["version"]), change=change, **_read_requester(question)
                )
            }
        except (OSError, ValueError, TypeError, KeyError) as error:
            raise CommandError(str(error)) from error

    def _withdraw(self, question: Json) -> Json:
        try:
            self._require_consensus_source().withdraw(str(question.get("change", "")))
        except ValueError as error:
            raise CommandError(str(error)) from error
        return {"withdrawn": question.get("change")}

    def _change_seat(self, question: Json) -> Json:
        from client_proxy.consensus.messages import AcceptorId

        consensus_source = self._require_consensus_source()
        try:
            add = question.get("add")
            seat = AcceptorId(int(add["member"]), int(add["memory"])) if add is not None else None
            remove = int(question["remove"]) if seat is None else None
            change = str(question.get("change", ""))
            return {
                "change": consensus_source.change_acceptors(
                    seat, remove, change=change, **_read_requester(question)
                )
            }
        except (OSError, ValueError, TypeError, KeyError) as error:
            raise CommandError(str(error)) from error

    def _rollout(self, question: Json) -> Json:
        consensus_source = self._require_consensus_source()
        try:
            return {"change": self._change_rollout(consensus_source, question)}
        except (OSError, ValueError, TypeError, KeyError) as error:
            raise CommandError(str(error)) from error

    @staticmethod
    def _change_rollout(consensus_source: ConsensusPolicySource, question: Json) -> str:
        """Starts a rollout of the policy in `file` by the stages in `plan`, or orders the active one by `op`.

        Returns the name of the change.
        """
        from client_proxy.config.models import RolloutPlan, RolloutTable

        requester = _read_requester(question)
        order = str(question.get("op"))
        if order in ROLLOUT_ORDERS:
            return consensus_source.order_rollout(order, **requester)
        if order != "start":
            raise CommandError("op: one of start, pause, go-on, back")
        plan = parse(RolloutPlan, read_text(Path(str(question["plan"]))), "the plan")
        new = Path(str(question["file"])).read_text()
        table = RolloutTable(name=str(question["name"]), new=new, **plan.model_dump())
        return consensus_source.begin_rollout(table, **requester)

    def _history(self, _: Json) -> Json:
        return {"versions": self._require_consensus_source().history()}

    def _force(self, question: Json) -> Json:
        """Accepts the list of servers that is held back.

        The caller may name it by its digest: another list may have replaced it since the caller's last query.
        """
        if self._source is None:
            raise CommandError("no file of servers is watched")
        held_back = self._source.watcher.held_back
        if held_back is None:
            raise CommandError("nothing is held back")
        if question.get("digest") not in (None, held_back.digest):
            raise CommandError(f"what is held back is {held_back.digest}")
        self._source.force()
        return {"taken": held_back.digest}
