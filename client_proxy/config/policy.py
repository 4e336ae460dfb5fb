"""Reads policy files: servers and, if the file has `[policy]`, request classes, limits and features.

A file is read completely or rejected. This module does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from client_proxy.config.fleet import ServerList, describe_server_changes, read_server_file
from client_proxy.config.models import PolicyFile, PolicyTable, RequestClassEntry, RolloutTable
from client_proxy.operators import FEATURES, NO_FEATURES, OperatorSettings, read_features
from client_proxy.toml_table import File, TomlError


@dataclass(frozen=True, slots=True)
class Policy:
    """One version of the policy.

    Attributes:
        server_list: The servers.
        table: The `[policy]` table; None: the file has servers only, and each instance takes classes and
            features from its own files.
        classes: The request classes.
        operators: The features.
        rollout: The rollout of a new policy, if one is in progress.
        candidate: The new policy of this rollout.
    """

    server_list: ServerList
    table: PolicyTable | None
    classes: tuple[RequestClassEntry, ...]
    operators: OperatorSettings
    rollout: RolloutTable | None = None
    candidate: Policy | None = None

    def for_member(self, member: int) -> Policy:
        """Return the policy that a member uses.

        During a rollout this is the candidate for members of the canary group, except while a probe runs.
        """
        if self.rollout is None or self.candidate is None or self.rollout.what == "probing":
            return self
        return self.candidate if member in self.rollout.members else self


def read_policy(content: bytes, name: str) -> Policy:
    """Read a policy file.

    Args:
        content: The file.
        name: Name of the file, for messages.

    Raises:
        TomlError: The file is not valid; the text has a line for each fault.
    """
    parsed = read_server_file(PolicyFile, content, name)
    file = parsed.file
    faults = []
    if file.policy is None:
        policy_keys = [key for key in FEATURES if getattr(file, key) is not None] + ["class"] * bool(
            file.class_
        )
        # With a part of the policy in this file and a part in each instance's files, instances would differ.
        faults += [
            f"{name}: {key}: only allowed with a whole policy, and [policy] is missing" for key in policy_keys
        ]
    elif not file.class_:
        faults.append(f"{name}: class: a file with [policy] needs at least one [[class]]")
    names = [entry.name for entry in file.class_]
    duplicates = [class_name for class_name in sorted(set(names)) if names.count(class_name) > 1]
    faults += [f"{name}: class.name: {class_name!r} stands more than once" for class_name in duplicates]
    if faults:
        raise TomlError("\n".join(faults))
    operators = NO_FEATURES
    if file.policy is not None:
        features = File(parsed.text, name)
        operators = read_features(features.top())
        features.raise_faults()
        _check_classes(operators, names, name)
    policy = Policy(parsed.fleet, file.policy, file.class_, operators)
    if file.rollout is None:
        return policy
    candidate = read_policy(file.rollout.new.encode(), f"{name}: rollout.new")
    if candidate.rollout is not None:
        raise TomlError(f"{name}: rollout.new: a rollout of a rollout")
    return replace(policy, rollout=file.rollout, candidate=candidate)


def _check_classes(operators: OperatorSettings, classes: list[str], name: str) -> None:
    """Raise TomlError if the overload feature names classes that the policy does not have."""
    overload = operators.overload
    if overload is None:
        return
    unknown = sorted({*overload.class_order, *overload.min_shares} - set(classes))
    if unknown:
        raise TomlError(
            "\n".join(
                f"{name}: overload: there is no class {class_name!r} in this file" for class_name in unknown
            )
        )


def describe_policy_changes(old: Policy, new: Policy) -> list[str]:
    """Return a line for each server, class, `[policy]` table and feature that differs."""
    lines = describe_server_changes(old.server_list, new.server_list)
    before, after = ({entry.name: entry.model_dump() for entry in policy.classes} for policy in (old, new))
    lines += [f"- class {name}" for name in sorted(before.keys() - after.keys())]
    lines += [f"+ class {name}" for name in sorted(after.keys() - before.keys())]
    for name in sorted(before.keys() & after.keys()):
        lines += _describe_key_changes(f"class {name}", before[name], after[name])
    old_table, new_table = (policy.table.model_dump() if policy.table else {} for policy in (old, new))
    lines += _describe_key_changes("policy", old_table, new_table)
    for key in FEATURES:
        old_feature, new_feature = getattr(old.operators, key), getattr(new.operators, key)
        if old_feature != new_feature:
            lines.append(
                f"  {key}: {'off' if old_feature is None else 'on'} -> "
                f"{'off' if new_feature is None else 'on, changed'}"
            )
    return lines


def _describe_key_changes(title: str, old: dict[str, object], new: dict[str, object]) -> list[str]:
    keys = [key for key in {**old, **new} if old.get(key) != new.get(key)]
    changed = ", ".join(f"{key} {old.get(key)!r} -> {new.get(key)!r}" for key in keys)
    return [f"  {title}: {changed}"] if keys else []
