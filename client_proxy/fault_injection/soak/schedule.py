"""The schedule of one run of the restart soak, drawn from a seed before the run begins.

Times (`_s`) are seconds from when the proxy is ready, unless a comment says otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from client_proxy.api.settings import Idempotency
from client_proxy.emulator.random_streams import random_stream

MIN_LONGEST_DEADLINE_S, MAX_LONGEST_DEADLINE_S = 0.5, 3.0
KILL_MARGIN_S = 0.7  # the platform kills no earlier than the longest deadline and this after SIGTERM
MIN_ACCEPT_S, MAX_ACCEPT_S = 0.2, 0.4  # how long after SIGTERM clients open new connections
STOP_S = 0.12  # from SIGSTOP to SIGCONT
MIN_STOP_GAP_S = 0.4  # between SIGCONT and the next SIGSTOP
FIRST_PHASE_S = 1.6  # duration of the clients that all leave before the descriptors are counted
REST_S = 0.4  # between the first phase and the count
SECOND_PHASE_S = 0.9  # longest duration of the clients before the SIGTERM
SIGNAL_GAP_S = 0.06  # mean gap of the signals after SIGTERM
CROWD_SHARE = 0.2  # share of runs with many idle connections
CROWD_CONNECTIONS = 1100  # idle connections in such a run
MIN_DESCRIPTORS, MAX_DESCRIPTORS = 576, 1024  # descriptor limit of the proxy
MAX_EARLY_TERMINATION_S = 0.35  # latest SIGTERM after the start of a proxy that is terminated early
REQUESTS_PER_CONNECTION = 120  # more than a connection can send in one run


class Idle(Enum):
    """What a server does with idle connections."""

    KEEP = "keep"
    CLOSE = "close"  # after `ServerPlan.idle_close_s`


class ServerFault(Enum):
    """How a server treats requests for a while."""

    HANG = "hang"  # reads them and does not answer
    RESET = "reset"  # resets their connection
    REFUSE = "refuse"  # answers that they never ran
    GONE = "gone"  # the process has ended; discovery reports that a moment later


class ClientKind(Enum):
    """How a client uses its connections."""

    STEADY = "steady"  # one request after the other
    PIPELINED = "pipelined"  # several requests before their answers
    PIECES = "pieces"  # each request in several writes
    LEAVING = "leaving"  # closes the connection while it waits for an answer


@dataclass(frozen=True, slots=True)
class ClassPlan:
    """A class of requests, as the proxy's settings state it."""

    name: str
    idempotency: Idempotency
    deadline_s: float
    window_s: float = 0.0  # how long a server drops repeats of an idempotency key


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """A fault of a server, for a time."""

    kind: ServerFault
    begin_s: float
    end_s: float


@dataclass(frozen=True, slots=True)
class ServerPlan:
    """A server: its latency, its idle connections and its faults."""

    name: str
    cell: int  # deduplication group, within which repeats of a key are dropped
    least_latency_s: float
    most_latency_s: float
    idle: Idle
    idle_close_s: float  # with `Idle.CLOSE`, seconds from an answer to the close
    faults: tuple[FaultPlan, ...]


@dataclass(frozen=True, slots=True)
class RequestPlan:
    """One request of a client's connection."""

    class_name: str
    expires_s: float  # seconds from sending for which the client waits
    think_s: float  # pause after the previous answer, or with PIPELINED after the previous request
    piece_gaps_s: tuple[float, ...] = ()  # between the writes that it is sent in
    leave_after_s: float | None = None  # from sending to the close of the connection by the client


@dataclass(frozen=True, slots=True)
class ClientPlan:
    """One connection of a client, opened once."""

    number: int
    connect_s: float
    kind: ClientKind
    requests: tuple[RequestPlan, ...]
    first_phase: bool  # whether it closes the connection at the end of the first phase


@dataclass(frozen=True, slots=True)
class SignalPlan:
    """One signal to the proxy."""

    at_s: float
    number: int  # of the signal


@dataclass(frozen=True, slots=True)
class Schedule:
    """Everything that one run does."""

    seed: int
    classes: tuple[ClassPlan, ...]
    servers: tuple[ServerPlan, ...]
    clients: tuple[ClientPlan, ...]
    stops_s: tuple[float, ...]  # times of SIGSTOP
    reloads_s: tuple[float, ...]  # times of a new configuration with another discovery, and SIGHUP
    terminate_s: float  # time of the first SIGTERM
    series: tuple[SignalPlan, ...]  # signals besides the SIGTERM itself
    accept_s: float  # seconds after the SIGTERM in which new connections are opened
    early_terminations_s: tuple[float, ...]  # seconds from start to SIGTERM, of earlier proxies
    crowd: int  # number of idle connections
    descriptors: int  # limit of the proxy

    @property
    def longest_deadline_s(self) -> float:
        """The longest deadline of a class."""
        return max(request_class.deadline_s for request_class in self.classes)

    @property
    def kill_s(self) -> float:
        """When the proxy is killed if it has not ended by itself."""
        return self.terminate_s + self.longest_deadline_s + KILL_MARGIN_S


