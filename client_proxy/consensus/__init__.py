"""Consensus of a fleet on its policy: Paxos decides on each version, and leases permit instances to use it.

`messages`, `acceptor`, `lease_holder`, `proposer` and `node` implement the protocol. They do no I/O, read no
clock and draw no random seed: the time, the messages and a seed are arguments, and what has to be done is
returned as a list of actions. `store` keeps state on the disk, `transport` sends and receives over the
network, and `policy_source` is the interface to the proxy. `model_checker` and `simulated_cluster` run the
same protocol code without a disk and a network.
"""
