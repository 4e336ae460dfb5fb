"""The rows of the capacity page by role, each with its formula, the measurements it needs and its budget."""

from __future__ import annotations

from benchmarks.capacity import formulas
from benchmarks.capacity.row import Claim, Kind, Mechanism, Role, Row

BALANCER = Mechanism("two draws over a list", "client_proxy/balancer/picker.py")
UPSTREAM_POOLS = Mechanism("pools of connections, one for each server", "client_proxy/proxy/upstream_pool.py")
CONNECTION_SLOTS = Mechanism(
    "slots for connections; connected servers first", "client_proxy/proxy/connection_slots.py"
)
EVENT_LOOP = Mechanism("one event loop for calls and control", "client_proxy/proxy/daemon.py")
LIST_PER_PROCESS = Mechanism("one list a process", "client_proxy/cli/instance_factory.py")
RETRY_BUDGET = Mechanism(
    "retry budget: a tenth of what was served, 100 tokens", "client_proxy/balancer/retry_budget.py"
)
DEADLINE = Mechanism("what is left of the deadline goes along", "client_proxy/proxy/messages.py")
LEASE = Mechanism(
    "a lease by a majority, asked for after a quarter of it", "client_proxy/consensus/lease_holder.py"
)
SIGNATURES = Mechanism("Ed25519 on each answer of a control machine", "client_proxy/consensus/signer.py")
FILE_READING = Mechanism("tomllib and pydantic, in the event loop", "client_proxy/config/policy.py")
FAN_OUT = Mechanism("the author asks and tells everybody itself", "client_proxy/consensus/node.py")
BODY_READERS = Mechanism("32 readers of a body at a time", "client_proxy/consensus/body_transfer.py")
RECEIVE_BUFFER = Mechanism("64 KiB of receive buffer, asked again later", "client_proxy/membership/link.py")
ONE_GROUP = Mechanism("one group of control machines over all regions", "client_proxy/consensus/acceptor.py")
AFTER_OPTION = Mechanism("`--after`: made from the newest version", "client_proxy/consensus/policy_source.py")
BALLOTS = Mechanism("ballots with waits that differ", "client_proxy/consensus/proposer.py")
GOSSIP_TABLE = Mechanism("256 members, by rendezvous hashing", "client_proxy/membership/members.py")
STORE = Mechanism("the last 20 bodies", "client_proxy/consensus/store.py")
ENDPOINT_LISTS = Mechanism(
    "the whole list at the start and after a gap, else changes", "client_proxy/proxy/discovery.py"
)
ROLLOUT = Mechanism(
    "stages in the agreed file, counts to the control machines", "client_proxy/rollout/rollout_executor.py"
)

