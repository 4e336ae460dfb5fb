"""Fixed objects, with a value other than the default in every field, that are equal to the frozen samples.

The samples are files in `state_samples`. No code writes them, so that a changed encoding fails a test."""

from __future__ import annotations

from pathlib import Path

from client_proxy.config.models import RolloutTable
from client_proxy.consensus.acceptor import AcceptorState
from client_proxy.consensus.messages import (
    Accept,
    Accepted,
    AcceptorId,
    Ballot,
    CatchUp,
    Decided,
    LeaseDenied,
    LeaseGrant,
    LeaseRequest,
    Message,
    Nack,
    OutcomeReport,
    Prepare,
    Promise,
    ValidationReply,
    ValidationRequest,
    Version,
    Vote,
    vote_content,
)
from client_proxy.emulator.simulated_keys import derive_keyring
from client_proxy.warm_state.snapshot import (
    ClassSnapshot,
    EndpointClassSnapshot,
    EndpointSnapshot,
    PoolSnapshot,
    Snapshot,
)
from client_proxy.warm_state.snapshot_store import StoredSnapshot

FOLDER = Path(__file__).parent / "state_samples"
KEY_SEED = 5

BODY = b'[[server]]\nname = "a"\naddress = "10.0.0.1:80"\n'
BODY_DIGEST = "4b7a6cc1b87264e6e6414fb59fb88b92"


def sample(name: str) -> bytes:
    return (FOLDER / name).read_bytes()


# Consensus

ACCEPTOR_IDS = (AcceptorId(1, 11), AcceptorId(2, 12), AcceptorId(3, 13))
VERSION = Version(70, BODY_DIGEST, ACCEPTOR_IDS, 2, "change-4", "operator", "more servers, größer")
NEXT_VERSION = Version(
    71, "0123456789abcdef0123456789abcdef", ACCEPTOR_IDS[:2], 3, "change-5", "someone", "fewer"
)
BALLOT = Ballot(4, 2, 99_000)
LOWER_BALLOT = Ballot(3, 1, 88_000)


def sign_vote(acceptor_id: AcceptorId) -> Vote:
    """Returns a vote signed with the acceptor's fixed test key; Ed25519 signatures are deterministic."""
    signer = derive_keyring(KEY_SEED, acceptor_id.member, "h").signer
    return Vote(acceptor_id, signer.sign(vote_content(BALLOT, VERSION, acceptor_id)))


DECIDED = Decided(VERSION, BALLOT, (sign_vote(ACCEPTOR_IDS[0]), sign_vote(ACCEPTOR_IDS[2])))

MESSAGES: dict[str, Message] = {
    "decided": DECIDED,
    "prepare": Prepare(71, BALLOT),
    "promise": Promise(71, BALLOT, ACCEPTOR_IDS[1], LOWER_BALLOT, NEXT_VERSION),
    "accept": Accept(BALLOT, VERSION),
    "accepted": Accepted(70, BALLOT, sign_vote(ACCEPTOR_IDS[1])),
    "outvoted": Nack(71, LOWER_BALLOT, BALLOT),
    "ask": LeaseRequest(70, 2**61 + 5, BODY_DIGEST),
    "grant": LeaseGrant(70, 2**61 + 6, ACCEPTOR_IDS[2]),
    "busy": LeaseDenied(70, 2**61 + 7),
    "behind": CatchUp(69),
    "check": ValidationRequest("change-5", NEXT_VERSION),
    "checked": ValidationReply("change-5", "no class 'c'"),
    "tally": OutcomeReport(70, 2**60 + 8, "hall-a", {"class-a": (300, 7), "class-b": (70_000, 0)}),
}

# Arrays as on the wire, with the fields that have a default left out.
MINIMAL_VERSION = [70, "d", [[1, 11]]]
MINIMAL_MESSAGES: dict[str, list[object]] = {
    "decided": ["D", MINIMAL_VERSION, [], [[[1, 11]]]],
    "promise": ["p", 71, [], [1, 11]],
    "ask": ["L", 70, 6],
    "checked": ["c", "change-5"],
}

