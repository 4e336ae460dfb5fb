"""Computes the figures of the capacity page from the planned sizes and the measured slopes. No I/O.

Each function returns the figure of the row of `benchmarks.capacity.rows` that refers to it, in that row's
unit. Percentages range from 0 to 100; shares of a core from 0 to 1, as in the budgets."""

from __future__ import annotations

from benchmarks.capacity.plan import BUDGETS, Sizes
from benchmarks.capacity.slopes import Slopes

READS_PER_CHANGE = 2  # an instance reads the file to validate the change and again to prepare it
SIMULATED_READ_MS = (
    5.0  # time to read a file in the simulation (`agreement.town`); replaced by the measured time
)
CLOCK_ERROR_SHARE = 0.05
SHORT_LEASE_MS = 1500
SIGNED_BYTES = 128  # size of a datagram that is signed or verified, at which both were measured
STORED_BODIES = 20
TRIAL_DURATION_S = 6.0  # of a data path trial: one second of warm-up and five that are measured
EDIT_DURATION_S = 30
SHARE_BEYOND_P99 = 0.01  # share of the requests beyond the 99th percentile
OUTCOME_REPORTS_PER_S = 1.0  # per instance; one each `WINDOW_S` of rollout/rollout_executor
FRAME_BYTES = 112  # sender, signature, message authentication code, IP and UDP headers
MB = 1_000_000.0


def p99_of_stalls(stall_ms: float, share: float) -> float:
    """Returns the 99th percentile (ms) of the time that requests wait for a stalled event loop.

    The loop stalls for `stall_ms` at a time and for `share` of all time. A request that arrives during a
    stall waits for the rest of it, which is uniformly distributed. The queue that has formed by the end of
    a stall is left out, so actual waits are longer."""
    if share <= SHARE_BEYOND_P99:
        return 0.0
    return stall_ms * (1.0 - SHARE_BEYOND_P99 / share)


# The data path