DATA_PATH = (
    Row(
        "Lists, added time at 680 servers", Role.DATA_PATH, Kind.TIME,
        "measured at 294 calls a second, 680 names of ten servers", "ms at the 99th percentile, least round",
        formulas.added_p99_680, ("data_path.added_p99",), lambda b: b.added_p99_ms, False, CONNECTION_SLOTS,
    ),
    Row(
        "Lists, calls lost at 680 servers", Role.DATA_PATH, Kind.TIME,
        "measured as above", "% of the calls",
        formulas.lost_percent_680, ("data_path.lost",), None, True, CONNECTION_SLOTS,
    ),
    Row(
        "Lists, calls lost at 680 servers with ports of their own", Role.DATA_PATH, Kind.TIME,
        "measured as above, each name with a port", "% of the calls",
        formulas.lost_percent_own_ports_680, ("own_ports_lost",), None, True, CONNECTION_SLOTS,
    ),
    Row(
        "Added time", Role.DATA_PATH, Kind.TIME,
        "measured at 294 calls a second, ten servers", "ms at the 99th percentile, least round",
        formulas.added_p99_10, ("data_path.added_p99",), lambda b: b.added_p99_ms, False, EVENT_LOOP,
        Claim("1.5 to 2.2 ms, over the budget", lambda ms: ms > 0.87),
    ),
    Row(
        "Added time, in the median", Role.DATA_PATH, Kind.TIME,
        "measured at 294 calls a second, ten servers", "ms, least round",
        formulas.added_p50_10, ("data_path.added_p50",), None, False, EVENT_LOOP,
    ),
    Row(
        "Added time: the daemon without a core meanwhile", Role.DATA_PATH, Kind.TIME,
        "measured: ready to run, and all cores taken by others", "ms a call",
        formulas.wait_for_core_10, ("data_path.waited",), None, False, EVENT_LOOP,
    ),
    Row(
        "Added time by part, inside the daemon", Role.DATA_PATH, Kind.TIME,
        "read + turn + decide + start + answer, ten servers (docs/design/long-lists.md)",
        "ms of processor time, 99 in 100",
        formulas.added_by_part, ("added_by_part",), lambda b: b.added_p99_ms, False, EVENT_LOOP,
        Claim("over the budget by its parts", lambda ms: ms > 0.87),
    ),
    Row(
        "Decisions", Role.DATA_PATH, Kind.PROCESSOR,
        "calls a second x us a decision at 680 servers", "% of a core",
        formulas.decision_core, ("decision.cpu",), None, False, BALANCER,
    ),
    Row(
        "Calls, ten servers", Role.DATA_PATH, Kind.PROCESSOR,
        "calls a second x ms a call at 10 servers", "% of a core",
        formulas.call_core_10, ("data_path.cpu",), None, False, EVENT_LOOP,
    ),
    Row(
        "Calls, 680 servers", Role.DATA_PATH, Kind.PROCESSOR,
        "calls a second x ms a call at 680 servers", "% of a core",
        formulas.call_core_680, ("data_path.cpu",), None, False, EVENT_LOOP,
    ),
    Row(
        "Dials", Role.DATA_PATH, Kind.MESSAGES,
        "connections made in 6 s at 680 servers / 6", "connections a second",
        formulas.dials_per_s, ("data_path.dials",), None, False, UPSTREAM_POOLS,
    ),
    Row(
        "State of a server", Role.DATA_PATH, Kind.STATE,
        "slope of memory by name x 680", "MB",
        formulas.server_state, ("data_path.memory",), None, False, BALANCER,
    ),
    Row(
        "Memory of a proxy", Role.DATA_PATH, Kind.MEMORY,
        "measured at 680 servers", "MB resident",
        formulas.proxy_memory, ("data_path.memory",), None, False, LIST_PER_PROCESS,
    ),
    Row(
        "Services, memory", Role.DATA_PATH, Kind.MEMORY,
        "a process for each of 65 services", "MB a host",
        formulas.services_memory, ("services.memory",), None, False, LIST_PER_PROCESS,
        Claim("65 processes, a list each", lambda mb: mb > 65 * 20),
    ),
    Row(
        "Services, idle processor time", Role.DATA_PATH, Kind.PROCESSOR,
        "a process for each of 65 services, no calls, no agreement", "% of a core a host",
        formulas.services_idle, ("services.idle_cpu",), None, False, LIST_PER_PROCESS,
    ),
    Row(
        "Depth, added time", Role.DATA_PATH, Kind.TIME,
        "26 levels with proxies - the same services without; budget 26 x 0.87 ms",
        "ms in the median, least round; the 99th percentile is higher",
        formulas.depth_added_p50, ("depth.added_p50", "chain_without_proxies.added_p50"),
        lambda b: 26 * b.added_p99_ms, False, EVENT_LOOP,
        Claim("26 times the added time, over the budget", lambda ms: ms > 26 * 0.87),
    ),
    Row(
        "Depth, the load's own lateness", Role.DATA_PATH, Kind.TIME,
        "how late a call was sent at most while the rows above were measured", "ms",
        formulas.depth_sending_delay, ("depth.late",), None, False, EVENT_LOOP,
    ),
    Row(
        "Depth, attempts of the first call", Role.DATA_PATH, Kind.MESSAGES,
        "measured: at a failing leaf 26 levels deep, retry budgets full", "attempts",
        formulas.depth_attempts_of_first_request, ("depth.attempts_first",), None, False, RETRY_BUDGET,
        Claim("(1 + 0.1)^26 = 12 attempts a call", lambda attempts: attempts >= 6),
    ),
    Row(
        "Depth, attempts", Role.DATA_PATH, Kind.MESSAGES,
        "measured: at a failing leaf 26 levels deep, mean of 40 calls", "attempts a call",
        formulas.depth_attempts, ("depth.attempts",), None, False, RETRY_BUDGET,
        Claim("(1 + 0.1)^26 = 12 attempts a call", lambda attempts: attempts >= 6),
    ),
    Row(
        "Depth, deadline left", Role.DATA_PATH, Kind.TIME,
        "measured: what the leaf 26 levels deep is told of 2,000 ms", "ms",
        formulas.depth_deadline_left, ("depth.left",), None, False, DEADLINE,
    ),
    Row(
        "Depth, told refused", Role.DATA_PATH, Kind.MESSAGES,
        "measured: calls answered 503 at the top while the leaf fails", "% of the calls",
        formulas.depth_refused_percent, ("depth.told_refused",), None, True, RETRY_BUDGET,
    ),
)  # fmt: skip

