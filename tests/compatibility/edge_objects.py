"""Fixed objects of the program's external formats, each equal to the content of its sample file.

Tests of this package use attributes of the program through this module where possible, so that renaming an
attribute changes one place. The values here and the files in `edge_samples` must never change."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import fields, is_dataclass
from enum import Enum
from pathlib import Path
from typing import Any

from pydantic import BaseModel

from client_proxy import operators
from client_proxy.config import models
from client_proxy.emulator import scenario_reader, scenario_writer
from client_proxy.fault_injection import plan as drill
from client_proxy.membership import keys, messages
from client_proxy.proxy import config
from client_proxy.scale import plan as scale

SAMPLES = Path(__file__).parent / "edge_samples"


def sample(name: str) -> bytes:
    """Returns the checked-in bytes of one sample file."""
    return (SAMPLES / name).read_bytes()


GROUP_KEY = bytes(range(32))
GROUP_KEY_NUMBER = 7
PUBLIC_KEY = bytes(range(100, 132))
SIGNATURE = bytes(range(64))
AUTHORITY_SECRET = bytes(range(32, 64))
MEMBER_SECRET = bytes(range(64, 96))


def gossip_header() -> messages.Header:
    return messages.Header(GROUP_KEY_NUMBER, 0x01020304, 0x05060708, 0x090A0B0C)


def gossip_records() -> dict[str, messages.Record]:
    """Returns one record of each type by the name of its sample, in the order of their type numbers."""
    seen = (
        messages.ServerObservation(0x11121314, 21, 200, 33, 44, 55, 66),
        messages.ServerObservation(0x21222324, 0, 1, 0, 1, 0, 255),
    )
    return {
        "ping": messages.Ping(0x0A0B0C0D),
        "ack": messages.Ack(0x1A1B1C1D),
        "nack": messages.Nack(0x2A2B2C2D),
        "ping_request": messages.PingRequest(0x3A3B3C3D, 0x3E3F4041),
        "suspect": messages.Suspect(0x51525354, 0x55565758, 0x595A5B5C),
        "card": messages.Certificate(0x61626364, 0x65666768, 0x696A, 0x6B, PUBLIC_KEY, SIGNATURE),
        "alive": messages.Alive(0x71727374, 0x75767778, 0x797A7B7C, "192.0.2.17", 4711, False, SIGNATURE),
        "testimony": messages.ObservationReport(0x81828384, 0x85868788, 0x898A8B8C, seen, SIGNATURE),
        "ask": messages.MemberRequest((0x91929394, 5)),
        "digest": messages.Digest(tuple(0xA0000000 + number for number in range(16))),
        "have": messages.BucketSummary(15, ((0xB1B2B3B4, 0xB5B6B7B8), (1, 2))),
        "hints": messages.AddressHints((("192.0.2.18", 4712), ("2001:db8::9", 65535))),
    }


def gossip_variants() -> dict[str, messages.Record]:
    """Returns records with further contents: empty lists, a member that leaves, an IPv6 address."""
    return {
        "alive_left": messages.Alive(1, 2, 3, "2001:db8::1", 1, True, SIGNATURE),
        "testimony_empty": messages.ObservationReport(1, 2, 3, (), SIGNATURE),
        "ask_empty": messages.MemberRequest(()),
        "have_empty": messages.BucketSummary(0, ()),
        "hints_empty": messages.AddressHints(()),
    }


def gossip_card() -> messages.Certificate:
    """Returns a certificate signed by the fixed authority; Ed25519 signatures are deterministic."""
    public = keys.Ed25519(MEMBER_SECRET).public_key
    return keys.issue_certificate(keys.Ed25519(AUTHORITY_SECRET), 9, 0x01020304, "east", 5, public)


def gossip_group_keys() -> dict[int, bytes]:
    return {GROUP_KEY_NUMBER: GROUP_KEY, 8: bytes(range(1, 33))}


def gossip_authorities() -> dict[int, bytes]:
    return {9: keys.Ed25519(AUTHORITY_SECRET).public_key, 10: PUBLIC_KEY}


def gossip_keyring_text() -> str:
    return keys.format_keyring(
        gossip_card(), "east", MEMBER_SECRET, gossip_group_keys(), gossip_authorities()
    )


def gossip_keyring_fields(
    text: str,
) -> tuple[messages.Certificate, bytes, dict[int, bytes], dict[int, bytes], int]:
    """Parses a key file.

    Returns the certificate, the member's public key, the group keys, the authorities' keys, and the number of
    the group key to send with."""
    keyring = keys.parse_keyring(text, "keys.toml")
    return (
        keyring.certificate,
        keyring.signer.public_key,
        keyring.group_keys,
        keyring.authority_keys,
        keyring.sending_group,
    )


# Settings files: the parsed objects as JSON, with the keys of the file.

FILE_KEYS: dict[str, dict[str, str]] = {
    "OutlierSettings": {
        "probe_interval_s": "trial_s",
        "max_probe_interval_s": "longest_trial_s",
        "max_ejected_share": "most_barred",
    },
    "RequestClass": {
        "latency_objective_ms": "aim_ms",
        "priority_weight": "worth",
        "late_weight_share": "late_worth",
        "latency_objective_stretch": "aim_stretch",
        "idempotency_scope": "repeat_scope",
        "idempotency_window_ms": "repeat_window_ms",
    },
    "Limits": {
        "connection_idle_timeout_ms": "conn_idle_ms",
        "streams_per_connection": "streams_per_conn",
        "max_pending_requests": "max_open",
    },
    "Safety": {
        "slow_start_share": "cold_share",
        "slow_start_ms": "cold_ms",
        "slow_start_limit_multiple": "push_multiple",
        "slow_start_limit_window_ms": "push_window_ms",
        "max_poll_interval_ms": "must_ask_ms",
        "key_quiet_ms": "key_rest_ms",
    },
    "Prices": {"late_failure": "late_fail"},
    "Objective": {"overall": "whole"},
    "RequestClassSpec": {
        "latency_objective_ms": "aim_ms",
        "work_variation": "cv",
        "priority_weight": "worth",
        "idempotency_scope": "group",
        "idempotency_window_ms": "window_ms",
    },
    "ServerType": {
        "max_connections": "connections",
        "idle_timeout_s": "idle_s",
        "cold_capacity": "cold_from",
        "warm_up_s": "cold_s",
        "warm_up_requests": "cold_requests",
        "congestion_threshold": "choke_at",
        "congestion_window_s": "choke_over_s",
        "congestion_slowdown": "choke_slower",
        "congestion_exit_use": "choke_below",
        "congestion_exit_s": "choke_rest_s",
        "congestion_max_s": "choke_most_s",
        "cancellation": "cancel",
        "pause_interval_s": "pause_every_s",
    },
    "ServerGroup": {"server_type": "kind", "zone": "hall", "start_s": "from_s"},
    "Fault": {
        "kind": "what",
        "duration_s": "for_s",
        "zone": "hall",
        "server_share": "part",
        "factor": "times",
        "pause_interval_ms": "every_ms",
        "delay_ms": "after_ms",
        "downtime_s": "down_s",
    },
    "ClientSettings": {
        "relative_rates": "rates",
        "rate_curve": "shape",
        "max_retries": "retries",
        "attempt_deadline_share": "try_share",
        "honours_retry_after": "honour",
        "max_retry_after_ms": "most_honoured_ms",
        "distinct_keys": "keys",
        "max_connections": "connections",
    },
    "NetworkSettings": {
        "same_zone_ms": "same_ms",
        "cross_zone_ms": "cross_ms",
        "handshake_round_trips": "handshake_rtts",
    },
    "DiscoverySettings": {
        "subscribes": "asked",
        "start_delay_ms": "add_ms",
        "removal_delay_ms": "notice_ms",
        "stall_delay_ms": "silent_notice_ms",
    },
    "RuleSettings": {
        "crash_multiple": "fall_multiple",
        "crash_window_ms": "fall_ms",
        "slow_start_share": "cold_share",
        "slow_start_ms": "cold_ms",
        "hedged_requests": "second_copies",
        "max_poll_interval_ms": "must_ask_ms",
    },
    "ExplorationSettings": {
        "max_shift_s": "shift_s",
        "duration_factors": "lasts",
        "rate_factors": "rate",
        "size_factors": "sizes",
        "min_served_share": "least_served",
    },
    "Scenario": {
        "duration_s": "length_s",
        "zones": "halls",
        "server_types": "kinds",
        "server_groups": "groups",
        "description": "about",
        "network": "net",
        "load_reports": "reports",
        "exploration": "explore",
        "faults": "incidents",
    },
    "Settings": {
        "min_step_ms": "step_ms",
        "weight_by_work": "worth_by_work",
        "over_quota_weight_share": "over_quota_worth",
    },
    "LocalitySettings": {
        "priority_levels": "tiers",
        "spillover_share": "spill_share",
        "spillover_shares": "spill",
        "reserved_share": "reserved",
        "panic_threshold": "panic",
        "ramp_start_share": "start_share",
        "ramp_s": "return_s",
        "ramp_cut": "back_off",
        "ramp_max_slowness": "slow",
        "unavailable_after": "dark_after",
        "probe_interval_ms": "scout_ms",
        "degraded_loss_share": "grey",
        "balance_margin": "margin",
        "congested_inflation": "full",
    },
    "OverloadSettings": {
        "class_order": "first",
        "min_shares": "least",
        "target_inflation": "target",
        "tracks_client_retries": "ages",
        "retry_after_ms": "come_back_ms",
    },
    "ConnectionSettings": {
        "idle_timeout_s": "rest_s",
        "max_connections": "most",
        "max_dials_per_s": "opens_per_s",
    },
}
"""For each dataclass, the attributes whose name differs from their key in the file."""


def json_values(parsed: object) -> Any:
    """Converts a parsed object to JSON values, with the keys that the file uses."""
    if isinstance(parsed, BaseModel):
        return {
            field.alias or name: json_values(getattr(parsed, name))
            for name, field in type(parsed).model_fields.items()
        }
    if is_dataclass(parsed):
        keys_of = FILE_KEYS.get(type(parsed).__name__, {})
        return {
            keys_of.get(each.name, each.name): json_values(getattr(parsed, each.name))
            for each in fields(parsed)
        }
    if isinstance(parsed, Enum):
        return parsed.value
    if isinstance(parsed, dict):
        return {key: json_values(value) for key, value in parsed.items()}
    if isinstance(parsed, tuple | list):
        return [json_values(value) for value in parsed]
    return parsed


PARSERS: dict[str, Callable[[str], object]] = {
    "serve_servers.toml": lambda text: models.parse(models.ServeFile, text, "serve.toml"),
    "serve_agreement.toml": lambda text: models.parse(models.ServeFile, text, "serve.toml"),
    "serve_discovery.toml": lambda text: models.parse(models.ServeFile, text, "serve.toml"),
    "serve_minimal.toml": lambda text: models.parse(models.ServeFile, text, "serve.toml"),
    "agreement_minimal.toml": lambda text: models.parse(models.ServeFile, text, "serve.toml"),
    "fleet.toml": lambda text: models.parse(models.FleetFile, text, "fleet.toml"),
    "policy.toml": lambda text: models.parse(models.PolicyFile, text, "policy.toml"),
    "policy_minimal.toml": lambda text: models.parse(models.PolicyFile, text, "policy.toml"),
    "operators.toml": lambda text: operators.parse_operators(text, "operators.toml"),
    "operators_minimal.toml": lambda text: operators.parse_operators(text, "operators.toml"),
    "platform_config.json": lambda text: config.read_config(json.loads(text), {}, "config.json"),
    "platform_minimal.json": lambda text: config.read_config(json.loads(text), {}, "config.json"),
    "day.toml": lambda text: scenario_reader.parse_scenario(text, "day.toml"),
    "day_minimal.toml": lambda text: scenario_reader.parse_scenario(text, "day.toml"),
    "drill.toml": lambda text: models.parse(drill.Plan, text, "drill.toml"),
    "drill_lists.toml": lambda text: models.parse(drill.Plan, text, "drill.toml"),
    "drill_minimal.toml": lambda text: models.parse(drill.Plan, text, "drill.toml"),
    "scale.toml": lambda text: models.parse(scale.ScalePlan, text, "scale.toml"),
    "scale_minimal.toml": lambda text: models.parse(scale.ScalePlan, text, "scale.toml"),
}

FAULTY_PARSERS: dict[str, Callable[[str], object]] = {
    "serve_faulty.toml": PARSERS["serve_minimal.toml"],
    "operators_faulty.toml": PARSERS["operators_minimal.toml"],
}


def parsed_json(name: str) -> bytes:
    """Parses the sample of this name and returns the values as JSON, as in its frozen values file."""
    parsed = PARSERS[name](sample(name).decode())
    return (json.dumps(json_values(parsed), indent=1) + "\n").encode()


def day_text(text: str) -> str:
    """Parses a scenario file and formats it again."""
    return scenario_writer.format_scenario(scenario_reader.parse_scenario(text, "day.toml"))


def drill_text(text: str) -> str:
    """Parses a drill plan and formats it again."""
    return drill.format_plan(models.parse(drill.Plan, text, "drill.toml"))
