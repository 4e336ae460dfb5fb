"""What one run of the restart soak does and when. All of it is drawn from the seed before the run begins.

Times are seconds from the moment in which the proxy is ready, where a name ends in `_s`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from client_proxy.api.settings import Idempotency
from client_proxy.emulator.random_streams import random_stream

LEAST_LONGEST_DEADLINE_S, MOST_LONGEST_DEADLINE_S = 0.5, 3.0
KILL_MARGIN_S = 0.7  # the platform kills no earlier than the longest deadline and this after SIGTERM
LEAST_ACCEPT_S, MOST_ACCEPT_S = 0.2, 0.4  # for so long after SIGTERM new connections come
STOP_S = 0.12  # how long SIGSTOP holds the proxy
LEAST_STOP_GAP_S = 0.4
FIRST_PHASE_S = 1.6  # of clients that all leave before the descriptors are counted
REST_S = 0.4  # for them to be gone
SECOND_PHASE_S = 0.9  # of clients, before the SIGTERM
SIGNAL_GAP_S = 0.06  # mean, of the series after SIGTERM
CROWD_SHARE = 0.2  # of the seeds
CROWD_CONNECTIONS = 1100
LEAST_DESCRIPTORS, MOST_DESCRIPTORS = 576, 1024
MOST_EARLY_TERMINATION_S = 0.35  # SIGTERM to a proxy that is still starting
REQUESTS_PER_CONNECTION = 120  # more than one connection comes to


class Idle(Enum):
    """What a server does with connections that wait for a request."""

    KEEP = "keep"
    CLOSE = "close"  # after `ServerPlan.idle_close_s`


class ServerFault(Enum):
    """How a server treats requests for a while."""

    HANG = "hang"  # reads them and says nothing
    RESET = "reset"  # resets the connection under them
    REFUSE = "refuse"  # says that they never ran
    GONE = "gone"  # the process has ended; discovery says so a moment later


class ClientKind(Enum):
    """How a client uses its connections."""

    STEADY = "steady"  # one request after the other
    PIPELINED = "pipelined"  # several ahead of their answers
    PIECES = "pieces"  # each request in several writes
    LEAVING = "leaving"  # goes while it waits


@dataclass(frozen=True, slots=True)
class ClassPlan:
    """A class of requests, as the proxy's settings state it."""

    name: str
    idempotency: Idempotency
    deadline_s: float
    window_s: float = 0.0  # within which a server drops repeats, with an idempotency key


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """A fault of a server, for a time."""

    kind: ServerFault
    begin_s: float
    end_s: float


@dataclass(frozen=True, slots=True)
class ServerPlan:
    """A server: how long its answers take, and what befalls it."""

    name: str
    cell: int
    least_latency_s: float
    most_latency_s: float
    idle: Idle
    idle_close_s: float
    faults: tuple[FaultPlan, ...]


@dataclass(frozen=True, slots=True)
class RequestPlan:
    """One request of a client's connection."""

    class_name: str
    expires_s: float
    think_s: float  # after the answer before it, or with PIPELINED after the request before it
    piece_gaps_s: tuple[float, ...] = ()  # between the writes that it is sent in
    leave_after_s: float | None = None  # the client closes the connection so long after it was sent


@dataclass(frozen=True, slots=True)
class ClientPlan:
    """One connection of a client, opened once."""

    number: int
    connect_s: float
    kind: ClientKind
    requests: tuple[RequestPlan, ...]
    first_phase: bool  # it closes the connection at the end of the first phase


@dataclass(frozen=True, slots=True)
class SignalPlan:
    """One signal to the proxy."""

    at_s: float
    number: int


@dataclass(frozen=True, slots=True)
class Schedule:
    """All that one run does."""

    seed: int
    classes: tuple[ClassPlan, ...]
    servers: tuple[ServerPlan, ...]
    clients: tuple[ClientPlan, ...]
    stops_s: tuple[float, ...]
    reloads_s: tuple[float, ...]  # a configuration with another discovery, and SIGHUP
    terminate_s: float
    series: tuple[SignalPlan, ...]  # beside the SIGTERM itself
    accept_s: float  # after the SIGTERM, for which new connections come
    early_terminations_s: tuple[float, ...]  # of proxies that are still starting, before the one that serves
    crowd: int  # idle connections
    descriptors: int

    @property
    def longest_deadline_s(self) -> float:
        """The longest deadline of a class."""
        return max(cls.deadline_s for cls in self.classes)

    @property
    def kill_s(self) -> float:
        """When the proxy is killed, if it has not ended by itself."""
        return self.terminate_s + self.longest_deadline_s + KILL_MARGIN_S