BEFORE_SLOTS = (
    Row(
        "Before slots: added time at 680 servers", Role.DATA_PATH, Kind.TIME,
        "measured at 294 calls a second, 680 names of ten servers", "ms at the 99th percentile, least round",
        formulas.added_p99_680_before, ("data_path_before.added_p99",), lambda b: b.added_p99_ms, True,
        UPSTREAM_POOLS, Claim("300 ms", lambda ms: ms >= 150), "Lists, added time at 680 servers",
    ),
    Row(
        "Before slots: calls lost at 680 servers", Role.DATA_PATH, Kind.TIME,
        "measured as above", "% of the calls",
        formulas.lost_percent_680_before, ("data_path_before.lost",), None, True, UPSTREAM_POOLS,
        Claim("14% lost", lambda percent: percent >= 7), "Lists, calls lost at 680 servers",
    ),
    Row(
        "Before slots: calls lost at 680 servers with ports of their own", Role.DATA_PATH, Kind.TIME,
        "measured as above, each name with a port", "% of the calls",
        formulas.lost_percent_own_ports_680_before, ("own_ports_lost_before",), None, True, UPSTREAM_POOLS,
        Claim("16% lost", lambda percent: percent >= 8),
        "Lists, calls lost at 680 servers with ports of their own",
    ),
)  # fmt: skip