def draw_schedule(seed: int, hangup: int, terminate: int) -> Schedule:
    """Draw the schedule of a run.

    Args:
        seed: The run's seed.
        hangup: Number of the signal that makes the proxy read its configuration again.
        terminate: Number of the signal that starts a graceful shutdown.
    """
    random = random_stream(seed, "restart soak")
    classes = _draw_classes(random)
    terminate_s = FIRST_PHASE_S + REST_S + SECOND_PHASE_S * random.uniform(0.6, 1.0)
    kill_s = terminate_s + max(request_class.deadline_s for request_class in classes) + KILL_MARGIN_S
    accept_s = random.uniform(MIN_ACCEPT_S, MAX_ACCEPT_S)
    crowd = random.random() < CROWD_SHARE
    return Schedule(
        seed=seed,
        classes=classes,
        servers=_draw_servers(random, terminate_s, kill_s),
        clients=_draw_clients(random, classes, terminate_s, accept_s),
        stops_s=_draw_stops(random, kill_s),
        reloads_s=_draw_reloads(random, terminate_s),
        terminate_s=terminate_s,
        series=_draw_signals(random, terminate_s, kill_s, hangup, terminate),
        accept_s=accept_s,
        early_terminations_s=tuple(
            random.uniform(0.0, MAX_EARLY_TERMINATION_S) for _ in range(random.choice((0, 0, 1)))
        ),
        crowd=CROWD_CONNECTIONS if crowd else 0,
        descriptors=random.randint(MIN_DESCRIPTORS, MAX_DESCRIPTORS),
    )


def _draw_classes(random: Random) -> tuple[ClassPlan, ...]:
    longest_s = random.uniform(MIN_LONGEST_DEADLINE_S, MAX_LONGEST_DEADLINE_S)
    deadlines_s = [longest_s, longest_s * random.uniform(0.4, 1.0), longest_s * random.uniform(0.4, 1.0)]
    random.shuffle(deadlines_s)
    return (
        ClassPlan("look-up", Idempotency.IDEMPOTENT, deadlines_s[0]),
        ClassPlan("extract-issue", Idempotency.IDEMPOTENCY_KEY, deadlines_s[1], deadlines_s[1]),
        ClassPlan("entry-register", Idempotency.NOT_IDEMPOTENT, deadlines_s[2]),
    )


def _draw_servers(random: Random, terminate_s: float, kill_s: float) -> tuple[ServerPlan, ...]:
    servers = []
    for number in range(random.randint(3, 5)):
        faults = []
        for begin_s in (random.uniform(0.2, FIRST_PHASE_S), terminate_s + random.uniform(-0.4, 0.6)):
            # The first server has no fault: a run in which no request is served would check nothing.
            if number and random.random() < 0.6:
                kind = random.choice(list(ServerFault))
                end_s = begin_s + random.uniform(0.2, 0.8) if begin_s < FIRST_PHASE_S else kill_s
                faults.append(FaultPlan(kind, begin_s, end_s))
        latency_s = random.uniform(0.002, 0.03)
        servers.append(
            ServerPlan(
                name=f"s{number}",
                cell=number % 2,
                least_latency_s=latency_s,
                most_latency_s=latency_s * random.uniform(1.0, 5.0),
                idle=random.choice(list(Idle)),
                idle_close_s=random.uniform(0.05, 0.5),
                faults=tuple(faults),
            )
        )
    return tuple(servers)


def _draw_clients(
    random: Random, classes: tuple[ClassPlan, ...], terminate_s: float, accept_s: float
) -> tuple[ClientPlan, ...]:
    clients: list[ClientPlan] = []
    first = [random.uniform(0.0, FIRST_PHASE_S - 0.2) for _ in range(random.randint(6, 12))]
    second_begin_s = FIRST_PHASE_S + REST_S
    second = [random.uniform(second_begin_s, terminate_s) for _ in range(random.randint(6, 12))]
    late = [terminate_s + random.uniform(0.0, accept_s) for _ in range(random.randint(3, 8))]
    for connect_s in (*first, *second, *late):
        kind = random.choice(list(ClientKind))
        requests = tuple(_draw_request(random, classes, kind) for _ in range(REQUESTS_PER_CONNECTION))
        clients.append(ClientPlan(len(clients), connect_s, kind, requests, connect_s < FIRST_PHASE_S))
    return tuple(clients)


def _draw_request(random: Random, classes: tuple[ClassPlan, ...], kind: ClientKind) -> RequestPlan:
    request_class = random.choice(classes)
    gaps_s: tuple[float, ...] = ()
    leave_after_s: float | None = None
    if kind is ClientKind.PIECES:
        gaps_s = tuple(random.uniform(0.0, 0.05) for _ in range(random.randint(1, 3)))
    if kind is ClientKind.LEAVING and random.random() < 0.3:
        leave_after_s = random.uniform(0.0, 0.15)
    think_s = random.choice((0.0, random.uniform(0.0, 0.1), random.uniform(0.0, 0.4)))
    expires_s = request_class.deadline_s * random.uniform(0.4, 1.0)
    return RequestPlan(request_class.name, expires_s, think_s, gaps_s, leave_after_s)


def _draw_stops(random: Random, kill_s: float) -> tuple[float, ...]:
    stops: list[float] = []
    at_s = random.uniform(0.1, 1.0)
    while at_s < kill_s - STOP_S:
        stops.append(at_s)
        at_s += STOP_S + MIN_STOP_GAP_S + random.expovariate(1.0)
    return tuple(stops)


def _draw_reloads(random: Random, terminate_s: float) -> tuple[float, ...]:
    """Draw the times of reloads, some of them within a few milliseconds of each other."""
    at_s = random.uniform(0.2, terminate_s - 0.2)
    reloads = [at_s]
    for _ in range(random.randint(0, 3)):
        reloads.append(reloads[-1] + random.choice((0.005, 0.05, 0.3)))
    return tuple(reload_s for reload_s in reloads if reload_s < terminate_s)


def _draw_signals(
    random: Random, terminate_s: float, kill_s: float, hangup: int, terminate: int
) -> tuple[SignalPlan, ...]:
    series: list[SignalPlan] = []
    at_s = terminate_s
    while at_s < kill_s:
        series.append(SignalPlan(at_s, random.choice((hangup, hangup, terminate))))
        at_s += random.expovariate(1.0 / SIGNAL_GAP_S)
    return tuple(series)