ACCEPTOR_STATE = AcceptorState(ACCEPTOR_IDS[0], DECIDED, BALLOT, LOWER_BALLOT, NEXT_VERSION)
MINIMAL_ACCEPTOR_STATE = [[1, 11], MINIMAL_MESSAGES["decided"]]
PAST_VERSIONS = [
    Decided(Version(number, BODY_DIGEST, ACCEPTOR_IDS, 1, f"change-{number}", "operator", "why"), BALLOT, ())
    for number in (62, 63, 64)
]


# Warm state

STORED_SNAPSHOT = StoredSnapshot(
    1_700_000_000_123.5,
    Snapshot(
        form=1,
        tokens=3.25,
        taken_ms=(1500.5, 2.0),
        made_ms=(700.25,),
        classes={"class-a": ClassSnapshot(20.5, 10.25, 1.75, 42, 12.5, 250.0, 11.5, 33.5)},
        servers={
            "s1": EndpointSnapshot(
                life=1_699_999_000_000.5,
                limit=7.5,
                slowness=1.25,
                strain=0.5,
                latency_ms=21.5,
                errors=0.125,
                failures=2,
                paused_ms=350.5,
                answered_ms=12.5,
                faded_ms=90.5,
                credit=4.5,
                classes={"class-a": EndpointClassSnapshot(0.75, 0.25, 3, 120.5, True)},
            ),
            "s2": EndpointSnapshot(None, 1.0, 1.5, 0.0, 0.0, 0.0, 0, 0.0, -1.0, -1.0, -1.0),
        },
        pools={
            "near": PoolSnapshot(0.75, 1.5),
            "far": PoolSnapshot(0.5, 0.25),
            "hall:hall-a": PoolSnapshot(0.25, 0.125),
        },
        slowness=1.125,
        latency_ms=22.5,
        errors=0.0625,
    ),
)
MINIMAL_SERVER = {
    "life": None,
    "limit": 1.0,
    "slowness": 1.5,
    "strain": 0.0,
    "latency_ms": 0.0,
    "errors": 0.0,
    "failures": 0,
    "paused_ms": 0.0,
    "answered_ms": -1.0,
    "faded_ms": -1.0,
    "credit": -1.0,
}
MINIMAL_STORED_SNAPSHOT = {"at_ms": 5.0, "learned": {}}
STORED_SNAPSHOT_WITH_UNKNOWN_KEYS = {
    "at_ms": 5.0,
    "later": 1,
    "learned": {
        "later": 1,
        "servers": {"s1": MINIMAL_SERVER, "s2": MINIMAL_SERVER | {"classes": {"c": {"earned": 0.5}}}},
    },
}


# Policy files

UNSEALED = b'version = 3\n# servers\n[[server]]\nname = "a"\naddress = "10.0.0.1:80"\n'
SEALED_VERSION = 7
OLD_POLICY = """\
# the old policy
[policy]
attempts = 4

[[class]]
name = "class-a"
aim_ms = 100
deadline_ms = 300

[[server]]
name = "a"
address = "10.0.0.1:80"
"""
NEW_POLICY = OLD_POLICY.replace("# the old policy", '# the "new" größere policy').replace("= 4", "= 2")
ROLLOUT = RolloutTable(
    shares=(0.125, 0.5, 1.0),
    past_s=16.0,
    warm_s=6.5,
    least_s=21.0,
    least_requests=201,
    most_s=301.0,
    borne=0.03,
    alpha=0.02,
    undecided="go-on",
    confirm=(2, 3),
    name="try",
    new=NEW_POLICY,
    stage=2,
    members=(1, 4),
    what="asks",
    reason='stage 3 is to be "confirmed"',
    probes=1,
)
MINIMAL_ROLLOUT = RolloutTable(name="try", new=NEW_POLICY)