CONTROL_PART = (
    Row(
        "Leases, bytes", Role.CONTROL_PART, Kind.MESSAGES,
        "2 x 5 control machines x 4 / lease x bytes of a datagram, both ways", "bytes a second",
        formulas.proxy_bytes, ("agreement.proxy_bytes",), lambda b: b.control_bytes_per_s, False, LEASE,
    ),
    Row(
        "Leases, processor time", Role.CONTROL_PART, Kind.PROCESSOR,
        "5 x 4 / lease x us of a verification", "of a core",
        formulas.verify_core, ("signature.verify", "agreement.proxy_datagrams"), lambda b: b.control_core,
        False, SIGNATURES,
    ),
    Row(
        "Verification of one answer", Role.CONTROL_PART, Kind.PROCESSOR,
        "measured, 128 bytes", "us",
        formulas.verification_us, ("signature.verify",), None, False, SIGNATURES,
        Claim("170 us, on a machine whose speed changes by half", lambda us: 85 <= us <= 340),
    ),
    Row(
        "Control part, processor time, by paired runs", Role.CONTROL_PART, Kind.PROCESSOR,
        "serve with control - serve without", "of a core",
        formulas.control_core, ("control_part_core",), lambda b: b.control_core, False, SIGNATURES,
    ),
    Row(
        "Control part, processor time at the crowded hour, by paired runs", Role.CONTROL_PART, Kind.PROCESSOR,
        "serve with control - serve without, 20 changes a minute", "of a core",
        formulas.control_core_crowded, ("control_part_core_crowded",), lambda b: b.control_core, False,
        FILE_READING,
    ),
    Row(
        "Control part, memory, by paired runs", Role.CONTROL_PART, Kind.MEMORY,
        "serve with control - serve without", "MB",
        formulas.control_part_memory, ("control_part_memory",), lambda b: b.control_mb, False,
        LIST_PER_PROCESS,
    ),
    Row(
        "Control part, bytes, by paired runs", Role.CONTROL_PART, Kind.MESSAGES,
        "agreement, gossip and discovery together", "bytes a second",
        formulas.control_bytes, ("control_part_bytes",), lambda b: b.control_bytes_per_s, False, LEASE,
    ),
    Row(
        "Lists, reading a change", Role.CONTROL_PART, Kind.TIME,
        "ms that the event loop stands still, twice a change", "ms",
        formulas.policy_read_ms, ("list.policy_read",), None, False, FILE_READING,
        Claim("28 ms", lambda ms: 20 <= ms <= 45),
    ),
    Row(
        "Lists, reading a list alone", Role.CONTROL_PART, Kind.TIME,
        "the same of a file without `[policy]`, which is parsed once and not twice", "ms",
        formulas.list_read_ms, ("list.list_read",), None, False, FILE_READING,
        Claim("28 ms", lambda ms: 20 <= ms <= 45),
    ),
    Row(
        "Lists, added by reading at the crowded hour", Role.CONTROL_PART, Kind.TIME,
        "read x (1 - 0.01 / share of time), share = 2 x read x 20 / 60 s", "ms at the 99th percentile",
        formulas.read_p99_crowded, ("list.policy_read",), lambda b: b.added_p99_ms, False, FILE_READING,
    ),
    Row(
        "Lists, added by reading over the day", Role.CONTROL_PART, Kind.TIME,
        "the same, share = 2 x read x 1,600 / 86,400 s", "ms at the 99th percentile",
        formulas.read_p99_day, ("list.policy_read",), lambda b: b.added_p99_ms, False, FILE_READING,
    ),
    Row(
        "Lists, processor time of reading at the crowded hour", Role.CONTROL_PART, Kind.PROCESSOR,
        "2 x read x 20 / 60 s", "of a core",
        formulas.read_core_crowded, ("list.policy_read",), lambda b: b.control_core, False, FILE_READING,
    ),
    Row(
        "Lists, processor time of reading over the day", Role.CONTROL_PART, Kind.PROCESSOR,
        "2 x read x 1,600 / 86,400 s", "of a core",
        formulas.read_core_day, ("list.policy_read",), lambda b: b.control_core, False, FILE_READING,
    ),
    Row(
        "Lists, bytes fetched at the crowded hour", Role.CONTROL_PART, Kind.MESSAGES,
        "bytes of the file x 20 / 60 s", "bytes a second",
        formulas.fetch_bytes_crowded, ("list.policy_bytes",), lambda b: b.control_bytes_per_s, False, STORE,
    ),
    Row(
        "Services, control processor time", Role.CONTROL_PART, Kind.PROCESSOR,
        "65 processes x leases' processor time", "of a core",
        formulas.services_control_core, ("signature.verify", "agreement.proxy_datagrams"),
        lambda b: b.control_core, False, LIST_PER_PROCESS,
    ),
    Row(
        "Services, control bytes", Role.CONTROL_PART, Kind.MESSAGES,
        "65 processes x leases' bytes", "bytes a second",
        formulas.services_control_bytes, ("agreement.proxy_bytes",), lambda b: b.control_bytes_per_s, False,
        LIST_PER_PROCESS,
    ),
    Row(
        "Control part, memory", Role.CONTROL_PART, Kind.MEMORY,
        "serve with a vote and 34 instances - serve with a watched list", "MB",
        formulas.control_memory, ("control_machine.memory", "services.memory"), lambda b: b.control_mb,
        False, LIST_PER_PROCESS,
    ),
    Row(
        "Services, control memory", Role.CONTROL_PART, Kind.MEMORY,
        "65 x the row above", "MB a host",
        formulas.services_control_memory, ("control_machine.memory", "services.memory"),
        lambda b: b.control_mb, False, LIST_PER_PROCESS,
    ),
    Row(
        "Gossip", Role.CONTROL_PART, Kind.STATE,
        "679 others / members that a table holds", "times the table",
        formulas.members_to_gossip_table_size, ("gossip_table.held",), lambda b: 1.0, False, GOSSIP_TABLE,
        Claim("the table holds 256, fewer than the fleet", lambda times: times > 1),
    ),
    Row(
        "Gossip, bytes at 680", Role.CONTROL_PART, Kind.MESSAGES,
        "bounded by `bytes_per_s` (8 KiB)", "bytes a second",
        formulas.gossip_bytes, ("gossip_bytes_680",), lambda b: b.control_bytes_per_s, False, GOSSIP_TABLE,
    ),
)  # fmt: skip