def added_p99_680(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.minimum_at("data_path.added_p99", sizes.hosts)


def lost_percent_680(sizes: Sizes, slopes: Slopes) -> float:
    return 100.0 * slopes.median_at("data_path.lost", sizes.hosts)


def lost_percent_own_ports_680(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.run("own_ports_lost")


def added_p99_680_before(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.minimum_at("data_path_before.added_p99", sizes.hosts)


def lost_percent_680_before(sizes: Sizes, slopes: Slopes) -> float:
    return 100.0 * slopes.median_at("data_path_before.lost", sizes.hosts)


def lost_percent_own_ports_680_before(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.run("own_ports_lost_before")


def added_p99_10(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.minimum_at("data_path.added_p99", 10)


def added_p50_10(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.minimum_at("data_path.added_p50", 10)


def wait_for_core_10(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("data_path.waited", 10)


def added_by_part(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.run("added_by_part")


def decision_core(sizes: Sizes, slopes: Slopes) -> float:
    return 100.0 * sizes.calls_per_s_per_proxy * slopes.median_at("decision.cpu", sizes.hosts) / 1e6


def call_core_10(sizes: Sizes, slopes: Slopes) -> float:
    return 100.0 * sizes.calls_per_s_per_proxy * slopes.median_at("data_path.cpu", 10) / 1e3


def call_core_680(sizes: Sizes, slopes: Slopes) -> float:
    return 100.0 * sizes.calls_per_s_per_proxy * slopes.median_at("data_path.cpu", sizes.hosts) / 1e3


def dials_per_s(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("data_path.dials", sizes.hosts) / TRIAL_DURATION_S


def server_state(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.slope("data_path.memory") * sizes.hosts


def proxy_memory(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("data_path.memory", sizes.hosts)


def services_memory(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("services.memory", sizes.services)


def services_idle(sizes: Sizes, slopes: Slopes) -> float:
    return 100.0 * slopes.median_at("services.idle_cpu", sizes.services)


def depth_added_p50(sizes: Sizes, slopes: Slopes) -> float:
    services_ms = slopes.minimum_at("chain_without_proxies.added_p50", sizes.levels)
    return slopes.minimum_at("depth.added_p50", sizes.levels) - services_ms


def depth_sending_delay(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("depth.late", sizes.levels)


def depth_attempts_of_first_request(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("depth.attempts_first", sizes.levels)


def depth_attempts(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("depth.attempts", sizes.levels)


def depth_deadline_left(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("depth.left", sizes.levels)


def depth_refused_percent(sizes: Sizes, slopes: Slopes) -> float:
    return 100.0 * slopes.median_at("depth.told_refused", sizes.levels)


# The control part of a client proxy


def proxy_bytes(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("agreement.proxy_bytes", sizes.hosts)


def verify_core(sizes: Sizes, slopes: Slopes) -> float:
    grants_per_s = slopes.median_at("agreement.proxy_datagrams", sizes.hosts) / 2.0
    return grants_per_s * slopes.median_at("signature.verify", SIGNED_BYTES) / 1e6


def verification_us(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("signature.verify", SIGNED_BYTES)


def control_core(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.run("control_part_core")


def control_core_crowded(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.run("control_part_core_crowded")


def control_part_memory(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.run("control_part_memory")


def control_bytes(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.run("control_part_bytes")


def policy_read_ms(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("list.policy_read", sizes.hosts)


def list_read_ms(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("list.list_read", sizes.hosts)


def read_core_crowded(sizes: Sizes, slopes: Slopes) -> float:
    return READS_PER_CHANGE * policy_read_ms(sizes, slopes) / 1e3 * sizes.crowded_changes_per_s


def read_core_day(sizes: Sizes, slopes: Slopes) -> float:
    return READS_PER_CHANGE * policy_read_ms(sizes, slopes) / 1e3 * sizes.changes_per_s


def read_p99_crowded(sizes: Sizes, slopes: Slopes) -> float:
    return p99_of_stalls(policy_read_ms(sizes, slopes), read_core_crowded(sizes, slopes))


def read_p99_day(sizes: Sizes, slopes: Slopes) -> float:
    return p99_of_stalls(policy_read_ms(sizes, slopes), read_core_day(sizes, slopes))


def fetch_bytes_crowded(sizes: Sizes, slopes: Slopes) -> float:
    return policy_bytes(sizes, slopes) * sizes.crowded_changes_per_s


def services_control_core(sizes: Sizes, slopes: Slopes) -> float:
    return sizes.services * verify_core(sizes, slopes)


def services_control_bytes(sizes: Sizes, slopes: Slopes) -> float:
    return sizes.services * proxy_bytes(sizes, slopes)


def control_memory(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("control_machine.memory", 34) - slopes.median_at("services.memory", 1)


def services_control_memory(sizes: Sizes, slopes: Slopes) -> float:
    return sizes.services * control_memory(sizes, slopes)


def members_to_gossip_table_size(sizes: Sizes, slopes: Slopes) -> float:
    return (sizes.hosts - 1) / slopes.median_at("gossip_table.held", sizes.hosts)


def gossip_bytes(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.run("gossip_bytes_680")


# A control machine


def lease_datagrams_per_s(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("agreement.control_received", sizes.hosts) + slopes.median_at(
        "agreement.control_sent", sizes.hosts
    )


def signature_us(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("signature.sign", SIGNED_BYTES)


def control_machine_bytes(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("control_machine.bytes", sizes.hosts)


def control_machine_core(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("control_machine.cpu", sizes.hosts)


def control_machine_memory(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("control_machine.memory", sizes.hosts)


def stored_versions_mb(sizes: Sizes, slopes: Slopes) -> float:
    return STORED_BODIES * policy_bytes(sizes, slopes) / MB


def burst_lost_percent(sizes: Sizes, slopes: Slopes) -> float:
    return 100.0 * slopes.median_at("burst.lost", sizes.hosts)


def reading_added_ms(sizes: Sizes, slopes: Slopes) -> float:
    """Returns the time (ms) of reading a file of 680 servers twice, beyond what the simulation counts."""
    return READS_PER_CHANGE * (policy_read_ms(sizes, slopes) - SIMULATED_READ_MS)


def overlap_ms(lease_ms: float) -> float:
    return lease_ms / (1.0 - CLOCK_ERROR_SHARE)


def change_in_force_ms(sizes: Sizes, slopes: Slopes) -> float:
    change_ms = slopes.median_at("lease.last", sizes.lease_ms)
    return change_ms + overlap_ms(sizes.lease_ms) + reading_added_ms(sizes, slopes)


def change_in_force_third_down_ms(sizes: Sizes, slopes: Slopes) -> float:
    change_ms = slopes.median_at("change.third_down_last", sizes.hosts)
    return change_ms + overlap_ms(sizes.lease_ms) + reading_added_ms(sizes, slopes)


def change_in_force_short_lease_ms(sizes: Sizes, slopes: Slopes) -> float:
    change_ms = slopes.median_at("lease.last", SHORT_LEASE_MS)
    return change_ms + overlap_ms(SHORT_LEASE_MS) + reading_added_ms(sizes, slopes)


def fitting_lease_ms(sizes: Sizes, slopes: Slopes) -> float:
    """Returns the longest lease (ms) with which a change is in force within the budget while a third of the
    instances is down."""
    change_ms = slopes.median_at("change.third_down_last", sizes.hosts) + reading_added_ms(sizes, slopes)
    return (BUDGETS.in_force_ms - change_ms) * (1.0 - CLOCK_ERROR_SHARE)


def fitting_lease_core(sizes: Sizes, slopes: Slopes) -> float:
    return control_machine_core(sizes, slopes) * sizes.lease_ms / fitting_lease_ms(sizes, slopes)


def lease_datagrams_short_lease(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("lease.control_received", SHORT_LEASE_MS) + slopes.median_at(
        "lease.control_sent", SHORT_LEASE_MS
    )


def signatures_short_lease(sizes: Sizes, slopes: Slopes) -> float:
    return (
        slopes.median_at("lease.control_sent", SHORT_LEASE_MS)
        * slopes.median_at("signature.sign", SIGNED_BYTES)
        / 1e6
    )


def leases_while_authors_compete(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.run("leases_while_authors_compete")


def region_refused_s(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("region_cut.refused_inside", sizes.region_cut_s)


def region_refused_s_real(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.run("region_refused_s")


def change_last_ms_real(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.run("change_last_ms_680")


# Authors


def proposals_of_two_authors(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("authors.tries", 2)


def proposals_of_five_authors(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("authors.tries", sizes.authors)


def wanted_to_decided_changes(sizes: Sizes, slopes: Slopes) -> float:
    return sizes.crowded_changes_a_minute / slopes.median_at("overtaken.decided", EDIT_DURATION_S)


def change_datagrams(sizes: Sizes, slopes: Slopes) -> float:
    datagrams_per_machine = slopes.slope("changes.control_sent") + slopes.slope("changes.control_received")
    return 60.0 * datagrams_per_machine * sizes.control_machines


def author_standstill_ms(sizes: Sizes, slopes: Slopes) -> float:
    return sizes.hosts * slopes.median_at("signature.sign", SIGNED_BYTES) / 1e3


def author_core(sizes: Sizes, slopes: Slopes) -> float:
    change_cpu_ms = 2 * author_standstill_ms(sizes, slopes) + READS_PER_CHANGE * policy_read_ms(sizes, slopes)
    return change_cpu_ms / 1e3 * sizes.crowded_changes_per_s


def policy_bytes(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("list.policy_bytes", sizes.hosts)


def body_refusals(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.run("body_refusals")


def author_memory(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.run("author_memory")


# Discovery


def discovery_bytes(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("list.discovery_bytes", sizes.hosts)


def zone_lists_mb(sizes: Sizes, slopes: Slopes) -> float:
    return sizes.zone_hosts * discovery_bytes(sizes, slopes) / MB


def discovery_ms(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("list.discovery_read", sizes.hosts) + slopes.median_at("list.apply", sizes.hosts)


def discovery_memory(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.run("discovery_memory")


# The rollout controller


def rollout_bytes(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("rollout.file", sizes.hosts)


def rollout_read(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("rollout.read", sizes.hosts)


def rollout_messages(sizes: Sizes, slopes: Slopes) -> float:
    return sizes.hosts * OUTCOME_REPORTS_PER_S


def rollout_proxy_bytes(sizes: Sizes, slopes: Slopes) -> float:
    datagram_bytes = slopes.median_at("rollout.count_bytes", sizes.hosts) + FRAME_BYTES
    return sizes.control_machines * OUTCOME_REPORTS_PER_S * datagram_bytes


def rollout_core(sizes: Sizes, slopes: Slopes) -> float:
    counting_core = sizes.hosts * OUTCOME_REPORTS_PER_S * slopes.median_at("rollout.count", sizes.hosts) / 1e6
    return counting_core + slopes.median_at("rollout.judge", sizes.hosts) / 1e3


def rollout_memory(sizes: Sizes, slopes: Slopes) -> float:
    return slopes.median_at("rollout.memory", sizes.hosts)