def draw_schedule(seed: int, hangup: int, terminate: int) -> Schedule:
    """Draw a run.

    Args:
        seed: the run's seed.
        hangup: the number of the signal that has the configuration read again.
        terminate: the number of the signal that asks for a graceful shutdown.
    """
    random = random_stream(seed, "restart soak")
    classes = _draw_classes(random)
    terminate_s = FIRST_PHASE_S + REST_S + SECOND_PHASE_S * random.uniform(0.6, 1.0)
    kill_s = terminate_s + max(cls.deadline_s for cls in classes) + KILL_MARGIN_S
    accept_s = random.uniform(LEAST_ACCEPT_S, MOST_ACCEPT_S)
    crowd = random.random() < CROWD_SHARE
    return Schedule(
        seed=seed,
        classes=classes,
        servers=_draw_servers(random, terminate_s, kill_s),
        clients=_draw_clients(random, classes, terminate_s, accept_s),
        stops_s=_draw_stops(random, kill_s),
        reloads_s=_draw_reloads(random, terminate_s),
        terminate_s=terminate_s,
        series=_draw_series(random, terminate_s, kill_s, hangup, terminate),
        accept_s=accept_s,
        early_terminations_s=tuple(
            random.uniform(0.0, MOST_EARLY_TERMINATION_S) for _ in range(random.choice((0, 0, 1)))
        ),
        crowd=CROWD_CONNECTIONS if crowd else 0,
        descriptors=random.randint(LEAST_DESCRIPTORS, MOST_DESCRIPTORS),
    )


def _draw_classes(random: Random) -> tuple[ClassPlan, ...]:
    longest_s = random.uniform(LEAST_LONGEST_DEADLINE_S, MOST_LONGEST_DEADLINE_S)
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
            # The first server is well: a run in which nobody is served shows nothing.
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
    cls = random.choice(classes)
    gaps_s: tuple[float, ...] = ()
    leave_after_s: float | None = None
    if kind is ClientKind.PIECES:
        gaps_s = tuple(random.uniform(0.0, 0.05) for _ in range(random.randint(1, 3)))
    if kind is ClientKind.LEAVING and random.random() < 0.3:
        leave_after_s = random.uniform(0.0, 0.15)
    think_s = random.choice((0.0, random.uniform(0.0, 0.1), random.uniform(0.0, 0.4)))
    expires_s = cls.deadline_s * random.uniform(0.4, 1.0)
    return RequestPlan(cls.name, expires_s, think_s, gaps_s, leave_after_s)


def _draw_stops(random: Random, kill_s: float) -> tuple[float, ...]:
    stops: list[float] = []
    at_s = random.uniform(0.1, 1.0)
    while at_s < kill_s - STOP_S:
        stops.append(at_s)
        at_s += STOP_S + LEAST_STOP_GAP_S + random.expovariate(1.0)
    return tuple(stops)


def _draw_reloads(random: Random, terminate_s: float) -> tuple[float, ...]:
    """Configurations in a row: some of them within a few milliseconds."""
    at_s = random.uniform(0.2, terminate_s - 0.2)
    reloads = [at_s]
    for _ in range(random.randint(0, 3)):
        reloads.append(reloads[-1] + random.choice((0.005, 0.05, 0.3)))
    return tuple(each for each in reloads if each < terminate_s)


def _draw_series(
    random: Random, terminate_s: float, kill_s: float, hangup: int, terminate: int
) -> tuple[SignalPlan, ...]:
    series: list[SignalPlan] = []
    at_s = terminate_s
    while at_s < kill_s:
        series.append(SignalPlan(at_s, random.choice((hangup, hangup, terminate))))
        at_s += random.expovariate(1.0 / SIGNAL_GAP_S)
    return tuple(series)