CONTROL_MACHINE = (
    Row(
        "Leases granted", Role.CONTROL_MACHINE, Kind.MESSAGES,
        "instances x 4 / lease, received and sent", "datagrams a second",
        formulas.lease_datagrams_per_s, ("agreement.control_received", "agreement.control_sent"), None, False,
        LEASE,
    ),
    Row(
        "Leases granted, bytes", Role.CONTROL_MACHINE, Kind.MESSAGES,
        "datagrams x bytes, both ways", "bytes a second",
        formulas.control_machine_bytes, ("control_machine.bytes",), None, False, LEASE,
    ),
    Row(
        "Leases granted, processor time", Role.CONTROL_MACHINE, Kind.PROCESSOR,
        "measured: slope x instances", "of a core",
        formulas.control_machine_core, ("control_machine.cpu",), lambda b: b.control_machine_core, False,
        SIGNATURES,
    ),
    Row(
        "Signature of one answer", Role.CONTROL_MACHINE, Kind.PROCESSOR,
        "measured, 128 bytes", "us",
        formulas.signature_us, ("signature.sign",), None, False, SIGNATURES,
        Claim("50 us, on a machine whose speed changes by half", lambda us: 25 <= us <= 100),
    ),
    Row(
        "Memory of a control machine", Role.CONTROL_MACHINE, Kind.MEMORY,
        "measured at 680 instances", "MB",
        formulas.control_machine_memory, ("control_machine.memory",), None, False, STORE,
    ),
    Row(
        "Versions kept", Role.CONTROL_MACHINE, Kind.STATE,
        "20 bodies x bytes of the file", "MB on disk",
        formulas.stored_versions_mb, ("list.policy_bytes",), None, False, STORE,
    ),
    Row(
        "Datagrams at once", Role.CONTROL_MACHINE, Kind.MESSAGES,
        "measured: of 680 that come while the loop is busy", "% lost, asked again later",
        formulas.burst_lost_percent, ("burst.lost",), None, False, RECEIVE_BUFFER,
    ),
    Row(
        "Force within 3 s", Role.CONTROL_MACHINE, Kind.TIME,
        "change + lease / (1 - 0.05) + 2 x (read - 5 ms)", "ms",
        formulas.change_in_force_ms, ("lease.last", "list.policy_read"), lambda b: b.in_force_ms, False,
        LEASE,
        Claim("3.16 s, over the budget", lambda ms: ms > 3000),
    ),
    Row(
        "Force within 3 s, a third down", Role.CONTROL_MACHINE, Kind.TIME,
        "the same, those who were heard just now are waited for", "ms",
        formulas.change_in_force_third_down_ms, ("change.third_down_last", "list.policy_read"),
        lambda b: b.in_force_ms,
        False, LEASE,
        Claim("1.5 s more", lambda ms: ms > 4500),
    ),
    Row(
        "Force within 3 s, lease of 1,500 ms", Role.CONTROL_MACHINE, Kind.TIME,
        "as above with a lease of 1,500 ms", "ms",
        formulas.change_in_force_short_lease_ms, ("lease.last", "list.policy_read"), lambda b: b.in_force_ms,
        False, LEASE,
    ),
    Row(
        "Force within 3 s, lease of 1,500 ms: datagrams", Role.CONTROL_MACHINE, Kind.MESSAGES,
        "instances x 4 / lease, received and sent", "datagrams a second",
        formulas.lease_datagrams_short_lease, ("lease.control_received", "lease.control_sent"), None, False,
        LEASE,
    ),
    Row(
        "Force within 3 s, lease of 1,500 ms: signatures", Role.CONTROL_MACHINE, Kind.PROCESSOR,
        "datagrams sent x us of a signature", "of a core",
        formulas.signatures_short_lease, ("lease.control_sent", "signature.sign"),
        lambda b: b.control_machine_core, False, SIGNATURES,
    ),
    Row(
        "Force within 3 s, the lease that fits with a third down", Role.CONTROL_MACHINE, Kind.TIME,
        "(3,000 ms - change - 2 x (read - 5 ms)) x 0.95", "ms",
        formulas.fitting_lease_ms, ("change.third_down_last", "list.policy_read"), None, False, LEASE,
    ),
    Row(
        "Force within 3 s, that lease: processor time", Role.CONTROL_MACHINE, Kind.PROCESSOR,
        "measured at 3,000 ms x 3,000 / that lease", "of a core",
        formulas.fitting_lease_core, ("control_machine.cpu", "change.third_down_last", "list.policy_read"),
        lambda b: b.control_machine_core, False, SIGNATURES,
    ),
    Row(
        "Leases while authors compete", Role.CONTROL_MACHINE, Kind.TIME,
        "a control machine that has voted grants nothing until that is decided", "s without a lease",
        formulas.leases_while_authors_compete, ("leases_while_authors_compete",), None, True, BALLOTS,
    ),
    Row(
        "Regions", Role.CONTROL_MACHINE, Kind.TIME,
        "slope by seconds of the cut x 180 s - lease, in a region without a majority",
        "s in which every call is refused",
        formulas.region_refused_s, ("region_cut.refused_inside",), None, True, ONE_GROUP,
        Claim("a region without a majority refuses everything for minutes", lambda s: s >= 60),
    ),
    Row(
        "Regions, real instances", Role.CONTROL_MACHINE, Kind.TIME,
        "measured in a region that is cut off for 180 s", "s without a lease at most",
        formulas.region_refused_s_real, ("region_refused_s",), None, True, ONE_GROUP,
    ),
    Row(
        "Change, real instances, last that is up", Role.CONTROL_MACHINE, Kind.TIME,
        "measured at 680 instances", "ms",
        formulas.change_last_ms_real, ("change_last_ms_680",), lambda b: b.in_force_ms, False, FAN_OUT,
    ),
)  # fmt: skip

AUTHOR = (
    Row(
        "Authors, two at once", Role.AUTHOR, Kind.MESSAGES,
        "measured: proposals a decided change", "proposals",
        formulas.proposals_of_two_authors, ("authors.tries",), None, False, BALLOTS,
        Claim("outvote each other", lambda tries: tries > 1),
    ),
    Row(
        "Authors, five at once", Role.AUTHOR, Kind.MESSAGES,
        "measured: proposals a decided change", "proposals",
        formulas.proposals_of_five_authors, ("authors.tries",), None, False, BALLOTS,
    ),
    Row(
        "Authors, overtaken files", Role.AUTHOR, Kind.TIME,
        "20 wished a minute / decided a minute, five authors of 30 s work each", "times too few",
        formulas.wanted_to_decided_changes, ("overtaken.decided",), lambda b: 1.0, False, AFTER_OPTION,
        Claim("spoil each other's", lambda times: times > 1),
    ),
    Row(
        "Change, datagrams at the control machines", Role.AUTHOR, Kind.MESSAGES,
        "slope by changes a minute x 60 x 5, checks, votes and new leases", "datagrams a change",
        formulas.change_datagrams, ("changes.control_sent", "changes.control_received"), None, False, FAN_OUT,
    ),
    Row(
        "Change, standstill of its author", Role.AUTHOR, Kind.TIME,
        "680 datagrams signed in one turn of the event loop", "ms, twice a change",
        formulas.author_standstill_ms, ("signature.sign",), None, False, FAN_OUT,
    ),
    Row(
        "Change, processor time of its author", Role.AUTHOR, Kind.PROCESSOR,
        "(2 x 680 signatures + 2 reads) x 20 / 60 s", "of a core",
        formulas.author_core, ("signature.sign", "list.policy_read"), lambda b: b.control_machine_core, False,
        FAN_OUT,
    ),
    Row(
        "Change, bodies refused", Role.AUTHOR, Kind.MESSAGES,
        "32 handed out at a time, the rest are closed on; one instance without the body refuses the change",
        "% of the proposals",
        formulas.body_refusals, ("body_refusals",), None, False, BODY_READERS,
    ),
    Row(
        "File of a change", Role.AUTHOR, Kind.STATE,
        "bytes of the file, 680 servers", "bytes",
        formulas.policy_bytes, ("list.policy_bytes",), None, False, FILE_READING,
    ),
    Row(
        "Memory of an author", Role.AUTHOR, Kind.MEMORY,
        "measured while it makes a change", "MB",
        formulas.author_memory, ("author_memory",), None, False, FAN_OUT,
    ),
)  # fmt: skip

DISCOVERY = (
    Row(
        "Whole list, bytes", Role.DISCOVERY, Kind.STATE,
        "bytes of the message, 680 servers", "bytes",
        formulas.discovery_bytes, ("list.discovery_bytes",), None, False, ENDPOINT_LISTS,
    ),
    Row(
        "Whole lists for a zone that comes back", Role.DISCOVERY, Kind.MESSAGES,
        "113 instances x bytes of the message", "MB",
        formulas.zone_lists_mb, ("list.discovery_bytes",), None, False, ENDPOINT_LISTS,
    ),
    Row(
        "Whole list, reading and applying it", Role.DISCOVERY, Kind.PROCESSOR,
        "ms of the event loop, 680 servers", "ms",
        formulas.discovery_ms, ("list.discovery_read", "list.apply"), None, False, ENDPOINT_LISTS,
    ),
    Row(
        "Memory of discovery's service", Role.DISCOVERY, Kind.MEMORY,
        "not part of this program", "MB",
        formulas.discovery_memory, ("discovery_memory",), None, False, ENDPOINT_LISTS,
    ),
)  # fmt: skip

ROLLOUT_DRIVER = (
    Row(
        "Rollout, the agreed file", Role.ROLLOUT, Kind.STATE,
        "the old file and the new one within it, 680 servers", "bytes",
        formulas.rollout_bytes, ("rollout.file",), None, False, ROLLOUT,
    ),
    Row(
        "Rollout, reading the agreed file", Role.ROLLOUT, Kind.TIME,
        "ms that each instance's event loop stands still, twice a stage", "ms",
        formulas.rollout_read, ("rollout.read",), None, False, FILE_READING,
    ),
    Row(
        "Rollout, counts told", Role.ROLLOUT, Kind.MESSAGES,
        "instances x 1 a second", "datagrams a second at a control machine",
        formulas.rollout_messages, ("rollout.count_bytes",), None, False, ROLLOUT,
    ),
    Row(
        "Rollout, counts told, bytes", Role.CONTROL_PART, Kind.MESSAGES,
        "5 control machines x 1 a second x (bytes + 112 of the frame)", "bytes a second",
        formulas.rollout_proxy_bytes, ("rollout.count_bytes",), lambda b: b.control_bytes_per_s, False,
        ROLLOUT,
    ),
    Row(
        "Rollout, judging", Role.ROLLOUT, Kind.PROCESSOR,
        "instances x us a count + ms a second's judgement", "of a core",
        formulas.rollout_core, ("rollout.count", "rollout.judge"), lambda b: b.control_machine_core, False,
        ROLLOUT,
    ),
    Row(
        "Rollout, memory", Role.ROLLOUT, Kind.MEMORY,
        "measured at the driver, ten seconds of 120 kept", "MB",
        formulas.rollout_memory, ("rollout.memory",), None, False, ROLLOUT,
    ),
)  # fmt: skip

ROWS: tuple[Row, ...] = (
    *DATA_PATH, *BEFORE_SLOTS, *CONTROL_PART, *CONTROL_MACHINE, *AUTHOR, *DISCOVERY, *ROLLOUT_DRIVER,
)  # fmt: skip
